#include "Decisions/Quarantine.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

/// A running suspect has probably ended by then.
constexpr Duration BusyRetryAfter = seconds(1);

bool contains(const std::vector<EndpointId> &endpoints, const EndpointId &endpoint)
{
    return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
}

} // namespace

Quarantine::Quarantine(const QuarantineOptions &options)
    : options_(options)
{
}

bool Quarantine::reachedDeathLimit(const Suspect &suspect) const
{
    return suspect.deaths.size() >= options_.maxDeaths;
}

Time Quarantine::quarantinedUntil(const Suspect &suspect) const
{
    const auto factor = 1 << std::min(suspect.repeatQuarantines, 8);
    return suspect.lastDeath + std::min(options_.firstQuarantine * factor, options_.maxQuarantine);
}

Verdict Quarantine::verdict(std::uint64_t fingerprint, Time now) const
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end() || found->second.deaths.empty()) {
        return Verdict::Clear;
    }
    const auto &suspect = found->second;
    const bool mayBeTried = suspect.sawLastDeath && now >= quarantinedUntil(suspect);
    return reachedDeathLimit(suspect) && !mayBeTried ? Verdict::Quarantined : Verdict::Suspect;
}

bool Quarantine::mayStart(std::uint64_t fingerprint, Time now) const
{
    switch (verdict(fingerprint, now)) {
    case Verdict::Clear:
        return true;
    case Verdict::Suspect:
        return suspects_.at(fingerprint).running == 0;
    case Verdict::Quarantined:
        return false;
    }
    return false;
}

bool Quarantine::diedOn(std::uint64_t fingerprint, const EndpointId &endpoint) const
{
    const auto found = suspects_.find(fingerprint);
    return found != suspects_.end() && contains(found->second.deaths, endpoint);
}

Duration Quarantine::retryAfter(std::uint64_t fingerprint, Time now) const
{
    if (verdict(fingerprint, now) != Verdict::Quarantined) {
        return BusyRetryAfter;
    }
    return std::max<Duration>(quarantinedUntil(suspects_.at(fingerprint)) - now, BusyRetryAfter);
}

bool Quarantine::started(std::uint64_t fingerprint)
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return false;
    }
    ++found->second.running;
    return true;
}

void Quarantine::stopped(std::uint64_t fingerprint)
{
    const auto found = suspects_.find(fingerprint);
    if (found != suspects_.end() && found->second.running > 0) {
        --found->second.running;
    }
}

void Quarantine::completed(std::uint64_t fingerprint, Time now)
{
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) {
        return;
    }
    found->second.deaths.clear();
    found->second.clearedAt = now;
    found->second.repeatQuarantines = 0;
}

bool Quarantine::recordDeath(std::uint64_t fingerprint, const EndpointId &endpoint, Time now)
{
    if (suspects_.count(fingerprint) == 0 && suspects_.size() >= options_.maxSuspects) {
        return false;
    }
    auto &suspect = suspects_[fingerprint];
    const bool wasReached = reachedDeathLimit(suspect);
    if (wasReached) {
        ++suspect.repeatQuarantines;
    }
    if (!contains(suspect.deaths, endpoint)) {
        suspect.deaths.push_back(endpoint);
    }
    suspect.lastDeath = now;
    suspect.sawLastDeath = true;
    return !wasReached && reachedDeathLimit(suspect);
}

std::vector<QuarantineStart>
Quarantine::endpointDied(const EndpointId &endpoint,
                         const std::vector<std::uint64_t> &runningFingerprints, Time now)
{
    std::size_t highestDeathCount = 0;
    const auto deaths = [this, now](std::uint64_t fingerprint) {
        return verdict(fingerprint, now) == Verdict::Clear
                   ? 0
                   : suspects_.at(fingerprint).deaths.size();
    };
    for (const auto fingerprint : runningFingerprints) {
        highestDeathCount = std::max(highestDeathCount, deaths(fingerprint));
    }
    std::vector<std::uint64_t> mostSuspected;
    for (const auto fingerprint : runningFingerprints) {
        const bool known = std::find(mostSuspected.begin(), mostSuspected.end(), fingerprint)
                           != mostSuspected.end();
        if (!known && deaths(fingerprint) == highestDeathCount) {
            mostSuspected.push_back(fingerprint);
        }
    }
    return recordDeaths(endpoint, mostSuspected, now);
}

