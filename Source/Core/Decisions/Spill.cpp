#include "Decisions/Spill.h"

#include <algorithm>
#include <cmath>

namespace LaburnumChute::Decisions {

namespace {

/// Until a region reports its rate of prefill, in tokens a second.
constexpr double AssumedPrefillRate = 5000;
constexpr double BytesPerMegabit = 125000;
/// A bucket holds what one second brings, so that a first request of any size can pass.
constexpr double SavedSeconds = 1;

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

void Spill::Bucket::fill(double perSecond, Time now)
{
    const double passed = std::max(0.0, Common::toSeconds(now - filledAt));
    level = std::min(level + perSecond * passed, perSecond * SavedSeconds);
    filledAt = now;
}

void Spill::update(const std::vector<RegionSummary> &regions, Time now)
{
    for (const auto &summary : regions) {
        if (summary.region == home_) {
            continue;
        }
        auto &route = routes_[summary.target.base()][summary.region];
        const Time describes = now - summary.age;
        if (route.known && describes < route.describes) {
            continue;
        }
        if (!route.known) {
            route.share = options_.startShare;
            route.shareChanged = now;
        }
        route.summary = summary;
        route.describes = describes;
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
           && now - route.describes <= options_.summaryStaleAfter
           && route.summary.freeTokensPerSecond > 0;
}

bool Spill::mayLeaveFor(const RequestFacts &facts, const RegionName &region) const
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

Duration Spill::firstTokenAt(const Route &route, const RequestFacts &facts) const
{
    const auto &summary = route.summary;
    const double rate =
        summary.prefillTokensPerSecond > 0 ? summary.prefillTokensPerSecond : AssumedPrefillRate;
    const auto prompt = static_cast<double>(facts.promptTokens);
    const double link =
        options_.linkShare * summary.linkMegabitsPerSecond * BytesPerMegabit / instances_;
    const double transfer = link > 0 ? prompt * options_.bytesPerPromptToken / link : 0;
    return summary.expectedWait + 2 * summary.linkDelay + fromSeconds(prompt / rate + transfer);
}

void Spill::adaptShare(Route &route, Time now) const
{
    const double steps =
        Common::toSeconds(now - route.shareChanged) / Common::toSeconds(options_.doubling);
    const bool used = now - route.lastUse <= options_.doubling;
    route.share *= std::exp2(used ? steps : -steps);
    route.share = std::clamp(route.share, options_.startShare, 1.0);
    route.shareChanged = now;
}

bool Spill::afford(Route &route, Link &link, const RequestFacts &facts, double workTokens,
                   double freeShare, Time now)
{
    adaptShare(route, now);
    const double bound = freeShare * route.summary.freeTokensPerSecond / instances_;
    route.work.fill(route.share * bound, now);
    link.bytes.fill(options_.linkShare * link.megabitsPerSecond * BytesPerMegabit / instances_,
                    now);
    const double bytes = link.megabitsPerSecond > 0 ? linkBytes(facts) : 0;
    // A request larger than the bucket passes when the bucket is full, and leaves a debt behind.
    const double workNeeded = std::min(workTokens, route.share * bound * SavedSeconds);
    const bool linkFree = bytes <= 0 || link.bytes.level > 0;
    if (route.work.level < workNeeded || !linkFree) {
        return false;
    }
    route.work.level -= workTokens;
    link.bytes.level -= bytes;
    route.lastUse = now;
    return true;
}

std::optional<RegionName> Spill::choose(const RequestFacts &facts, const HomeOffer &home,
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
        if (!mayLeaveFor(facts, region) || !usable(route, now)) {
            continue;
        }
        const auto there = firstTokenAt(route, facts);
        const auto margin = route.leaving ? options_.threshold / 2 : options_.threshold;
        route.leaving = home.none || home.expectedFirstToken > there + margin;
        if (route.leaving && there < bestTime) {
            best = &route;
            bestLink = &links_[region];
            bestRegion = region;
            bestTime = there;
        }
    }
    const double share = home.none ? options_.freeShareWithoutHome : options_.freeShare;
    if (best == nullptr || !afford(*best, *bestLink, facts, workTokens, share, now)) {
        return std::nullopt;
    }
    return bestRegion;
}

std::optional<RegionName> Spill::mandatory(const RequestFacts &facts, Time now) const
{
    std::optional<RegionName> best;
    auto bestTime = Duration::max();
    const auto routes = routes_.find(facts.target.base());
    for (const auto &region : facts.allowedRegions) {
        if (!mayLeaveFor(facts, region)) {
            continue;
        }
        // A region of which nothing fresh is known comes last, but comes.
        auto time = std::chrono::duration_cast<Duration>(std::chrono::hours(1));
        if (routes != routes_.end()) {
            const auto route = routes->second.find(region);
            const bool known = route != routes->second.end() && usable(route->second, now);
            time = known ? firstTokenAt(route->second, facts) : time;
        }
        if (time < bestTime) {
            bestTime = time;
            best = region;
        }
    }
    return best;
}

bool Spill::servedElsewhere(const RequestFacts &facts, Time now) const
{
    const auto routes = routes_.find(facts.target.base());
    if (!options_.enabled || routes == routes_.end()) {
        return false;
    }
    return std::any_of(routes->second.begin(), routes->second.end(), [&](const auto &entry) {
        return mayLeaveFor(facts, entry.first) && usable(entry.second, now);
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
                              {"leaving", route.leaving},
                              {"rate_share", route.share},
                              {"free_tokens_per_second", route.summary.freeTokensPerSecond}});
        }
    }
    return result;
}

} // namespace LaburnumChute::Decisions
