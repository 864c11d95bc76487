#include "Decisions/Spill.h"

#include <algorithm>
#include <cmath>

namespace LaburnumChute::Decisions {

namespace {

/// Prefill tokens per second, until a region reports its rate.
constexpr double DefaultPrefillRate = 5000;
constexpr double BytesPerMegabit = 125000;
/// Size of a bucket in seconds of its rate, so that a first request of any size can pass.
constexpr double BucketSeconds = 1;

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

Spill::Spill(const SpillOptions &options, RegionName home)
    : options_(options)
    , home_(std::move(home))
{
}

void Spill::TokenBucket::refill(double perSecond, Time now)
{
    const double passed = std::max(0.0, Common::toSeconds(now - refilledAt));
    level = std::min(level + perSecond * passed, perSecond * BucketSeconds);
    refilledAt = now;
}

void Spill::update(const std::vector<RegionSummary> &regions, Time now)
{
    for (const auto &summary : regions) {
        if (summary.region == home_) {
            continue;
        }
        auto &route = routes_[summary.target.base()][summary.region];
        const Time measuredAt = now - summary.age;
        if (route.known && measuredAt < route.measuredAt) {
            continue;
        }
        if (!route.known) {
            route.rateFraction = options_.startFraction;
            route.rateUpdatedAt = now;
        }
        route.summary = summary;
        route.measuredAt = measuredAt;
        route.known = true;
        links_[summary.region].megabitsPerSecond = summary.linkMegabitsPerSecond;
    }
}

void Spill::setInstances(std::size_t instances)
{
    instances_ = static_cast<double>(std::max<std::size_t>(1, instances));
}

bool Spill::usable(const Route &route, Time now) const
{
    return route.known && route.summary.reachable
           && now - route.measuredAt <= options_.summaryStaleAfter
           && route.summary.freeTokensPerSecond > 0;
}

bool Spill::mayForwardTo(const RequestFacts &facts, const RegionName &region) const
{
    const auto &allowed = facts.allowedRegions;
    return facts.forwardedFrom.empty() && region != home_
           && std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

double Spill::linkBytes(const RequestFacts &facts) const
{
    return static_cast<double>(facts.promptTokens) * options_.bytesPerPromptToken
           + static_cast<double>(facts.expectedOutputTokens) * options_.bytesPerOutputToken;
}

Duration Spill::remoteFirstToken(const Route &route, const RequestFacts &facts) const
{
    const auto &summary = route.summary;
    const double rate =
        summary.prefillTokensPerSecond > 0 ? summary.prefillTokensPerSecond : DefaultPrefillRate;
    const auto prompt = static_cast<double>(facts.promptTokens);
    const double link =
        options_.linkFraction * summary.linkMegabitsPerSecond * BytesPerMegabit / instances_;
    const double transfer = link > 0 ? prompt * options_.bytesPerPromptToken / link : 0;
    return summary.expectedWait + 2 * summary.linkDelay + fromSeconds(prompt / rate + transfer);
}

void Spill::updateRate(Route &route, Time now) const
{
    const double doublings =
        Common::toSeconds(now - route.rateUpdatedAt) / Common::toSeconds(options_.doublingTime);
    const bool used = now - route.lastUsedAt <= options_.doublingTime;
    route.rateFraction *= std::exp2(used ? doublings : -doublings);
    route.rateFraction = std::clamp(route.rateFraction, options_.startFraction, 1.0);
    route.rateUpdatedAt = now;
}

bool Spill::tryCharge(Route &route, Link &link, const RequestFacts &facts, double workTokens,
                      double freeCapacityFraction, Time now)
{
    updateRate(route, now);
    const double capacity = route.summary.freeTokensPerSecond / instances_;
    // An endpoint that has just joined states a small capacity until its first load report. If only
    // the size of the bucket followed, a full bucket would become nearly empty by the growth, and a
    // request that the smaller capacity admits would be rejected.
    if (route.capacity > 0 && route.work.level > 0) {
        route.work.level *= capacity / route.capacity;
    }
    route.capacity = capacity;
    const double bound = freeCapacityFraction * capacity;
    route.work.refill(route.rateFraction * bound, now);
    link.bytes.refill(options_.linkFraction * link.megabitsPerSecond * BytesPerMegabit / instances_,
                      now);
    const double bytes = link.megabitsPerSecond > 0 ? linkBytes(facts) : 0;
    // A request larger than the bucket passes when the bucket is full and makes its level negative.
    const double workNeeded = std::min(workTokens, route.rateFraction * bound * BucketSeconds);
    const bool linkFree = bytes <= 0 || link.bytes.level > 0;
    if (route.work.level < workNeeded || !linkFree) {
        return false;
    }
    route.work.level -= workTokens;
    link.bytes.level -= bytes;
    route.lastUsedAt = now;
    return true;
}

std::optional<RegionName> Spill::choose(const RequestFacts &facts, const HomeEstimate &home,
                                        double workTokens, Time now)
{
    const auto routes = routes_.find(facts.target.base());
    if (!options_.enabled || routes == routes_.end()) {
        return std::nullopt;
    }
    Route *best = nullptr;
    Link *bestLink = nullptr;
    RegionName bestRegion;
    Duration bestTime = Duration::max();
    for (auto &[region, route] : routes->second) {
        if (!mayForwardTo(facts, region) || !usable(route, now)) {
            continue;
        }
        const auto remoteTime = remoteFirstToken(route, facts);
        const auto margin = route.spilling ? options_.threshold / 2 : options_.threshold;
        route.spilling = home.noEndpoint || home.expectedFirstToken > remoteTime + margin;
        if (route.spilling && remoteTime < bestTime) {
            best = &route;
            bestLink = &links_[region];
            bestRegion = region;
            bestTime = remoteTime;
        }
    }
    const double fraction =
        home.noEndpoint ? options_.freeCapacityFractionWithoutHome : options_.freeCapacityFraction;
    if (best == nullptr || !tryCharge(*best, *bestLink, facts, workTokens, fraction, now)) {
        return std::nullopt;
    }
    return bestRegion;
}

std::optional<RegionName> Spill::requiredRegion(const RequestFacts &facts, Time now) const
{
    std::optional<RegionName> best;
    auto bestTime = Duration::max();
    const auto routes = routes_.find(facts.target.base());
    for (const auto &region : facts.allowedRegions) {
        if (!mayForwardTo(facts, region)) {
            continue;
        }
        // Regions without a recent summary are the last choice, but still a choice.
        auto time = std::chrono::duration_cast<Duration>(std::chrono::hours(1));
        if (routes != routes_.end()) {
            const auto route = routes->second.find(region);
            const bool known = route != routes->second.end() && usable(route->second, now);
            time = known ? remoteFirstToken(route->second, facts) : time;
        }
        if (time < bestTime) {
            bestTime = time;
            best = region;
        }
    }
    return best;
}

bool Spill::servedInOtherRegion(const RequestFacts &facts, Time now) const
{
    const auto routes = routes_.find(facts.target.base());
    if (!options_.enabled || routes == routes_.end()) {
        return false;
    }
    return std::any_of(routes->second.begin(), routes->second.end(), [&](const auto &entry) {
        return mayForwardTo(facts, entry.first) && usable(entry.second, now);
    });
}

nlohmann::json Spill::dump(Time now) const
{
    nlohmann::json result = nlohmann::json::array();
    for (const auto &[target, routes] : routes_) {
        for (const auto &[region, route] : routes) {
            result.push_back({{"target", toString(target)},
                              {"region", region.text()},
                              {"usable", usable(route, now)},
                              {"leaving", route.spilling},
                              {"rate_share", route.rateFraction},
                              {"free_tokens_per_second", route.summary.freeTokensPerSecond}});
        }
    }
    return result;
}

} // namespace LaburnumChute::Decisions
