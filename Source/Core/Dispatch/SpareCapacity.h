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
/// rejected here. The fractions follow the demand of the instances: callers keep their connections,
/// so some instances get several times as many requests as others.
class SpareCapacity
{
public:
    /// Prompt length for which the wait reported to other regions is computed.
    static constexpr std::int64_t NominalTokens = 400;

    explicit SpareCapacity(const DispatchOptions &options);

    void update(const RegionName &region, const InstanceId &reporter,
                const CrossRegionLoadReport &report, Time now);
    /// Regions with at least one reachable instance.
    void setReachable(std::vector<RegionName> regions);
    /// Number of instances of the own region among which spare capacity is divided evenly until
    /// setFraction() is called.
    void setOwnInstances(std::size_t count);
    /// Sets the fraction of other regions' spare capacity for the service that this instance may
    /// use. The fractions of the instances of the own region must not add up to more than 1.
    void setFraction(const ServiceName &service, double fraction, Time now);

    struct Offer
    {
        RegionName region;
        Duration wait{0};
    };

    /// Allowed regions to which this instance may send a request now.
    std::vector<Offer> offers(const ServiceName &service, const std::vector<RegionName> &allowed,
                              const std::vector<RegionName> &excluded, Time now);
    /// The allowed region with an endpoint for the service and the shortest wait. One whose spare
    /// capacity is used up is included but avoided.
    std::optional<Offer> any(const ServiceName &service, const std::vector<RegionName> &allowed,
                             const std::vector<RegionName> &excluded, Time now);
    /// Returns true if an allowed region other than the own one has not reported on the service
    /// yet, or has an endpoint for it but no instance that is known to be reachable.
    bool awaitsRegion(const ServiceName &service, const std::vector<RegionName> &allowed,
                      const RegionName &own, Time now) const;
    void sent(const RegionName &region, const ServiceName &service, Time now);
    /// Takes back a request of which nothing was sent.
    void unsent(const RegionName &region, const ServiceName &service, Time now);
    /// Whether a request was sent there within the lifetime of a report.
    bool inUse(const RegionName &region, const ServiceName &service, Time now) const;

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
        Time sentAt{};
    };
    using Key = std::pair<RegionName, std::uint32_t>;

    struct Summary
    {
        double freePerSecond = 0;
        Duration wait{0};
        bool hasEndpoint = false;
    };

    struct Reported
    {
        Offer offer;
        bool exhausted = false;
    };
    /// Allowed regions with an endpoint for the service.
    std::vector<Reported> reported(const ServiceName &service,
                                   const std::vector<RegionName> &allowed,
                                   const std::vector<RegionName> &excluded, Time now);
    double fraction(std::uint32_t service) const;
    Summary summarize(const Destination &destination, Time now) const;
    void fill(std::uint32_t service, Destination &destination, Time now) const;
    bool eligible(const RegionName &region, const std::vector<RegionName> &allowed,
                  const std::vector<RegionName> &excluded) const;

    const DispatchOptions *options_;
    std::map<Key, Destination> destinations_;
    std::vector<RegionName> reachable_;
    std::size_t ownInstances_ = 1;
    /// Of services whose demand is known, by short id.
    std::map<std::uint32_t, double> fractions_;
};

} // namespace LaburnumChute::Dispatch
