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
    /// Start of its slow start; none for the endpoints of the first list.
    std::optional<Time> rampFrom;
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
    std::vector<Slot> update(const std::vector<EndpointFacts> &endpoints, Time now);
    void setInstances(std::size_t instances);
    std::size_t instances() const
    {
        return instances_;
    }

    std::optional<Slot> find(const EndpointId &endpoint) const;
    EndpointState &at(Slot slot)
    {
        return *states_[slot];
    }
    const EndpointState &at(Slot slot) const
    {
        return *states_[slot];
    }
    /// The subset for a target without adapter; endpoints that leave are not in it.
    const std::vector<Slot> &candidates(const Target &base) const;
    const std::map<Target, std::vector<Slot>> &targets() const
    {
        return subsets_;
    }
    /// All slots in use.
    std::vector<Slot> slots() const;

    /// Requests that all instances together may have on the endpoint now.
    double limit(Slot slot, Time now) const;
    bool hasRoom(Slot slot, Time now) const;
    /// Decode tokens a second at full batch; 0 when nothing is known.
    double tokensPerSecond(Slot slot) const;
    /// This instance's share of what its subset can do, in decode tokens a second.
    double capacity(const Target &base) const;
    /// Free part of capacity().
    double freeCapacity(const Target &base, Time now) const;

private:
    void rebuildSubsets();

    const RoutingOptions *routing_;
    const ConcurrencyOptions *concurrency_;
    InstanceId self_;
    RegionName home_;
    std::size_t instances_ = 1;
    bool first_ = true;
    std::vector<std::unique_ptr<EndpointState>> states_;
    std::vector<Slot> free_;
    std::unordered_map<EndpointId, Slot> byId_;
    std::map<Target, std::vector<Slot>> subsets_;
};

} // namespace LaburnumChute::Decisions
