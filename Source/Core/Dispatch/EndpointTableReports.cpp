#include "Dispatch/EndpointTable.h"

#include <algorithm>

namespace LaburnumChute::Dispatch {

namespace {

/// Placements are repeated in every report for this long, so that losing one does no harm.
constexpr milliseconds PlacementLifetime{1000};
constexpr milliseconds PlacementLifetimeOtherRegions{4000};
constexpr std::size_t MaxPlacements = 64;
/// Interval between the batches in which a new process reports the placements that it learned at
/// once: each batch is in two heartbeats within the region and in one to other regions.
constexpr milliseconds BatchInterval{500};
/// Bounds the size of a heartbeat. With more than a few instances, each has requests on fewer
/// endpoints.
constexpr std::size_t MaxUses = 512;
/// How long the end of a limit is reported, so that it reaches every instance of the region.
constexpr milliseconds EndedLimitLifetime{3000};
constexpr std::size_t MaxReportedLimits = 128;
/// More machines than this are not slow within one interval of reports.
constexpr std::size_t MaxReportedSpeeds = 64;
/// The age has two bytes in a report. An older figure has lost its value.
constexpr std::int64_t MaxSpeedAgeMs = 60000;

} // namespace

// What the instances report to each other.

void EndpointTable::setLoadReport(const InstanceId &instance, const RegionLoadReport &report,
                                  Time now)
{
    estimate_.reported(instance, report, now);
    loadIsStale_ = true;
    learn(report.placements);
    brittleness_.learn(report.brittle, now);
    learn(report.speeds, now);
    for (const auto &reported : report.limits) {
        const auto found = byShortId_.find(reported.endpoint);
        if (found != byShortId_.end()) {
            const auto limit = reported.limited ? std::optional(reported.perSecond) : std::nullopt;
            const auto at = now - milliseconds(reported.ageMs);
            limitsChanged_ = found->second->limit.update({limit, at}) || limitsChanged_;
        }
    }
}

std::vector<LimitReport> EndpointTable::limits(Time now) const
{
    std::vector<LimitReport> reports;
    for (const auto &[id, state] : endpoints_) {
        const auto &statement = state->limit.statement();
        const auto age = std::chrono::duration_cast<milliseconds>(now - statement.at);
        const auto ended = state->limit.endedAt();
        const bool reported =
            state->limit.limited() || (ended && now - *ended <= EndedLimitLifetime);
        if (reported && reports.size() < MaxReportedLimits) {
            reports.push_back({shortId(id), state->limit.limited(), statement.perSecond.value_or(0),
                               static_cast<std::uint32_t>(age.count())});
        }
    }
    return reports;
}

std::vector<SpeedReport> EndpointTable::takeSpeeds(Time now)
{
    std::vector<std::pair<Duration, SpeedReport>> byAge;
    for (const auto &[id, state] : endpoints_) {
        if (const auto figure = state->speed.takeReport()) {
            const auto age = now - figure->at;
            const auto ageMs = std::chrono::duration_cast<milliseconds>(age).count();
            byAge.emplace_back(age,
                               SpeedReport{shortId(id), static_cast<std::uint16_t>(figure->percent),
                                           static_cast<std::uint16_t>(
                                               std::clamp<std::int64_t>(ageMs, 0, MaxSpeedAgeMs))});
        }
    }
    std::sort(byAge.begin(), byAge.end(),
              [](const auto &left, const auto &right) { return left.first < right.first; });
    byAge.resize(std::min(byAge.size(), MaxReportedSpeeds));
    std::vector<SpeedReport> reports;
    for (const auto &[age, report] : byAge) {
        reports.push_back(report);
    }
    return reports;
}

void EndpointTable::learn(const std::vector<SpeedReport> &speeds, Time now)
{
    for (const auto &report : speeds) {
        const auto found = byShortId_.find(report.endpoint);
        if (found != byShortId_.end() && report.percent > 0) {
            found->second->speed.learn({report.percent, now - milliseconds(report.ageMs)});
        }
    }
}

void EndpointTable::learn(const std::vector<PartPlacement> &placements)
{
    for (const auto &placement : placements) {
        const auto found = byShortId_.find(placement.endpoint);
        if (found != byShortId_.end()) {
            found->second->cache.use(Dialect::PromptPart{placement.part, placement.tokens});
        }
    }
}

void EndpointTable::learn(const InstanceId &sender, const PromptNotice &notice, Time now)
{
    const auto found = byShortId_.find(notice.endpoint);
    if (found == byShortId_.end()) {
        return;
    }
    auto &state = *found->second;
    const auto &model = engine(state.listed.record.service);
    state.prefillQueue.add(now, model.busyPrefillTime(notice.prefillTokens));
    noticeTransfer(state, notice, now);
    estimate_.noticed(sender, notice.endpoint, now);
    loadIsStale_ = true;
    for (const auto &part : notice.parts) {
        state.cache.use(Dialect::PromptPart{part.id, part.tokens});
        addPlacement({now, {notice.endpoint, part.id, part.tokens}, true}, now);
    }
}

void EndpointTable::placed(const EndpointState &endpoint,
                           const std::vector<Dialect::PromptPart> &parts, bool noticed, Time now)
{
    std::size_t count = 0;
    for (const auto &part : parts) {
        if (part.tokens < options_->copyMinimumTokens) {
            continue;
        }
        PartPlacement placement;
        placement.endpoint = shortId(endpoint.listed.record.id);
        placement.part = part.id;
        placement.tokens = static_cast<std::uint32_t>(part.tokens);
        const auto batch = static_cast<int>(count / MaxPlacements);
        addPlacement({now + batch * BatchInterval, placement, noticed}, now);
        ++count;
    }
}

void EndpointTable::addPlacement(const RecentPlacement &placement, Time now)
{
    placements_.push_back(placement);
    while (!placements_.empty() && now - placements_.front().at > PlacementLifetimeOtherRegions) {
        placements_.pop_front();
    }
}

WaitingWork EndpointTable::waitingAtOthers(const ServiceName &name) const
{
    return estimate_.waitingAtOthers(shortId(name));
}

RegionLoadReport EndpointTable::loadReport(Time now)
{
    RegionLoadReport report;
    for (const auto &[id, state] : endpoints_) {
        state->reportedOwn = state->own;
        if (state->own > 0 && report.uses.size() < MaxUses) {
            report.uses.push_back({shortId(id), static_cast<std::uint16_t>(state->own)});
        }
    }
    report.placements = recentPlacements(PlacementLifetime, false, now);
    report.limits = limits(now);
    report.brittle = brittleness_.reports(now);
    report.speeds = takeSpeeds(now);
    return report;
}

std::vector<PartPlacement> EndpointTable::placementsForOtherRegions(Time now) const
{
    return recentPlacements(PlacementLifetimeOtherRegions, true, now);
}

/// The most recent placements, each endpoint's part once.
std::vector<PartPlacement> EndpointTable::recentPlacements(Duration age, bool includeNoticed,
                                                           Time now) const
{
    std::vector<PartPlacement> result;
    std::set<std::pair<std::uint32_t, std::uint64_t>> included;
    for (auto left = placements_.size(); left > 0 && result.size() < MaxPlacements; --left) {
        const auto &recent = placements_[left - 1];
        const auto &placement = recent.placement;
        const bool due =
            recent.at <= now && now - recent.at <= age && (includeNoticed || !recent.noticed);
        if (due && included.insert({placement.endpoint, placement.part}).second) {
            result.push_back(placement);
        }
    }
    return result;
}

} // namespace LaburnumChute::Dispatch
