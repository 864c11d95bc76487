#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Dispatch/Options.h"
#include "Dispatch/Shares.h"

namespace LaburnumChute::Dispatch {

/// What other regions could take, as their instances tell it.
///
/// Load pattern: the peaks of the regions differ, and one region's slack covers another's rush.
/// What is known of a region is half a second old. If all instances sent there what they see free,
/// each would fill it alone, the region would turn the rest away, and the next report would turn
/// the stream off: so each has a bucket that fills with its part of the rate that the region has
/// free, beside the rate at which it sends there already. Without the latter the rate would come to
/// rest at a small part of what is left, while callers are turned away here.
class RegionRooms
{
public:
    explicit RegionRooms(const DispatchOptions &options);

    void update(const RegionName &region, const InstanceId &reporter,
                const CrossRegionLoadReport &share, Time now);
    /// Regions in which some instance can be reached.
    void setReachable(std::vector<RegionName> regions);
    /// Instances of the own region among which free places are divided.
    void setOwnInstances(std::size_t count);

    struct Offer
    {
        RegionName region;
        Duration wait{0};
    };

    /// The region among those allowed with the shortest wait; none has room to spare: nothing.
    std::optional<Offer> best(const ServiceName &service, const std::vector<RegionName> &allowed,
                              const std::vector<RegionName> &excluded, Time now);
    /// As best(), but any region with an endpoint will do.
    std::optional<Offer> any(const ServiceName &service, const std::vector<RegionName> &allowed,
                             const std::vector<RegionName> &excluded, Time now);
    void sent(const RegionName &region, const ServiceName &service, Time now);

private:
    struct Report
    {
        ServiceRoom room;
        Time at{};
    };
    struct Room
    {
        std::map<InstanceId, Report> reports;
        /// Requests that this instance may send now.
        double allowance = 0;
        Time filledAt{};
        /// Requests a second that this instance has sent, averaged.
        double sentPerSecond = 0;
    };
    using Key = std::pair<RegionName, std::uint32_t>;

    struct Summary
    {
        double freePerSecond = 0;
        Duration wait{0};
        bool hasEndpoint = false;
    };

    Summary summarize(const Room &room, Time now) const;
    void fill(Room &room, Time now) const;
    bool eligible(const RegionName &region, const std::vector<RegionName> &allowed,
                  const std::vector<RegionName> &excluded) const;

    const DispatchOptions *options_;
    std::map<Key, Room> rooms_;
    std::vector<RegionName> reachable_;
    std::size_t ownInstances_ = 1;
};

} // namespace LaburnumChute::Dispatch
