#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include <nlohmann/json.hpp>

#include "Dispatch/LoadReports.h"

namespace LaburnumChute::Dispatch {

/// Whether the region yields for a service: whether requests that other regions may serve leave the
/// region's endpoints to those that are restricted to some regions.
///
/// Load pattern: the short prompts of a service may be served only in some regions, its long
/// prompts anywhere. At a peak the endpoints of those regions are full while those of another one
/// have free slots. A long prompt occupies a slot for several times as long as a short one, and
/// is late if it is forwarded only after it found no slot here.
///
/// The region yields while restricted requests lack capacity at any of its instances: they wait,
/// or were rejected within the last second. A few of them at a time do not count, since slots are
/// divided among instances, and some request waits for a moment even at a moderate load. Yielding
/// goes on for as long as load reports may be old, so that it does not oscillate.
class RegionYield
{
public:
    /// Sets the numbers of this instance's restricted requests that wait for capacity, by service;
    /// zero for services that are not included.
    void setWaiting(const std::map<std::uint32_t, int> &waiting);
    /// Records that this instance rejected a restricted request for lack of capacity.
    void rejected(std::uint32_t service, Time now);
    /// Applies the load report of another instance of the region.
    void reported(const InstanceId &instance, const std::vector<ServiceWork> &services, Time now);
    /// Removes the reports of instances that are not in the list.
    void keep(const std::vector<InstanceId> &instances);
    /// Sets this instance's counts for its own load report.
    void fill(ServiceWork &work, Time now);

    /// Decides again whether the region yields.
    /// @param sentPerSecond requests of the service that this instance sends to endpoints
    void update(std::uint32_t service, double sentPerSecond, Time now);
    bool yields(std::uint32_t service, Time now) const;
    /// Whole seconds of yielding since the last call.
    std::uint64_t takeSeconds(std::uint32_t service);
    /// Null if no restricted requests have lacked capacity.
    nlohmann::json dump(std::uint32_t service, Time now);

private:
    struct State
    {
        int waiting = 0;
        /// Times of own rejections within the last second.
        std::deque<Time> rejections;
        Time updatedAt{};
        Time yieldsUntil{};
        Duration yielded{0};
    };
    struct Lack
    {
        std::uint32_t service = 0;
        int waiting = 0;
        int rejected = 0;
    };
    struct Report
    {
        std::vector<Lack> lacks;
        Time at{};
    };
    /// Sum of what is known of all instances.
    struct Region
    {
        double lacking = 0;
        int instances = 1;
    };

    static int ownRejections(State &state, Time now);
    Region region(std::uint32_t service, State &state, Time now) const;

    std::map<std::uint32_t, State> services_;
    std::map<InstanceId, Report> reports_;
};

} // namespace LaburnumChute::Dispatch
