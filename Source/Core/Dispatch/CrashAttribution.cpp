#include "Dispatch/CrashAttribution.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Time within which a crash is noticed: the record of a silent endpoint expires after three of its
/// heartbeat intervals, and lists of the store are a second old at most.
constexpr seconds ConfirmationTime{6};
/// For this long, evidence is repeated in every report, which tolerates the loss of many of them.
constexpr seconds RepeatTime{5};
/// How long it is remembered that a run ended or answered.
constexpr seconds RunMemory{60};
/// A request that completed within this time is no suspect.
constexpr seconds CompletionMemory{20};
constexpr std::size_t MaxCompletions = 4096;
/// The maps of times have thousands of entries.
constexpr seconds ForgetInterval{1};
/// Bound the size of a report, see reports().
constexpr std::size_t MaxRecentSuspects = 32;
constexpr std::size_t MaxOldSuspects = 4;
constexpr std::size_t MaxReportedRuns = 8;
/// Bounds the memory, also against reports of others.
constexpr std::size_t MaxRuns = 1024;
constexpr std::size_t MaxBreaksPerRun = 1024;
/// With this many endpoints that do not accept connections, the cause may be the paths to them.
constexpr std::size_t DoubtfulConnections = 2;

EndpointId nameOf(RunId run)
{
    return EndpointId(fmt::format("{:016x}", run));
}

SuspectReport vindication(std::uint64_t fingerprint)
{
    SuspectReport report;
    report.fingerprint = fingerprint;
    report.completes = true;
    return report;
}

std::uint32_t toMilliseconds(Duration age)
{
    const auto count = std::chrono::duration_cast<milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

} // namespace

std::string_view toString(EvidenceLoss reason)
{
    switch (reason) {
    case EvidenceLoss::Completed:
        return "completed";
    case EvidenceLoss::CompletedAtPeer:
        return "completed at peer";
    case EvidenceLoss::CompletedBefore:
        return "completed before";
    case EvidenceLoss::EndpointAnswered:
        return "endpoint answered";
    case EvidenceLoss::Unconfirmed:
        return "unconfirmed";
    case EvidenceLoss::PutDownToOther:
        return "put down to another request";
    case EvidenceLoss::EndpointLeft:
        return "endpoint left";
    case EvidenceLoss::PathsDoubtful:
        return "paths doubtful";
    case EvidenceLoss::NoMemory:
        return "no memory";
    case EvidenceLoss::NotAnnounced:
        return "not announced";
    }
    return "unknown";
}

RunId runId(const Catalog::EndpointRecord &record)
{
    return Common::stableHash(record.id.text(), static_cast<std::uint64_t>(record.startedAt));
}

CrashAttribution::CrashAttribution(Decisions::Quarantine &quarantine, std::uint64_t seed)
    : quarantine_(&quarantine)
    , random_(seed)
{
}

// Evidence of this instance.

void CrashAttribution::broke(const EndpointId &endpoint, RunId run, std::uint64_t fingerprint,
                             Time now)
{
    addBreak(run, fingerprint, {now, true}, now);
    if (pathsDoubtful()) {
        ignored(fingerprint, EvidenceLoss::PathsDoubtful);
    }
    if (const auto entry = runs_.find(run); entry != runs_.end()) {
        entry->second.endpoint = endpoint;
    }
    if (endedAt_.count(run) > 0) {
        ended(run, now);
    }
}

