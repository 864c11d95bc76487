#include "Decisions/Scheduler.h"

#include <algorithm>

#include "Decisions/SchedulerImpl.h"

namespace LaburnumChute::Decisions {

Scheduler::Scheduler(SchedulerOptions options, InstanceId self, RegionName home, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(options, std::move(self), std::move(home), seed))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

Effects Scheduler::submit(RequestFacts facts, Time now)
{
    impl_->lastNow = now;
    Effects effects;
    impl_->submit(std::move(facts), now, effects);
    return effects;
}

Effects Scheduler::cancel(const RequestId &request, Time now)
{
    impl_->lastNow = now;
    Effects effects;
    impl_->cancel(request, now, effects);
    return effects;
}

Effects Scheduler::firstToken(const RequestId &request, const EndpointId &endpoint, Time now)
{
    impl_->lastNow = now;
    Effects effects;
    impl_->firstToken(request, endpoint, now, effects);
    return effects;
}

Effects Scheduler::progress(const RequestId &request, const EndpointId & /*endpoint*/,
                            std::int64_t tokens, Time now)
{
    impl_->lastNow = now;
    const auto found = impl_->requests.find(request);
    if (found != impl_->requests.end()) {
        found->second.generated = std::max(found->second.generated, tokens);
    }
    return {};
}

Effects Scheduler::finished(const RequestId &request, const EndpointId &endpoint, Outcome outcome,
                            Time now)
{
    impl_->lastNow = now;
    Effects effects;
    impl_->finished(request, endpoint, outcome, now, effects);
    return effects;
}

Effects Scheduler::updateEndpoints(const std::vector<EndpointFacts> &endpoints, Time now)
{
    impl_->lastNow = now;
    Effects effects;
    impl_->endpointsChanged(endpoints, now);
    impl_->drainAll(now, effects);
    return effects;
}

Effects Scheduler::reportLoad(const EndpointId &endpoint, const LoadReport &report, Time now)
{
    impl_->lastNow = now;
    Effects effects;
    const auto handle = impl_->table.find(endpoint);
    if (!handle) {
        return effects;
    }
    auto &state = impl_->table.at(*handle);
    state.load.report(report, now);
    state.limit.setBatchLimit(report.batchLimit);
    for (const auto &target : state.facts.targets) {
        impl_->drain(target.base(), now, effects);
    }
    return effects;
}

Effects Scheduler::reachability(const EndpointId &endpoint, bool reachable, Time now)
{
    impl_->lastNow = now;
    Effects effects;
    const auto handle = impl_->table.find(endpoint);
    if (!handle) {
        return effects;
    }
    auto &state = impl_->table.at(*handle);
    if (!reachable && state.reachable) {
        impl_->prefixes.forget(*handle);
    }
    if (reachable && !state.reachable) {
        state.slowStartAt = now;
    }
    state.reachable = reachable;
    for (const auto &target : state.facts.targets) {
        impl_->drain(target.base(), now, effects);
    }
    return effects;
}

Effects Scheduler::cacheEvent(const EndpointId &endpoint, CacheOperation operation,
                              std::uint64_t prefix, std::int64_t /*tokens*/, Time now)
{
    impl_->lastNow = now;
    const auto handle = impl_->table.find(endpoint);
    if (handle && operation == CacheOperation::Stored) {
        impl_->prefixes.stored(*handle, prefix);
    } else if (handle) {
        impl_->prefixes.evicted(*handle, prefix);
    }
    return {};
}

Effects Scheduler::updateInstances(const std::vector<InstanceId> &instances, Time now)
{
    impl_->lastNow = now;
    impl_->table.setInstances(instances.size());
    impl_->spill.setInstances(instances.size());
    return {};
}

Effects Scheduler::updateRegions(const std::vector<RegionSummary> &regions, Time now)
{
    impl_->lastNow = now;
    impl_->spill.update(regions, now);
    return {};
}

Effects Scheduler::updateLimits(const std::vector<CustomerLimit> &limits, Time now)
{
    impl_->lastNow = now;
    impl_->admission.setLimits(limits);
    return {};
}

Effects Scheduler::tick(Time now)
{
    impl_->lastNow = now;
    Effects effects;
    impl_->tick(now, effects);
    return effects;
}

void Scheduler::mergeSuspects(const std::vector<SuspectNotice> &notices, Time now)
{
    impl_->lastNow = now;
    impl_->quarantine.merge(notices, now);
}

std::vector<SuspectNotice> Scheduler::suspectNotices(Time now) const
{
    return impl_->quarantine.notices(now);
}

std::optional<Time> Scheduler::nextWakeup() const
{
    return impl_->nextWakeup();
}

std::vector<RegionSummary> Scheduler::regionSummary(Time now) const
{
    std::vector<RegionSummary> result;
    for (const auto &[target, handles] : impl_->table.targets()) {
        const double region = impl_->table.regionCapacity(target);
        RegionSummary summary;
        summary.region = impl_->home;
        summary.target = target;
        summary.freeTokensPerSecond = impl_->table.freeCapacity(target, now);
        summary.expectedWait = impl_->admission.expectedWait(
            target, std::numeric_limits<int>::max(), impl_->table.capacity(target), now);
        summary.utilisation = region > 0 ? 1 - summary.freeTokensPerSecond / region : 0;
        summary.prefillTokensPerSecond = impl_->prefillRate(target);
        result.push_back(std::move(summary));
    }
    return result;
}

std::vector<TargetDemand> Scheduler::demand(Time now) const
{
    return impl_->demand.demand(now);
}

nlohmann::json Scheduler::dump(Time now) const
{
    return impl_->dump(now);
}

std::vector<std::string> Scheduler::explain(const RequestId &request) const
{
    return impl_->trace.explain(request);
}

} // namespace LaburnumChute::Decisions
