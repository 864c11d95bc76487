#include "Dispatch/CrashEvidence.h"

#include <algorithm>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// A key that unlike requests share is on more innocent ones, so it is tried again earlier.
constexpr seconds FirstSharedQuarantine{30};
/// As above, for a key with a single crash at an instance that hears from no other.
constexpr seconds QuarantineUnheard{30};
constexpr int SharedQuarantineFactor = 4;
constexpr int MaxRepeats = 8;
constexpr std::size_t MaxRuns = 1024;
constexpr std::size_t MaxKeysPerRun = 512;
constexpr std::size_t MaxCrashesPerKey = 16;

std::uint16_t lastPositionOf(const std::set<SuspectKey> &keys)
{
    std::uint16_t last = 0;
    for (const auto &key : keys) {
        last = std::max(last, key.position);
    }
    return last;
}

} // namespace

CrashEvidence::CrashEvidence(const Decisions::QuarantineOptions &options)
    : options_(options)
{
}

const CrashEvidence::Suspect *CrashEvidence::find(const SuspectKey &key) const
{
    const auto found = suspects_.find(key);
    return found == suspects_.end() ? nullptr : &found->second;
}

const CrashEvidence::Run *CrashEvidence::run(RunId run) const
{
    const auto found = runs_.find(run);
    return found == runs_.end() ? nullptr : &found->second;
}

// Evidence.

bool CrashEvidence::makeRoom(const SuspectKey &key, RunId run)
{
    if (suspects_.count(key) == 0 && suspects_.size() >= options_.maxSuspects) {
        dropWeakSuspects();
    }
    if (runs_.count(run) == 0 && runs_.size() >= MaxRuns) {
        const auto oldest =
            std::min_element(runs_.begin(), runs_.end(), [](const auto &one, const auto &other) {
                return one.second.lastAt < other.second.lastAt;
            });
        erase(oldest->first);
    }
    const auto found = runs_.find(run);
    const bool runFull = found != runs_.end() && found->second.keys.size() >= MaxKeysPerRun;
    const bool full = suspects_.count(key) == 0 && suspects_.size() >= options_.maxSuspects;
    return !runFull && !full;
}

/// Removes the older half of the suspects with a single crash: most of them are bystanders.
void CrashEvidence::dropWeakSuspects()
{
    std::vector<std::pair<Time, SuspectKey>> weak;
    for (const auto &[key, suspect] : suspects_) {
        if (suspect.crashes.size() <= 1) {
            weak.emplace_back(suspect.lastCrash, key);
        }
    }
    std::sort(weak.begin(), weak.end());
    weak.resize((weak.size() + 1) / 2);
    for (const auto &[lastCrash, key] : weak) {
        forget(key);
    }
}

bool CrashEvidence::add(const SuspectKey &key, const CrashRecord &crash)
{
    if (!makeRoom(key, crash.run)) {
        return false;
    }
    auto &suspect = suspects_[key];
    auto &entry = runs_[crash.run];
    if (entry.keys.empty()) {
        entry.firstAt = crash.at;
        open_.insert(crash.run);
    }
    entry.lastAt = std::max(entry.lastAt, crash.at);
    entry.listed = entry.listed || crash.own;
    const auto known = std::find_if(suspect.crashes.begin(), suspect.crashes.end(),
                                    [&](const auto &each) { return each.run == crash.run; });
    if (known != suspect.crashes.end()) {
        version_ += crash.own && !known->own ? 1 : 0;
        known->own = known->own || crash.own;
        return true;
    }
    ++version_;
    const bool quarantineOver =
        suspect.crashes.size() >= options_.maxDeaths && crash.at > quarantinedUntil(key, suspect);
    suspect.repeats += quarantineOver ? 1 : 0;
    if (suspect.crashes.size() >= MaxCrashesPerKey) {
        eraseCrash(key, suspect.crashes.front().run);
    }
    suspect.crashes.push_back(crash);
    entry.keys.insert(key);
    entry.lastPosition = std::max(entry.lastPosition, key.position);
    if (suspect.crashes.size() > 1) {
        for (const auto &each : suspect.crashes) {
            runs_.at(each.run).recurring.insert(key);
        }
    }
    if (crash.at >= suspect.lastCrash) {
        suspect.lastCrash = crash.at;
        suspect.sawLastCrash = crash.own;
    }
    return true;
}