void CrashAttribution::addBreak(RunId run, std::uint64_t fingerprint, const Break &added, Time now)
{
    const bool full = runs_.count(run) == 0 && runs_.size() >= MaxRuns;
    if (full || completedRecently(fingerprint, now)) {
        ignored(fingerprint, full ? EvidenceLoss::NoMemory : EvidenceLoss::CompletedBefore);
        return;
    }
    auto &entry = runs_[run];
    entry.listed = entry.listed || added.own;
    if (entry.breaks.size() >= MaxBreaksPerRun) {
        ignored(fingerprint, EvidenceLoss::NoMemory);
        return;
    }
    const bool wasHeld = rejectedFor(fingerprint, now).has_value();
    auto &recorded = entry.breaks.try_emplace(fingerprint, added).first->second;
    recorded.own = recorded.own || added.own;
    runsOf_[fingerprint].insert(run);
    if (!wasHeld && held(fingerprint)) {
        events_.push_back(RequestHold{fingerprint, breakCount(fingerprint),
                                      quarantine_->deathCount(fingerprint), !added.own});
        if (added.own) {
            unannounced_.insert(fingerprint);
        }
    }
}

void CrashAttribution::ignored(std::uint64_t fingerprint, EvidenceLoss reason)
{
    lose(reason, {fingerprint});
}

void CrashAttribution::lose(EvidenceLoss reason, std::vector<std::uint64_t> fingerprints)
{
    if (!fingerprints.empty()) {
        events_.push_back(EvidenceLost{reason, std::move(fingerprints)});
    }
}

std::vector<std::uint64_t> CrashAttribution::suspectsOn(RunId run) const
{
    std::vector<std::uint64_t> fingerprints;
    if (const auto found = runs_.find(run); found != runs_.end()) {
        for (const auto &[fingerprint, recorded] : found->second.breaks) {
            fingerprints.push_back(fingerprint);
        }
    }
    return fingerprints;
}

void CrashAttribution::eraseBreaks(RunId run)
{
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return;
    }
    for (const auto &[fingerprint, recorded] : found->second.breaks) {
        const auto runs = runsOf_.find(fingerprint);
        runs->second.erase(run);
        if (runs->second.empty()) {
            runsOf_.erase(runs);
        }
    }
    runs_.erase(found);
}

void CrashAttribution::notConnected(RunId run, bool refused, Time now)
{
    auto &entry = unconnected_[run];
    entry.at = now;
    entry.refused = entry.refused || refused;
    if (entry.refused && !pathsDoubtful()) {
        entry.refused = false;
        ended(run, now);
    }
}

void CrashAttribution::confirmRefusals(RunId answered, Time sentAt)
{
    unconnected_.erase(answered);
    std::vector<std::pair<RunId, Time>> confirmed;
    std::erase_if(unconnected_, [&](const auto &item) {
        const bool earlier = item.second.at <= sentAt;
        if (earlier && item.second.refused) {
            confirmed.emplace_back(item.first, item.second.at);
        }
        return earlier;
    });
    for (const auto &[run, at] : confirmed) {
        ended(run, at);
    }
}

bool CrashAttribution::pathsDoubtful() const
{
    return unconnected_.size() >= DoubtfulConnections;
}

void CrashAttribution::answered(RunId run, Time sentAt)
{
    confirmRefusals(run, sentAt);
    auto &latest = answeredAt_[run];
    latest = std::max(latest, sentAt);
    const auto ended = endedAt_.find(run);
    if (ended != endedAt_.end() && ended->second < sentAt) {
        endedAt_.erase(ended);
    }
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return;
    }
    const auto &breaks = found->second.breaks;
    const bool refuted = std::all_of(breaks.begin(), breaks.end(), [sentAt](const auto &item) {
        return item.second.at < sentAt;
    });
    if (refuted) {
        lose(EvidenceLoss::EndpointAnswered, suspectsOn(run));
        eraseBreaks(run);
    }
}

