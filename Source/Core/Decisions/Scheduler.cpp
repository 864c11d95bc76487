#include "Decisions/Scheduler.h"

#include <algorithm>

#include "Decisions/SchedulerParts.h"

namespace LaburnumChute::Decisions {

Scheduler::Scheduler(SchedulerOptions options, InstanceId self, RegionName home, std::uint64_t seed)
    : parts_(std::make_unique<Parts>(options, std::move(self), std::move(home), seed))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

Effects Scheduler::submit(RequestFacts facts, Time now)
{
    parts_->lastNow = now;
    Effects effects;
    parts_->submit(std::move(facts), now, effects);
    return effects;
}

Effects Scheduler::cancel(const RequestId &request, Time now)
{
    parts_->lastNow = now;
    Effects effects;
    parts_->cancel(request, now, effects);
    return effects;
}

Effects Scheduler::firstToken(const RequestId &request, const EndpointId &endpoint, Time now)
{
    parts_->lastNow = now;
    Effects effects;
    parts_->firstToken(request, endpoint, now, effects);
    return effects;
}

Effects Scheduler::progress(const RequestId &request, const EndpointId & /*endpoint*/,
                            std::int64_t tokens, Time now)
{
    parts_->lastNow = now;
    const auto found = parts_->requests.find(request);
    if (found != parts_->requests.end()) {
        found->second.generated = std::max(found->second.generated, tokens);
    }
    return {};
}

Effects Scheduler::finished(const RequestId &request, const EndpointId &endpoint, Outcome outcome,
                            Time now)
{
    parts_->lastNow = now;
    Effects effects;
    parts_->finished(request, endpoint, outcome, now, effects);
    return effects;
}

Effects Scheduler::updateEndpoints(const std::vector<EndpointFacts> &endpoints, Time now)
{
    parts_->lastNow = now;
    Effects effects;
    parts_->endpointsChanged(endpoints, now);
    parts_->drainAll(now, effects);
    return effects;
}

Effects Scheduler::reportLoad(const EndpointId &endpoint, const LoadReport &report, Time now)
{
    parts_->lastNow = now;
    Effects effects;
    const auto handle = parts_->table.find(endpoint);
    if (!handle) {
        return effects;
    }
    auto &state = parts_->table.at(*handle);
    state.load.report(report, now);
    state.limit.setBatchLimit(report.batchLimit);
    for (const auto &target : state.facts.targets) {
        parts_->drain(target.base(), now, effects);
    }
    return effects;
}

Effects Scheduler::reachability(const EndpointId &endpoint, bool reachable, Time now)
{
    parts_->lastNow = now;
    Effects effects;
    const auto handle = parts_->table.find(endpoint);
    if (!handle) {
        return effects;
    }
    auto &state = parts_->table.at(*handle);
    if (!reachable && state.reachable) {
        parts_->prefixes.forget(*handle);
    }
    if (reachable && !state.reachable) {
        state.rampFrom = now;
    }
    state.reachable = reachable;
    for (const auto &target : state.facts.targets) {
        parts_->drain(target.base(), now, effects);
    }
    return effects;
}

Effects Scheduler::cacheEvent(const EndpointId &endpoint, CacheOperation operation,
                              std::uint64_t prefix, std::int64_t /*tokens*/, Time now)
{
    parts_->lastNow = now;
    const auto handle = parts_->table.find(endpoint);
    if (handle && operation == CacheOperation::Stored) {
        parts_->prefixes.stored(*handle, prefix);
    } else if (handle) {
        parts_->prefixes.evicted(*handle, prefix);
    }
    return {};
}

Effects Scheduler::updateInstances(const std::vector<InstanceId> &instances, Time now)
{
    parts_->lastNow = now;
    parts_->table.setInstances(instances.size());
    parts_->spill.setInstances(instances.size());
    return {};
}

Effects Scheduler::updateRegions(const std::vector<RegionSummary> &regions, Time now)
{
    parts_->lastNow = now;
    parts_->spill.update(regions, now);
    return {};
}

Effects Scheduler::updateLimits(const std::vector<CustomerLimit> &limits, Time now)
{
    parts_->lastNow = now;
    parts_->admission.setLimits(limits);
    return {};
}

Effects Scheduler::tick(Time now)
{
    parts_->lastNow = now;
    Effects effects;
    parts_->tick(now, effects);
    return effects;
}

void Scheduler::mergeSuspects(const std::vector<SuspectNotice> &notices, Time now)
{
    parts_->lastNow = now;
    parts_->quarantine.merge(notices, now);
}

std::vector<SuspectNotice> Scheduler::suspectNotices(Time now) const
{
    return parts_->quarantine.notices(now);
}

std::optional<Time> Scheduler::nextWakeup() const
{
    return parts_->nextWakeup();
}

std::vector<RegionSummary> Scheduler::regionSummary(Time now) const
{
    std::vector<RegionSummary> result;
    for (const auto &[target, handles] : parts_->table.targets()) {
        const double region = parts_->table.regionCapacity(target);
        RegionSummary summary;
        summary.region = parts_->home;
        summary.target = target;
        summary.freeTokensPerSecond = parts_->table.freeCapacity(target, now);
        summary.expectedWait = parts_->admission.expectedWait(
            target, std::numeric_limits<int>::max(), parts_->table.capacity(target), now);
        summary.utilisation = region > 0 ? 1 - summary.freeTokensPerSecond / region : 0;
        summary.prefillTokensPerSecond = parts_->prefillRate(target);
        result.push_back(std::move(summary));
    }
    return result;
}

std::vector<TargetDemand> Scheduler::demand(Time now) const
{
    return parts_->demand.demand(now);
}

nlohmann::json Scheduler::dump(Time now) const
{
    return parts_->dump(now);
}

std::vector<std::string> Scheduler::explain(const RequestId &request) const
{
    return parts_->trace.explain(request);
}

} // namespace LaburnumChute::Decisions