void CrashEvidence::setEndpoint(RunId run, const EndpointId &endpoint)
{
    if (const auto found = runs_.find(run); found != runs_.end()) {
        found->second.endpoint = endpoint;
    }
}

void CrashEvidence::setListed(RunId run)
{
    if (const auto found = runs_.find(run); found != runs_.end()) {
        found->second.listed = true;
    }
}

std::vector<SuspectKey> CrashEvidence::confirm(RunId run, Time at)
{
    const auto found = runs_.find(run);
    if (found == runs_.end() || found->second.endedAt) {
        return {};
    }
    ++version_;
    found->second.endedAt = at;
    open_.erase(run);
    // The other requests on the endpoint were bystanders of the most suspected ones.
    std::size_t most = 0;
    const auto &keys = found->second.keys;
    for (const auto &key : keys) {
        most = isShared(key) ? most : std::max(most, judgement(key).total());
    }
    std::vector<SuspectKey> bystanders;
    std::copy_if(keys.begin(), keys.end(), std::back_inserter(bystanders),
                 [&](const auto &key) { return !isShared(key) && judgement(key).total() < most; });
    for (const auto &key : bystanders) {
        eraseCrash(key, run);
    }
    return bystanders;
}

void CrashEvidence::eraseCrash(const SuspectKey &key, RunId run)
{
    ++version_;
    if (const auto found = suspects_.find(key); found != suspects_.end()) {
        auto &crashes = found->second.crashes;
        std::erase_if(crashes, [run](const auto &each) { return each.run == run; });
        if (crashes.size() == 1) {
            runs_.at(crashes.front().run).recurring.erase(key);
        }
        if (crashes.empty()) {
            suspects_.erase(found);
        }
    }
    if (const auto found = runs_.find(run); found != runs_.end()) {
        found->second.keys.erase(key);
        found->second.recurring.erase(key);
        if (key.kind == SuspectKind::Part) {
            found->second.lastPosition = lastPositionOf(found->second.keys);
        }
        if (found->second.keys.empty()) {
            open_.erase(run);
            runs_.erase(found);
        }
    }
}

std::vector<SuspectKey> CrashEvidence::erase(RunId run)
{
    auto keys = keysOn(run);
    for (const auto &key : keys) {
        eraseCrash(key, run);
    }
    return keys;
}

void CrashEvidence::forget(const SuspectKey &key)
{
    const auto *suspect = find(key);
    if (suspect == nullptr) {
        return;
    }
    const auto crashes = suspect->crashes;
    for (const auto &crash : crashes) {
        eraseCrash(key, crash.run);
    }
}

void CrashEvidence::expire(Time now)
{
    std::vector<SuspectKey> old;
    for (const auto &[key, suspect] : suspects_) {
        const bool quarantined = suspect.crashes.size() >= options_.maxDeaths;
        const auto until = quarantined ? quarantinedUntil(key, suspect) : suspect.lastCrash;
        if (now > until + options_.suspectLifetime) {
            old.push_back(key);
        }
    }
    for (const auto &key : old) {
        forget(key);
    }
}

void CrashEvidence::setPathsDoubtful(bool doubtful)
{
    version_ += doubtful != pathsDoubtful_ ? 1 : 0;
    pathsDoubtful_ = doubtful;
}

void CrashEvidence::setHearing(Hearing hearing)
{
    version_ += hearing != hearing_ ? 1 : 0;
    hearing_ = hearing;
}

// Judgement.

bool CrashEvidence::counts(const CrashRecord &crash) const
{
    return !pathsDoubtful_ || !crash.own || runs_.at(crash.run).endedAt.has_value();
}

bool CrashEvidence::isRelieved(const Suspect &suspect, RunId run) const
{
    const auto &recurring = runs_.at(run).recurring;
    return std::any_of(recurring.begin(), recurring.end(), [&](const auto &other) {
        return suspects_.at(other).crashes.size() > suspect.crashes.size()
               && judgement(other).total() >= options_.maxDeaths;
    });
}