void CrashAttribution::ended(RunId run, Time now)
{
    endedAt_[run] = now;
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return;
    }
    // The other requests on the endpoint were bystanders of the most suspected ones.
    std::size_t mostEvidence = 0;
    for (const auto &[fingerprint, recorded] : found->second.breaks) {
        mostEvidence = std::max(mostEvidence, evidence(fingerprint));
    }
    EndpointCrash crash{found->second.endpoint, {}};
    std::vector<Decisions::SuspectNotice> ofOthers;
    std::vector<std::uint64_t> bystanders;
    for (const auto &[fingerprint, recorded] : found->second.breaks) {
        if (evidence(fingerprint) < mostEvidence) {
            bystanders.push_back(fingerprint);
            continue;
        }
        if (recorded.own) {
            crash.suspects.push_back(fingerprint);
        } else {
            ofOthers.push_back({fingerprint, {nameOf(run)}, now - recorded.at});
        }
    }
    lose(EvidenceLoss::PutDownToOther, std::move(bystanders));
    eraseBreaks(run);
    const auto starts = quarantine_->recordDeaths(nameOf(run), crash.suspects, now);
    for (const auto &start : starts) {
        unannounced_.insert(start.fingerprint);
    }
    if (!crash.suspects.empty()) {
        events_.push_back(std::move(crash));
    }
    recordStarts(starts, false);
    recordStarts(quarantine_->merge(ofOthers, now), true);
}

void CrashAttribution::setListed(const std::set<RunId> &runs, Time now)
{
    std::vector<RunId> gone;
    for (auto &[run, entry] : runs_) {
        const bool listed = runs.count(run) > 0;
        if (entry.listed && !listed) {
            gone.push_back(run);
        }
        entry.listed = entry.listed || listed;
    }
    for (const auto run : gone) {
        ended(run, now);
    }
}

void CrashAttribution::completed(std::uint64_t fingerprint, Time now)
{
    if (completedAt_.size() < MaxCompletions || completedAt_.count(fingerprint) > 0) {
        completedAt_[fingerprint] = now;
    }
    clear(fingerprint, EvidenceLoss::Completed, now);
}

void CrashAttribution::clear(std::uint64_t fingerprint, EvidenceLoss reason, Time now)
{
    if (evidence(fingerprint) > 0) {
        lose(reason, {fingerprint});
    }
    quarantine_->completed(fingerprint, now);
    const auto found = runsOf_.find(fingerprint);
    if (found == runsOf_.end()) {
        return;
    }
    for (const auto run : found->second) {
        const auto entry = runs_.find(run);
        entry->second.breaks.erase(fingerprint);
        if (entry->second.breaks.empty()) {
            runs_.erase(entry);
        }
    }
    runsOf_.erase(found);
}

void CrashAttribution::expire(Time now)
{
    std::vector<RunId> expired;
    for (const auto &[run, entry] : runs_) {
        const bool recent =
            std::any_of(entry.breaks.begin(), entry.breaks.end(), [now](const auto &item) {
                return now - item.second.at <= ConfirmationTime;
            });
        if (!recent) {
            expired.push_back(run);
        }
    }
    for (const auto run : expired) {
        lose(EvidenceLoss::Unconfirmed, suspectsOn(run));
        eraseBreaks(run);
    }
    std::erase_if(unconnected_,
                  [now](const auto &item) { return now - item.second.at > ConfirmationTime; });
    quarantine_->expire(now);
    if (now - forgottenAt_ >= ForgetInterval) {
        forgottenAt_ = now;
        forget(now);
    }
}

void CrashAttribution::forget(Time now)
{
    const auto forgetOlder = [now](auto &times, Duration memory) {
        std::erase_if(times, [&](const auto &item) { return now - item.second > memory; });
    };
    forgetOlder(endedAt_, RunMemory);
    forgetOlder(answeredAt_, RunMemory);
    forgetOlder(completedAt_, CompletionMemory);
    forgetOlder(vindicatedAt_, RepeatTime);
}

// Decisions.

std::size_t CrashAttribution::breakCount(std::uint64_t fingerprint) const
{
    const auto found = runsOf_.find(fingerprint);
    if (found == runsOf_.end()) {
        return 0;
    }
    const bool countOwn = !pathsDoubtful();
    const auto counts = [&](RunId run) {
        return countOwn || !runs_.at(run).breaks.at(fingerprint).own;
    };
    const auto &runs = found->second;
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), counts));
}

std::size_t CrashAttribution::evidence(std::uint64_t fingerprint) const
{
    return quarantine_->deathCount(fingerprint) + breakCount(fingerprint);
}

