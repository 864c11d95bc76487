#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// Decides for all requests of one gateway instance. Not thread-safe; to be used from one thread.
///
/// Each input returns the actions to be taken now, in order. A submitted request results in exactly
/// one of: Reject; Drop; or a Dispatch or Forward that ends with finished(), which may return
/// another Dispatch (at once or from a later tick()), a Reject, or nothing if the request was
/// completed or cancelled.
class Scheduler
{
public:
    /// @param self this instance
    /// @param home the region of this instance
    /// @param seed seed of all random choices; must differ between instances
    Scheduler(SchedulerOptions options, InstanceId self, RegionName home, std::uint64_t seed);
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    /// A request from a caller or, with forwardedFrom set, from another region's gateway.
    Effects submit(RequestFacts facts, Time now);
    /// Cancels a request whose caller has left. Unknown ids are ignored.
    Effects cancel(const RequestId &request, Time now);

    /// The first token (or first byte of a service's response) arrived from the endpoint. The
    /// endpoint is empty if the request was forwarded.
    Effects firstToken(const RequestId &request, const EndpointId &endpoint, Time now);
    /// Total number of tokens generated so far.
    Effects progress(const RequestId &request, const EndpointId &endpoint, std::int64_t tokens,
                     Time now);
    /// The attempt on the endpoint ended. The endpoint is empty if the request was forwarded.
    Effects finished(const RequestId &request, const EndpointId &endpoint, Outcome outcome,
                     Time now);

    /// Replaces the list of endpoints of all regions; those of other regions get no requests from
    /// here. Requests on endpoints that were removed are tracked until finished().
    Effects updateEndpoints(const std::vector<EndpointFacts> &endpoints, Time now);
    Effects reportLoad(const EndpointId &endpoint, const LoadReport &report, Time now);
    /// Whether the endpoint can be reached, according to its load polls. An unreachable endpoint
    /// gets no requests, regardless of maxEjectedFraction, unless all are unreachable.
    Effects reachability(const EndpointId &endpoint, bool reachable, Time now);
    Effects cacheEvent(const EndpointId &endpoint, CacheOperation operation, std::uint64_t prefix,
                       std::int64_t tokens, Time now);
    /// The instances of the home region that serve callers, including this one.
    Effects updateInstances(const std::vector<InstanceId> &instances, Time now);
    /// Summaries from other regions, one for each region and target.
    Effects updateRegions(const std::vector<RegionSummary> &regions, Time now);
    Effects updateLimits(const std::vector<CustomerLimit> &limits, Time now);
    /// To be called at the time that nextWakeup() returns, or later.
    Effects tick(Time now);

    /// Merges quarantine state from another instance.
    void mergeSuspects(const std::vector<SuspectNotice> &notices, Time now);
    std::vector<SuspectNotice> suspectNotices(Time now) const;

    /// Next time at which tick() has work to do.
    std::optional<Time> nextWakeup() const;
    /// Summaries of this region for other regions, one for each target with an endpoint here. The
    /// receiver fills in the fields about links.
    std::vector<RegionSummary> regionSummary(Time now) const;
    std::vector<TargetDemand> demand(Time now) const;
    nlohmann::json dump(Time now) const;
    /// Decisions about a request, oldest first; empty if it is unknown or no longer kept.
    std::vector<std::string> explain(const RequestId &request) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace LaburnumChute::Decisions
