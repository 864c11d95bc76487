#pragma once

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Decisions/ConcurrencyLimit.h"
#include "Decisions/EndpointLoad.h"
#include "Decisions/Facts.h"
#include "Decisions/PrefixIndex.h"

namespace LaburnumChute::Decisions {

/// One endpoint of the home region as the scheduler knows it.
struct EndpointState
{
    EndpointState(EndpointFacts endpointFacts, const RoutingOptions &routing,
                  const ConcurrencyOptions &concurrency)
        : facts(std::move(endpointFacts))
        , load(routing)
        , limit(concurrency)
    {
    }

    EndpointFacts facts;
    EndpointLoad load;
    ConcurrencyLimit limit;
    /// False once the endpoint left the list or its region.
    bool listed = true;
    /// False while nothing can be sent to it: neither slow nor failing, but gone for now.
    bool reachable = true;
    /// Start of its slow start; none for the endpoints of the first list.
    std::optional<Time> rampFrom;
    /// Instances that have it in their subset, on average.
    double users = 1;
    /// Mean time that a request holds a place on it; a second until some have ended.
    double holdSeconds = 1;

    bool hasAdapter(const AdapterName &adapter) const;
};

/// The endpoints of the home region and, for each target, the subset that this instance uses.
///
/// Load pattern: 2,900 instances before 10,000 runners. If each instance used each endpoint, every
/// endpoint would answer thousands of load polls and every decision would look at thousands of
/// candidates. The subset is chosen by rendezvous hash of (instance, endpoint), so that it needs no
/// agreement and the loss of an endpoint changes one place of it.
class EndpointTable
{
public:
    EndpointTable(const RoutingOptions &routing, const ConcurrencyOptions &concurrency,
                  InstanceId self, RegionName home);

    /// Returns the slots that were given up: nothing may be remembered of them.
    std::vector<EndpointHandle> update(const std::vector<EndpointFacts> &endpoints, Time now);
    void setInstances(std::size_t instances);
    std::size_t instances() const
    {
        return instances_;
    }

    std::optional<EndpointHandle> find(const EndpointId &endpoint) const;
    EndpointState &at(EndpointHandle handle)
    {
        return *states_[handle];
    }
    const EndpointState &at(EndpointHandle handle) const
    {
        return *states_[handle];
    }
    /// The subset for a target without adapter; endpoints that leave are not in it.
    const std::vector<EndpointHandle> &candidates(const Target &base) const;
    const std::map<Target, std::vector<EndpointHandle>> &targets() const
    {
        return subsets_;
    }
    /// Whether some candidate of the target is reachable; with none all are worth a try.
    bool anyReachable(const Target &base) const;
    /// All slots in use.
    std::vector<EndpointHandle> handles() const;

    /// Requests that all instances together may have on the endpoint now.
    double limit(EndpointHandle handle, Time now) const;
    /// Whether one more may be sent: always within this instance's equal part of the limit, beyond
    /// it only while the endpoint as a whole seems to have room. Without the first rule an instance
    /// that has nothing on a busy endpoint never gets a place there: the others, who see their own
    /// requests end, refill each place before the next report shows it free. Its callers then time
    /// out while those of its neighbours are served at once.
    bool hasRoom(EndpointHandle handle, Time now) const;
    /// Decode tokens a second at full batch; 0 when nothing is known.
    double tokensPerSecond(EndpointHandle handle) const;
    /// This instance's share of what its subset can do, in decode tokens a second.
    double capacity(const Target &base) const;
    /// The whole region's capacity, judged by the subset.
    double regionCapacity(const Target &base) const;
    /// Free part of what the whole region can do, judged by the subset.
    double freeCapacity(const Target &base, Time now) const;

private:
    void rebuildSubsets();
    /// Requests of other instances that are likely to have ended since the report. Kept as a queue
    /// on the endpoint: the more instances and the older the reports, the less a queue here knows
    /// of places that fall free, and a place that nobody knows of stands empty.
    static double unseenTurnover(const EndpointState &state, Time now);
    void countUsers();
    double subsetCapacity(const Target &base) const;
    /// Endpoints of the target in the region for each one in the subset.
    double regionPerSubset(const Target &base) const;

    const RoutingOptions *routing_;
    const ConcurrencyOptions *concurrency_;
    InstanceId self_;
    RegionName home_;
    std::size_t instances_ = 1;
    bool first_ = true;
    std::vector<std::unique_ptr<EndpointState>> states_;
    std::vector<EndpointHandle> free_;
    std::unordered_map<EndpointId, EndpointHandle> byId_;
    std::map<Target, std::vector<EndpointHandle>> subsets_;
    std::map<Target, std::size_t> inRegion_;
};

} // namespace LaburnumChute::Decisions