bool CrashAttribution::held(std::uint64_t fingerprint) const
{
    return breakCount(fingerprint) > 0 && evidence(fingerprint) >= quarantine_->maxDeaths();
}

bool CrashAttribution::completedRecently(std::uint64_t fingerprint, Time now) const
{
    const auto found = completedAt_.find(fingerprint);
    return found != completedAt_.end() && now - found->second <= CompletionMemory;
}

Time CrashAttribution::lastBreak(std::uint64_t fingerprint) const
{
    Time last{};
    const auto found = runsOf_.find(fingerprint);
    if (found == runsOf_.end()) {
        return last;
    }
    for (const auto run : found->second) {
        last = std::max(last, runs_.at(run).breaks.at(fingerprint).at);
    }
    return last;
}

std::optional<Duration> CrashAttribution::rejectedFor(std::uint64_t fingerprint, Time now) const
{
    if (quarantine_->verdict(fingerprint, now) == Decisions::Verdict::Quarantined) {
        return quarantine_->retryAfter(fingerprint, now);
    }
    if (!held(fingerprint)) {
        return std::nullopt;
    }
    const Duration left = lastBreak(fingerprint) + ConfirmationTime - now;
    return std::max<Duration>(left, milliseconds(1));
}

bool CrashAttribution::mayStart(std::uint64_t fingerprint) const
{
    const auto found = running_.find(fingerprint);
    return found == running_.end() || evidence(fingerprint) == 0;
}

bool CrashAttribution::started(std::uint64_t fingerprint)
{
    if (evidence(fingerprint) == 0) {
        return false;
    }
    ++running_[fingerprint];
    return true;
}

void CrashAttribution::stopped(std::uint64_t fingerprint)
{
    const auto found = running_.find(fingerprint);
    if (found != running_.end() && --found->second <= 0) {
        running_.erase(found);
    }
}

// Messages.

SuspectReport CrashAttribution::reportOf(std::uint64_t fingerprint, bool includeOthers,
                                         Time now) const
{
    SuspectReport report;
    report.fingerprint = fingerprint;
    for (const auto &death : quarantine_->deathsOf(fingerprint)) {
        report.deaths.push_back(std::stoull(death.text(), nullptr, 16));
    }
    const auto surplus = report.deaths.size() - std::min(report.deaths.size(), MaxReportedRuns);
    report.deaths.erase(report.deaths.begin(),
                        report.deaths.begin() + static_cast<std::ptrdiff_t>(surplus));
    report.ageMs = toMilliseconds(now - quarantine_->lastDeath(fingerprint));
    const auto found = runsOf_.find(fingerprint);
    if (found == runsOf_.end()) {
        return report;
    }
    for (const auto run : found->second) {
        const auto &recorded = runs_.at(run).breaks.at(fingerprint);
        const bool fits = report.breaks.size() < MaxReportedRuns;
        const bool doubtful = recorded.own && pathsDoubtful();
        if (fits && !doubtful && (recorded.own || includeOthers)) {
            report.breaks.push_back({run, toMilliseconds(now - recorded.at)});
        }
    }
    return report;
}

