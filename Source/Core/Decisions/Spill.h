#pragma once

#include <map>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// Expected service of a request in the home region.
struct HomeEstimate
{
    /// No endpoint in the home region serves the target.
    bool noEndpoint = false;
    Duration expectedFirstToken{0};
};

/// Decides whether a request is forwarded to another region, and to which one.
///
/// Load pattern: daily peaks that differ between regions, and the loss of a region's endpoints.
/// Forwarded work meets a cold cache and loads a thin link, so forwarding can cause more
/// forwarding: the other region slows down, evicts its own callers' prefixes and sends work back.
/// All of this is compared as time to first token: the queueing time and uncached prefill at home
/// against the other region's queueing time, the whole prefill, twice the one-way delay and the
/// transfer of the prompt at the available rate of the link. Forwarding starts when home is slower
/// by `threshold` and goes on until home is slower by less than half of it (hysteresis). The rate
/// starts at startFraction of its limit and doubles every `doublingTime`; the limit is this
/// instance's part of freeCapacityFraction of the capacity that the region reports as free, so that
/// all instances with the same stale summary together cannot overload it. The rate of an unused
/// route falls as fast as it rose. Prompts and responses use at most linkFraction of the link. A
/// request that was forwarded to this region is never forwarded again, and only regions that the
/// residency rule allows are considered.
class Spill
{
public:
    Spill(const SpillOptions &options, RegionName home);

    void update(const std::vector<RegionSummary> &regions, Time now);
    void setInstances(std::size_t instances);

    /// Returns the region to forward to, if any, and charges the request to the route's budgets.
    /// @param workTokens the request's work in decode tokens
    std::optional<RegionName> choose(const RequestFacts &facts, const HomeEstimate &home,
                                     double workTokens, Time now);
    /// Region for a request that may not run at home: the best allowed region, whatever its load
    /// and the budgets of the route, since there is no alternative; that region's own admission
    /// control may reject the request. None if no other region is allowed, or if the request was
    /// forwarded to this region.
    std::optional<RegionName> requiredRegion(const RequestFacts &facts, Time now) const;
    /// Whether another region that the residency rule allows serves the target and reports free
    /// capacity, regardless of this instance's budgets for it.
    bool servedInOtherRegion(const RequestFacts &facts, Time now) const;
    nlohmann::json dump(Time now) const;

private:
    /// Token bucket for work or bytes that holds what one second brings.
    struct TokenBucket
    {
        double level = 0;
        Time refilledAt{};
        void refill(double perSecond, Time now);
    };
    struct Route
    {
        RegionSummary summary;
        Time measuredAt{};
        bool known = false;
        bool spilling = false;
        double rateFraction = 0;
        Time rateUpdatedAt{};
        Time lastUsedAt{};
        /// This instance's part of the free capacity at the last use of the bucket.
        double capacity = 0;
        TokenBucket work;
    };
    struct Link
    {
        double megabitsPerSecond = 0;
        TokenBucket bytes;
    };

    bool usable(const Route &route, Time now) const;
    bool mayForwardTo(const RequestFacts &facts, const RegionName &region) const;
    Duration remoteFirstToken(const Route &route, const RequestFacts &facts) const;
    double linkBytes(const RequestFacts &facts) const;
    bool tryCharge(Route &route, Link &link, const RequestFacts &facts, double workTokens,
                   double freeCapacityFraction, Time now);
    void updateRate(Route &route, Time now) const;

    SpillOptions options_;
    RegionName home_;
    double instances_ = 1;
    std::map<Target, std::map<RegionName, Route>> routes_;
    std::map<RegionName, Link> links_;
};

} // namespace LaburnumChute::Decisions
