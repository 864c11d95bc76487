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

/// State of an endpoint of the home region.
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
    /// False once the endpoint was removed from the list or moved to another region.
    bool listed = true;
    /// False while the endpoint cannot be reached at all, as opposed to being slow or failing.
    bool reachable = true;
    /// Start of its slow start; not set for the endpoints of the first list.
    std::optional<Time> slowStartAt;
    /// Mean number of instances that have the endpoint in their subset.
    double sharingInstances = 1;
    /// Mean time for which a request holds a slot; 1 s until requests have ended.
    double meanServiceSeconds = 1;

    bool hasAdapter(const AdapterName &adapter) const;
};

/// The endpoints of the home region and, for each target, the subset that this instance uses.
///
/// Load pattern: thousands of instances and engines. If each instance used every endpoint, every
/// endpoint would answer thousands of load polls and every decision would compare thousands of
/// candidates. The subset is chosen by rendezvous hashing of (instance, endpoint), which needs no
/// coordination, and the loss of an endpoint changes only one entry.
class EndpointTable
{
public:
    EndpointTable(const RoutingOptions &routing, const ConcurrencyOptions &concurrency,
                  InstanceId self, RegionName home);

    /// Returns the handles that were freed; the caller must drop all state kept under them.
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
    /// The subset for a target without its adapter, without endpoints that are leaving.
    const std::vector<EndpointHandle> &candidates(const Target &base) const;
    const std::map<Target, std::vector<EndpointHandle>> &targets() const
    {
        return subsets_;
    }
    /// Whether any candidate of the target is reachable. If none is, all may be used.
    bool anyReachable(const Target &base) const;
    /// All handles in use.
    std::vector<EndpointHandle> handles() const;

    /// Maximum number of requests that all instances together may have on the endpoint now.
    double limit(EndpointHandle handle, Time now) const;
    /// Whether this instance may send one more request: always within its equal part of the limit,
    /// and beyond it only while the endpoint as a whole seems to have spare capacity. Without the
    /// first rule an instance without requests on a busy endpoint never gets a slot there: its
    /// peers see their own requests end and refill each slot before the next report shows it as
    /// free, so that this instance's callers time out while those of its peers are served at once.
    bool hasSpareCapacity(EndpointHandle handle, Time now) const;
    /// Decode tokens per second at full batch. A plain service's calls count as one token each.
    double tokensPerSecond(EndpointHandle handle) const;
    /// This instance's equal part of the region's capacity, in decode tokens per second.
    double capacity(const Target &base) const;
    /// The region's capacity, extrapolated from the subset.
    double regionCapacity(const Target &base) const;
    /// The region's free capacity, extrapolated from the subset.
    double freeCapacity(const Target &base, Time now) const;

private:
    void rebuildSubsets();
    /// Estimated number of requests of peers that ended since the report. That many more are kept
    /// queued on the endpoint: the more instances there are and the older the reports, the less an
    /// instance knows of slots that become free, and a slot that nobody knows of stays empty.
    static double estimatedUnreportedEnds(const EndpointState &state, Time now);
    void updateSharingInstances();
    double subsetCapacity(const Target &base) const;
    /// Number of the target's endpoints in the region divided by the size of the subset.
    double regionToSubsetRatio(const Target &base) const;

    const RoutingOptions *routing_;
    const ConcurrencyOptions *concurrency_;
    InstanceId self_;
    RegionName home_;
    std::size_t instances_ = 1;
    bool awaitingFirstList_ = true;
    std::vector<std::unique_ptr<EndpointState>> states_;
    std::vector<EndpointHandle> freeHandles_;
    std::unordered_map<EndpointId, EndpointHandle> byId_;
    std::map<Target, std::vector<EndpointHandle>> subsets_;
    std::map<Target, std::size_t> endpointsInRegion_;
};

} // namespace LaburnumChute::Decisions
