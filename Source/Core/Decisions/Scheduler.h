#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// All decisions of one gateway instance. Not thread-safe: one thread feeds it.
///
/// Each input returns what is to be done now, in order. For each submitted request there is exactly
/// one of: Refuse; Drop; or a Dispatch or Forward that ends with finished(), which in turn may
/// return another Dispatch (at once or from a later tick()), a Refuse, or nothing when the request
/// was completed or cancelled.
class Scheduler
{
public:
    /// @param self     this instance
    /// @param home     the region in which it runs
    /// @param seed     of all random choices; give each instance another one
    Scheduler(SchedulerOptions options, InstanceId self, RegionName home, std::uint64_t seed);
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    Scheduler &operator=(Scheduler &&) noexcept;

    /// A request from a caller or, with arrivedFrom set, from another region's gateway.
    Effects submit(RequestFacts facts, Time now);
    /// The caller left. Unknown ids are ignored.
    Effects cancel(const RequestId &request, Time now);

    /// The first token (or first byte of a service's answer) came from the endpoint; the endpoint
    /// is empty when the request was forwarded.
    Effects firstToken(const RequestId &request, const EndpointId &endpoint, Time now);
    /// Tokens generated in all so far.
    Effects progress(const RequestId &request, const EndpointId &endpoint, std::int64_t tokens,
                     Time now);
    /// The try on the endpoint ended; the endpoint is empty when the request was forwarded.
    Effects finished(const RequestId &request, const EndpointId &endpoint, Outcome outcome,
                     Time now);

    /// Replaces the list of endpoints, of all regions; those of other regions are never dispatched
    /// to. Requests on endpoints that left the list stay until finished().
    Effects updateEndpoints(const std::vector<EndpointFacts> &endpoints, Time now);
    Effects reportLoad(const EndpointId &endpoint, const LoadReport &report, Time now);
    /// Whether the endpoint can be reached at all, as its load reads show. An unreachable one is no
    /// candidate, whatever the ejection bound says, unless all are unreachable.
    Effects reachability(const EndpointId &endpoint, bool reachable, Time now);
    Effects cacheEvent(const EndpointId &endpoint, CacheOperation operation, std::uint64_t prefix,
                       std::int64_t tokens, Time now);
    /// The instances of the home region that serve callers, with this one.
    Effects updateInstances(const std::vector<InstanceId> &instances, Time now);
    /// What the other regions say, one entry for each region and target.
    Effects updateRegions(const std::vector<RegionSummary> &regions, Time now);
    Effects updateLimits(const std::vector<CustomerLimit> &limits, Time now);
    /// To be called at nextWakeup() or later.
    Effects tick(Time now);

    /// Adds what another instance has learned of dangerous requests.
    void mergeSuspects(const std::vector<SuspectNotice> &notices, Time now);
    std::vector<SuspectNotice> suspectNotices(Time now) const;

    /// The next moment at which tick() has something to do.
    std::optional<Time> nextWakeup() const;
    /// What peers are told about this region, one entry for each target that has an endpoint here;
    /// the fields about links are left to the receiver.
    std::vector<RegionSummary> regionSummary(Time now) const;
    std::vector<TargetDemand> demand(Time now) const;
    nlohmann::json dump(Time now) const;
    /// The last decisions on a request, oldest first; empty when unknown or forgotten.
    std::vector<std::string> explain(const RequestId &request) const;

private:
    class Parts;
    std::unique_ptr<Parts> parts_;
};

} // namespace LaburnumChute::Decisions
