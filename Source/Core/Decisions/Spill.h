#pragma once

#include <map>
#include <optional>
#include <vector>

#include <nlohmann/json.hpp>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// What the home region offers a request.
struct HomeOffer
{
    /// No endpoint at home serves the target.
    bool none = false;
    Duration expectedFirstToken{0};
};

/// Decides whether a request leaves for another region, and for which.
///
/// Load pattern: daily peaks that differ between regions, and the loss of a region's endpoints.
/// Work that moves meets a cold cache there and loads a thin link, so a shift can make its own
/// reason to shift further: the other region slows down, evicts its own callers' prefixes and sends
/// work back. One comparison holds all of it, in time to the first token: home's wait and uncached
/// prefill against the other region's wait, the whole prefill, twice the one-way delay and the
/// transfer of the prompt at the link's free rate. Work leaves when home is slower by `threshold`
/// and goes on leaving until home is within half of it (hysteresis). The rate starts at startShare
/// of a bound and doubles each `doubling`; the bound is this instance's part of freeShare of what
/// the region says is free, so that all instances with the same stale summary together cannot
/// overfill it. An unused rate falls as it rose. Prompts and answers stay within linkShare of the
/// link. A request that was forwarded to us is never forwarded again, and no region outside the
/// residency rule is considered.
class Spill
{
public:
    Spill(const SpillOptions &options, RegionName home);

    void update(const std::vector<RegionSummary> &regions, Time now);
    void setInstances(std::size_t instances);

    /// The region to forward to, if any; the budgets are charged.
    /// @param workTokens the request's work in decode tokens
    std::optional<RegionName> choose(const RequestFacts &facts, const HomeOffer &home,
                                     double workTokens, Time now);
    /// Where a request must go that may not run at home: the best allowed region, whatever its load
    /// and our budgets. That is no shift of load but the only place, and the region admits or
    /// refuses by itself. None when no other region is allowed, or when the request was forwarded
    /// to us.
    std::optional<RegionName> mandatory(const RequestFacts &facts, Time now) const;
    /// Some region that the rule allows serves the target, whatever its load.
    bool servedElsewhere(const RequestFacts &facts, Time now) const;
    nlohmann::json dump(Time now) const;

private:
    /// Tokens or bytes that may be spent at a rate, saved up for one second.
    struct Bucket
    {
        double level = 0;
        Time filledAt{};
        void fill(double perSecond, Time now);
    };
    struct Route
    {
        RegionSummary summary;
        Time describes{};
        bool known = false;
        bool leaving = false;
        double share = 0;
        Time shareChanged{};
        Time lastUse{};
        Bucket work;
    };
    struct Link
    {
        double megabitsPerSecond = 0;
        Bucket bytes;
    };

    bool usable(const Route &route, Time now) const;
    bool mayLeaveFor(const RequestFacts &facts, const RegionName &region) const;
    Duration firstTokenAt(const Route &route, const RequestFacts &facts) const;
    double linkBytes(const RequestFacts &facts) const;
    bool afford(Route &route, Link &link, const RequestFacts &facts, double workTokens,
                double freeShare, Time now);
    void adaptShare(Route &route, Time now) const;

    SpillOptions options_;
    RegionName home_;
    double instances_ = 1;
    std::map<Target, std::map<RegionName, Route>> routes_;
    std::map<RegionName, Link> links_;
};

} // namespace LaburnumChute::Decisions
