#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Dispatch/LoadReports.h"
#include "Dispatch/Options.h"

namespace LaburnumChute::Dispatch {

/// Spare capacity of other regions, according to their instances' load reports.
///
/// Load pattern: regions have their peaks at different times, so one has spare capacity while
/// another is overloaded. Load reports are half a second old. If all instances used the whole
/// reported capacity, each would fill it alone, the region would reject the rest, and its next
/// report would stop the traffic. Each instance therefore has a token bucket that fills at its
/// fraction of the region's spare rate plus the rate at which it already sends there. Without the
/// latter the rate would settle at a small fraction of the spare capacity while callers are
/// rejected here.
class SpareCapacity
{
public:
    explicit SpareCapacity(const DispatchOptions &options);

    void update(const RegionName &region, const InstanceId &reporter,
                const CrossRegionLoadReport &report, Time now);
    /// Regions with at least one reachable instance.
    void setReachable(std::vector<RegionName> regions);
    /// Number of instances of the own region among which spare capacity is divided.
    void setOwnInstances(std::size_t count);

    struct Offer
    {
        RegionName region;
        Duration wait{0};
    };

    /// The allowed region with the shortest wait; empty if none has spare capacity.
    std::optional<Offer> best(const ServiceName &service, const std::vector<RegionName> &allowed,
                              const std::vector<RegionName> &excluded, Time now);
    /// Like best(), but includes all regions with an endpoint for the service.
    std::optional<Offer> any(const ServiceName &service, const std::vector<RegionName> &allowed,
                             const std::vector<RegionName> &excluded, Time now);
    /// Returns true if an allowed region other than the own one has not reported on the service
    /// yet, or has an endpoint for it but no instance that is known to be reachable.
    bool awaitsRegion(const ServiceName &service, const std::vector<RegionName> &allowed,
                      const RegionName &own, Time now) const;
    /// Returns true if a reachable region that has endpoints for the service is not allowed.
    bool excludesRegion(const ServiceName &service, const std::vector<RegionName> &allowed) const;
    /// Regions that yield for the service themselves, see RegionYield.
    std::vector<RegionName> yielding(const ServiceName &service, Time now) const;
    void sent(const RegionName &region, const ServiceName &service, Time now);

private:
    struct Report
    {
        ServiceSpareCapacity capacity;
        Time at{};
    };
    struct Destination
    {
        std::map<InstanceId, Report> reports;
        /// Requests that this instance may send now.
        double allowance = 0;
        Time filledAt{};
        /// Moving average of the requests per second that this instance sends.
        double sentPerSecond = 0;
    };
    using Key = std::pair<RegionName, std::uint32_t>;

    struct Summary
    {
        double freePerSecond = 0;
        Duration wait{0};
        bool hasEndpoint = false;
    };

    std::optional<Offer> choose(const ServiceName &service, const std::vector<RegionName> &allowed,
                                const std::vector<RegionName> &excluded, bool includeExhausted,
                                Time now);
    Summary summarize(const Destination &destination, Time now) const;
    void fill(Destination &destination, Time now) const;
    bool eligible(const RegionName &region, const std::vector<RegionName> &allowed,
                  const std::vector<RegionName> &excluded) const;

    const DispatchOptions *options_;
    std::map<Key, Destination> destinations_;
    std::vector<RegionName> reachable_;
    std::size_t ownInstances_ = 1;
};

} // namespace LaburnumChute::Dispatch
