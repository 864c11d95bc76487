// What instances tell each other of requests that crash endpoints.

#include <algorithm>
#include <tuple>

#include "Dispatch/CrashAttribution.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr std::size_t MaxRecentSuspects = 32;
constexpr std::size_t MaxOldSuspects = 4;
constexpr std::size_t MaxReportedCrashes = 8;
/// With fewer of them, fewer requests are sent to tell parts apart.
constexpr std::size_t MaxReportedCompanions = 4;
constexpr std::size_t MaxVindications = 1024;
/// They are small. Reports full of suspects must leave room for what clears suspects elsewhere.
constexpr std::size_t MaxReportedVindications = 16;

std::uint32_t toMilliseconds(Duration age)
{
    const auto count = std::chrono::duration_cast<milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, UINT32_MAX));
}

SuspectReport vindication(const SuspectKey &key, Time servedAt, Time now)
{
    SuspectReport report;
    report.key = key;
    report.served = true;
    report.servedAgeMs = toMilliseconds(now - servedAt);
    return report;
}

} // namespace

SuspectReport CrashAttribution::reportOf(const SuspectKey &key, bool includeOthers, Time now) const
{
    SuspectReport report;
    report.key = key;
    for (const auto &crash : evidence_.crashesOf(key)) {
        const bool ended = evidence_.run(crash.run)->endedAt.has_value();
        const bool mayTell = ended || crash.own || includeOthers;
        if (mayTell && evidence_.counts(crash)) {
            report.crashes.push_back({crash.run, toMilliseconds(now - crash.at), ended});
        }
    }
    report.companions = evidence_.companions(key);
    report.companions.resize(std::min(report.companions.size(), MaxReportedCompanions));
    const auto surplus =
        report.crashes.size() - std::min(report.crashes.size(), MaxReportedCrashes);
    report.crashes.erase(report.crashes.begin(),
                         report.crashes.begin() + static_cast<std::ptrdiff_t>(surplus));
    return report;
}

/// The most suspected of each kind, and any of those that are suspected alike.
///
/// Load pattern: requests are retried while one endpoint after the other crashes, so dozens of
/// bystanders have two crashes and are rejected. Of a part of a prompt, or of a content that
/// callers repeat, each instance sees a few crashes only, and there is no verdict before they are
/// added up. So no kind takes the room of another, and over several reports each key has its turn.
std::vector<SuspectKey> CrashAttribution::recentSuspects(Time now)
{
    using Rank = std::tuple<bool, std::size_t, std::uint64_t, SuspectKey>;
    std::map<SuspectKind, std::vector<Rank>> ranks;
    std::size_t count = 0;
    for (const auto &key : evidence_.suspects()) {
        if (now - evidence_.lastCrash(key) <= SuspectRepeatTime) {
            ranks[key.kind].emplace_back(evidence_.isRejected(key, now),
                                         evidence_.crashesOf(key).size(), random_(), key);
            ++count;
        }
    }
    for (auto &[kind, ofKind] : ranks) {
        std::sort(ofKind.begin(), ofKind.end());
    }
    count = std::min(count, MaxRecentSuspects);
    std::vector<SuspectKey> keys;
    while (keys.size() < count) {
        for (auto &[kind, ofKind] : ranks) {
            if (!ofKind.empty() && keys.size() < count) {
                keys.push_back(std::get<SuspectKey>(ofKind.back()));
                ofKind.pop_back();
            }
        }
    }
    return keys;
}

std::vector<SuspectReport> CrashAttribution::reports(Audience audience, Time now)
{
    std::vector<SuspectReport> reports;
    for (const auto &key : recentSuspects(now)) {
        const bool includeOthers =
            audience == Audience::OtherRegions || evidence_.isRejected(key, now);
        reports.push_back(reportOf(key, includeOthers, now));
    }
    std::vector<SuspectKey> old;
    for (const auto &[key, state] : rejected_) {
        if (now - evidence_.lastCrash(key) > SuspectRepeatTime) {
            old.push_back(key);
        }
    }
    std::vector<SuspectKey> sampled;
    std::sample(old.begin(), old.end(), std::back_inserter(sampled), MaxOldSuspects, random_);
    for (const auto &key : sampled) {
        reports.push_back(reportOf(key, true, now));
    }
    std::erase_if(reports, [](const SuspectReport &report) { return report.crashes.empty(); });
    std::size_t vindications = 0;
    for (const auto &[key, at] : vindicatedAt_) {
        const auto servedAt = sound_.lastServed(key, now);
        if (servedAt && vindications < MaxReportedVindications) {
            reports.push_back(vindication(key, *servedAt, now));
            ++vindications;
        }
    }
    return reports;
}

std::vector<SuspectReport> CrashAttribution::takeNotices(Time now)
{
    std::vector<SuspectReport> notices;
    // Keys that unlike requests share come first.
    for (auto next = unannounced_.begin();
         next != unannounced_.end() && notices.size() < MaxRecentSuspects;
         next = unannounced_.erase(next)) {
        const auto servedAt = sound_.lastServed(*next, now);
        if (servedAt && vindicatedAt_.count(*next) > 0) {
            notices.push_back(vindication(*next, *servedAt, now));
        } else if (evidence_.isRejected(*next, now)) {
            notices.push_back(reportOf(*next, true, now));
        }
    }
    return notices;
}

void CrashAttribution::merge(const std::vector<SuspectReport> &reports, Time now)
{
    for (const auto &report : reports) {
        const auto &key = report.key;
        if (report.served) {
            acquit(key, EvidenceLoss::CompletedAtPeer, now - milliseconds(report.servedAgeMs));
            continue;
        }
        for (const auto &crash : report.crashes) {
            if (crash.ended && evidence_.run(crash.run) != nullptr) {
                record({{crash.run, now}}, now);
            }
        }
        if (sound_.lastServed(key, now)) {
            const bool full = vindicatedAt_.size() >= MaxVindications;
            if (!full && vindicatedAt_.emplace(key, now).second && !isShared(key)) {
                unannounced_.insert(key);
            }
            continue;
        }
        mergeCrashes(report, now);
    }
    for (const auto &report : reports) {
        review(report.key, true, now);
    }
}

void CrashAttribution::mergeCrashes(const SuspectReport &report, Time now)
{
    for (const auto &crash : report.crashes) {
        const Time at = now - milliseconds(crash.ageMs);
        const auto answeredAt = runs_.answeredAt(crash.run);
        const bool refuted = answeredAt && *answeredAt > at;
        const bool tooOld = !crash.ended && now - at > ConfirmationTime;
        if (refuted || tooOld) {
            continue;
        }
        addCrash(report.key, {crash.run, at, false}, now);
        evidence_.narrowCompanions(report.key, report.companions);
        if (crash.ended || runs_.endedAt(crash.run)) {
            record({{crash.run, at}}, now);
        }
    }
}

} // namespace LaburnumChute::Dispatch