bool CrashEvidence::setAsideMostFrequent(const SuspectKey &key, bool parts, Crashes &crashes) const
{
    std::map<SuspectKey, std::size_t> frequency;
    for (const auto *crash : crashes) {
        for (const auto &other : runs_.at(crash->run).recurring) {
            if ((other.kind == SuspectKind::Part) == parts && isMoreSpecific(other, key)) {
                ++frequency[other];
            }
        }
    }
    if (frequency.empty()) {
        return false;
    }
    const auto most = std::max_element(
        frequency.begin(), frequency.end(),
        [](const auto &one, const auto &other) { return one.second < other.second; });
    std::erase_if(crashes, [&](const auto *crash) {
        return runs_.at(crash->run).recurring.count(most->first) > 0;
    });
    return true;
}

void CrashEvidence::setAsideRequest(const SuspectKey &key, Crashes &crashes) const
{
    // Each crash is under some request.
    if (!setAsideMostFrequent(key, false, crashes) && !crashes.empty()) {
        crashes.erase(crashes.begin());
    }
}

void CrashEvidence::setAsidePart(const SuspectKey &key, Crashes &crashes) const
{
    if (setAsideMostFrequent(key, true, crashes)) {
        return;
    }
    const auto underLaterPart =
        std::find_if(crashes.begin(), crashes.end(), [&](const auto *crash) {
            return runs_.at(crash->run).lastPosition > key.position;
        });
    if (underLaterPart != crashes.end()) {
        crashes.erase(underLaterPart);
    }
}

void CrashEvidence::setAside(const SuspectKey &key, Crashes &crashes) const
{
    setAsideRequest(key, crashes);
    if (key.kind == SuspectKind::Part) {
        setAsidePart(key, crashes);
        setAsidePart(key, crashes);
    }
}

Judgement CrashEvidence::judge(const SuspectKey &key, const Suspect &suspect) const
{
    Crashes crashes;
    for (const auto &crash : suspect.crashes) {
        if (counts(crash) && !isRelieved(suspect, crash.run)) {
            crashes.push_back(&crash);
        }
    }
    // Alone, an instance sees too few repeats to tell a request from its content.
    const bool likeRequest = key.kind == SuspectKind::Content && hearing_ == Hearing::None;
    if (isShared(key) && !likeRequest) {
        setAside(key, crashes);
    }
    Judgement judgement;
    for (const auto *crash : crashes) {
        const bool ended = runs_.at(crash->run).endedAt.has_value();
        ++(ended ? judgement.ended : judgement.open);
        judgement.lastOpen = ended ? judgement.lastOpen : std::max(judgement.lastOpen, crash->at);
    }
    return judgement;
}

Judgement CrashEvidence::judgement(const SuspectKey &key) const
{
    const auto *suspect = find(key);
    if (suspect == nullptr) {
        return {};
    }
    if (suspect->judgedAt != version_) {
        suspect->judgement = judge(key, *suspect);
        suspect->judgedAt = version_;
    }
    return suspect->judgement;
}

void CrashEvidence::narrowCompanions(const SuspectKey &key, const std::vector<SuspectKey> &others)
{
    const auto found = suspects_.find(key);
    if (found == suspects_.end()) {
        return;
    }
    auto &companions = found->second.companions;
    if (!companions) {
        companions.emplace();
        std::copy_if(
            others.begin(), others.end(), std::back_inserter(*companions),
            [&](const auto &other) { return other.kind == SuspectKind::Part && other != key; });
        return;
    }
    std::erase_if(*companions, [&](const auto &known) {
        return std::find(others.begin(), others.end(), known) == others.end();
    });
}

const std::vector<SuspectKey> &CrashEvidence::companions(const SuspectKey &key) const
{
    static const std::vector<SuspectKey> none;
    const auto *suspect = find(key);
    return suspect == nullptr || !suspect->companions ? none : *suspect->companions;
}