std::vector<QuarantineStart>
Quarantine::recordDeaths(const EndpointId &endpoint, const std::vector<std::uint64_t> &fingerprints,
                         Time now)
{
    std::vector<QuarantineStart> starts;
    for (const auto fingerprint : fingerprints) {
        if (recordDeath(fingerprint, endpoint, now)) {
            starts.push_back({fingerprint, suspects_.at(fingerprint).deaths.size()});
        }
    }
    return starts;
}

std::vector<QuarantineStart> Quarantine::merge(const std::vector<SuspectNotice> &notices, Time now)
{
    std::vector<QuarantineStart> starts;
    for (const auto &notice : notices) {
        const Time lastDeath = now - notice.age;
        const auto found = suspects_.find(notice.fingerprint);
        const bool cleared = found != suspects_.end() && lastDeath <= found->second.clearedAt;
        const bool full = found == suspects_.end() && suspects_.size() >= options_.maxSuspects;
        if (cleared || full || notice.age > options_.suspectLifetime + options_.maxQuarantine) {
            continue;
        }
        auto &suspect = suspects_[notice.fingerprint];
        const bool wasReached = reachedDeathLimit(suspect);
        const auto known = suspect.deaths.size();
        for (const auto &endpoint : notice.deaths) {
            if (!contains(suspect.deaths, endpoint)) {
                suspect.deaths.push_back(endpoint);
            }
        }
        // Without a new death, the notice repeats what this instance knows with the delay of the
        // network added.
        if (suspect.deaths.size() > known && lastDeath > suspect.lastDeath) {
            suspect.lastDeath = lastDeath;
            suspect.sawLastDeath = false;
        }
        if (!wasReached && reachedDeathLimit(suspect)) {
            starts.push_back({notice.fingerprint, suspect.deaths.size()});
        }
    }
    return starts;
}

std::vector<SuspectNotice> Quarantine::notices(Time now) const
{
    std::vector<SuspectNotice> result;
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (!suspect.deaths.empty()) {
            result.push_back({fingerprint, suspect.deaths, now - suspect.lastDeath});
        }
    }
    return result;
}

std::vector<std::uint64_t> Quarantine::suspects() const
{
    std::vector<std::uint64_t> result;
    for (const auto &[fingerprint, suspect] : suspects_) {
        if (!suspect.deaths.empty()) {
            result.push_back(fingerprint);
        }
    }
    return result;
}

std::vector<EndpointId> Quarantine::deathsOf(std::uint64_t fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? std::vector<EndpointId>() : found->second.deaths;
}

std::size_t Quarantine::deathCount(std::uint64_t fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? 0 : found->second.deaths.size();
}

Time Quarantine::lastDeath(std::uint64_t fingerprint) const
{
    const auto found = suspects_.find(fingerprint);
    return found == suspects_.end() ? Time() : found->second.lastDeath;
}

void Quarantine::expire(Time now)
{
    std::erase_if(suspects_, [this, now](const auto &entry) {
        const auto &suspect = entry.second;
        const Time since = std::max(suspect.lastDeath, suspect.clearedAt);
        const Time until = reachedDeathLimit(suspect) ? quarantinedUntil(suspect) : since;
        return suspect.running == 0 && now > until + options_.suspectLifetime;
    });
}

nlohmann::json Quarantine::dump(Time now) const
{
    nlohmann::json result = nlohmann::json::array();
    for (const auto &[fingerprint, suspect] : suspects_) {
        result.push_back({{"fingerprint", fingerprint},
                          {"deaths", suspect.deaths.size()},
                          {"quarantined", verdict(fingerprint, now) == Verdict::Quarantined},
                          {"running", suspect.running}});
    }
    return result;
}

} // namespace LaburnumChute::Decisions