std::vector<SuspectReport> CrashAttribution::reports(Time now)
{
    struct Suspect
    {
        std::uint64_t fingerprint = 0;
        bool rejected = false;
        Time lastSeen{};
    };
    std::vector<Suspect> recent;
    std::vector<std::uint64_t> old;
    const auto add = [&](std::uint64_t fingerprint) {
        const auto lastSeen = std::max(quarantine_->lastDeath(fingerprint), lastBreak(fingerprint));
        const bool rejected = evidence(fingerprint) >= quarantine_->maxDeaths();
        if (now - lastSeen <= RepeatTime) {
            recent.push_back({fingerprint, rejected, lastSeen});
        } else if (rejected) {
            old.push_back(fingerprint);
        }
    };
    for (const auto fingerprint : quarantine_->suspects()) {
        add(fingerprint);
    }
    for (const auto &[fingerprint, runs] : runsOf_) {
        if (quarantine_->deathCount(fingerprint) == 0) {
            add(fingerprint);
        }
    }
    std::sort(recent.begin(), recent.end(), [](const Suspect &one, const Suspect &other) {
        return std::tie(one.rejected, one.lastSeen) > std::tie(other.rejected, other.lastSeen);
    });
    recent.resize(std::min(recent.size(), MaxRecentSuspects));
    std::vector<std::uint64_t> sampled;
    std::sample(old.begin(), old.end(), std::back_inserter(sampled), MaxOldSuspects, random_);
    std::vector<SuspectReport> reports;
    for (const auto &suspect : recent) {
        reports.push_back(reportOf(suspect.fingerprint, suspect.rejected, now));
    }
    for (const auto fingerprint : sampled) {
        reports.push_back(reportOf(fingerprint, true, now));
    }
    std::erase_if(reports, [](const SuspectReport &report) {
        return report.deaths.empty() && report.breaks.empty();
    });
    for (const auto &[fingerprint, at] : vindicatedAt_) {
        if (reports.size() < MaxRecentSuspects + MaxOldSuspects) {
            reports.push_back(vindication(fingerprint));
        }
    }
    return reports;
}

std::vector<SuspectReport> CrashAttribution::takeNotices(Time now)
{
    std::vector<SuspectReport> notices;
    for (const auto fingerprint : std::exchange(unannounced_, {})) {
        if (notices.size() >= MaxRecentSuspects) {
            ignored(fingerprint, EvidenceLoss::NotAnnounced);
            continue;
        }
        if (vindicatedAt_.count(fingerprint) > 0) {
            notices.push_back(vindication(fingerprint));
        } else if (rejectedFor(fingerprint, now)) {
            notices.push_back(reportOf(fingerprint, true, now));
        }
    }
    return notices;
}

void CrashAttribution::merge(const std::vector<SuspectReport> &reports, Time now)
{
    std::vector<Decisions::SuspectNotice> deaths;
    for (const auto &report : reports) {
        if (report.completes) {
            clear(report.fingerprint, EvidenceLoss::CompletedAtPeer, now);
            continue;
        }
        for (const auto run : report.deaths) {
            if (runs_.count(run) > 0) {
                ended(run, now);
            }
        }
        if (completedRecently(report.fingerprint, now)) {
            if (vindicatedAt_.emplace(report.fingerprint, now).second) {
                unannounced_.insert(report.fingerprint);
            }
            continue;
        }
        mergeBreaks(report, now);
        if (!report.deaths.empty()) {
            Decisions::SuspectNotice notice{report.fingerprint, {}, milliseconds(report.ageMs)};
            std::transform(report.deaths.begin(), report.deaths.end(),
                           std::back_inserter(notice.deaths), nameOf);
            deaths.push_back(std::move(notice));
        }
    }
    recordStarts(quarantine_->merge(deaths, now), true);
}

void CrashAttribution::mergeBreaks(const SuspectReport &report, Time now)
{
    for (const auto &reported : report.breaks) {
        const Time at = now - milliseconds(reported.ageMs);
        const auto answered = answeredAt_.find(reported.run);
        const bool refuted = answered != answeredAt_.end() && answered->second > at;
        if (refuted || now - at > ConfirmationTime) {
            continue;
        }
        addBreak(reported.run, report.fingerprint, {at, false}, now);
        if (endedAt_.count(reported.run) > 0) {
            ended(reported.run, now);
        }
    }
}

void CrashAttribution::recordStarts(const std::vector<Decisions::QuarantineStart> &starts,
                                    bool reportedByPeer)
{
    for (const auto &start : starts) {
        events_.push_back(RequestQuarantine{start.fingerprint, start.deaths, reportedByPeer});
    }
}

std::vector<CrashEvent> CrashAttribution::takeEvents()
{
    return std::exchange(events_, {});
}

} // namespace LaburnumChute::Dispatch