std::set<SuspectKey> CrashEvidence::sharedNeighbors(const SuspectKey &key) const
{
    std::set<SuspectKey> neighbors;
    for (const auto &crash : crashesOf(key)) {
        for (const auto &other : runs_.at(crash.run).keys) {
            if (isShared(other) && other != key) {
                neighbors.insert(other);
            }
        }
    }
    return neighbors;
}

std::size_t CrashEvidence::neededCrashes(const SuspectKey &key, bool retry) const
{
    const bool alone = hearing_ == Hearing::None && (!retry || key.kind == SuspectKind::Part);
    const bool apart = hearing_ == Hearing::Some && isShared(key);
    return options_.maxDeaths - (alone || apart ? 1 : 0);
}

Time CrashEvidence::quarantinedUntil(const SuspectKey &key, const Suspect &suspect) const
{
    Duration time = options_.firstQuarantine;
    if (suspect.crashes.size() < options_.maxDeaths) {
        time = QuarantineUnheard;
    } else if (isShared(key)) {
        time = FirstSharedQuarantine;
    }
    const int factor = isShared(key) ? SharedQuarantineFactor : 2;
    for (int repeat = 0; repeat < std::min(suspect.repeats, MaxRepeats); ++repeat) {
        time *= factor;
    }
    Time since = suspect.lastCrash;
    for (const auto &crash : suspect.crashes) {
        since = std::max(since, runs_.at(crash.run).endedAt.value_or(since));
    }
    return since + std::min<Duration>(time, options_.maxQuarantine);
}

SuspectState CrashEvidence::state(const SuspectKey &key, bool retry, Time now) const
{
    const auto *suspect = find(key);
    if (suspect == nullptr) {
        return SuspectState::Clear;
    }
    const auto known = judgement(key);
    const auto needed = neededCrashes(key, retry);
    const bool mayBeTried = suspect->sawLastCrash && now >= quarantinedUntil(key, *suspect);
    if (known.ended >= needed && !mayBeTried) {
        return SuspectState::Quarantined;
    }
    if (known.open > 0 && known.total() >= needed) {
        return SuspectState::Held;
    }
    return known.total() > 0 ? SuspectState::Suspected : SuspectState::Clear;
}

Duration CrashEvidence::rejectedFor(const SuspectKey &key, Time now) const
{
    const auto *suspect = find(key);
    if (suspect == nullptr) {
        return Duration(0);
    }
    const bool quarantined = state(key, false, now) == SuspectState::Quarantined;
    const Time until =
        quarantined ? quarantinedUntil(key, *suspect) : judgement(key).lastOpen + ConfirmationTime;
    return std::max<Duration>(until - now, milliseconds(1));
}

// Queries.

std::vector<SuspectKey> CrashEvidence::suspects() const
{
    std::vector<SuspectKey> keys;
    for (const auto &[key, suspect] : suspects_) {
        keys.push_back(key);
    }
    return keys;
}

const std::vector<CrashRecord> &CrashEvidence::crashesOf(const SuspectKey &key) const
{
    static const std::vector<CrashRecord> none;
    const auto *suspect = find(key);
    return suspect == nullptr ? none : suspect->crashes;
}

Time CrashEvidence::lastCrash(const SuspectKey &key) const
{
    const auto *suspect = find(key);
    return suspect == nullptr ? Time() : suspect->lastCrash;
}

std::vector<SuspectKey> CrashEvidence::keysOn(RunId run) const
{
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return {};
    }
    return {found->second.keys.begin(), found->second.keys.end()};
}

nlohmann::json CrashEvidence::dump(Time now) const
{
    nlohmann::json result = nlohmann::json::array();
    for (const auto &[key, suspect] : suspects_) {
        const auto known = judgement(key);
        result.push_back({{"kind", toString(key.kind)},
                          {"key", fmt::format("{:016x}", key.value)},
                          {"crashes", suspect.crashes.size()},
                          {"ended", known.ended},
                          {"open", known.open},
                          {"rejected", isRejected(key, now)}});
    }
    return result;
}

} // namespace LaburnumChute::Dispatch
