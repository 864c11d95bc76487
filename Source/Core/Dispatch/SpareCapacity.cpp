#include "Dispatch/SpareCapacity.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Added to the wait of a region whose allowance is used up when it is compared with others.
constexpr Duration ExhaustedRegionPenalty = milliseconds(500);
/// Reports of several instances are averaged if they are no further apart than this. An older one
/// would hide that a region's endpoints have filled up or left.
constexpr Duration MaxReportSpread = milliseconds(300);

} // namespace

SpareCapacity::SpareCapacity(const DispatchOptions &options)
    : options_(&options)
{
}

void SpareCapacity::update(const RegionName &region, const InstanceId &reporter,
                           const CrossRegionLoadReport &report, Time now)
{
    for (const auto &reported : report.spareCapacities) {
        auto &destination = destinations_[{region, reported.service}];
        fill(destination, now);
        destination.reports[reporter] = {reported, now};
        std::erase_if(destination.reports, [&](const auto &entry) {
            return now - entry.second.at > options_->spareCapacityLifetime;
        });
    }
}

void SpareCapacity::setReachable(std::vector<RegionName> regions)
{
    reachable_ = std::move(regions);
}

void SpareCapacity::setOwnInstances(std::size_t count)
{
    ownInstances_ = std::max<std::size_t>(1, count);
}

bool SpareCapacity::eligible(const RegionName &region, const std::vector<RegionName> &allowed,
                             const std::vector<RegionName> &excluded) const
{
    return contains(reachable_, region) && !contains(excluded, region)
           && (allowed.empty() || contains(allowed, region));
}

SpareCapacity::Summary SpareCapacity::summarize(const Destination &destination, Time now) const
{
    Summary summary;
    Time newest{};
    for (const auto &[reporter, report] : destination.reports) {
        newest = std::max(newest, report.at);
    }
    double count = 0;
    double rate = 0;
    Duration wait{0};
    for (const auto &[reporter, report] : destination.reports) {
        if (now - report.at > options_->spareCapacityLifetime
            || newest - report.at > MaxReportSpread) {
            continue;
        }
        count += 1;
        rate += report.capacity.freePerSecond;
        wait += milliseconds(report.capacity.waitMs);
        summary.hasEndpoint = summary.hasEndpoint || report.capacity.endpoints > 0;
    }
    if (count > 0) {
        summary.freePerSecond = rate / count;
        summary.wait = wait / static_cast<int>(count);
    }
    return summary;
}

void SpareCapacity::fill(Destination &destination, Time now) const
{
    const double elapsed =
        destination.filledAt == Time() ? 0 : Common::toSeconds(now - destination.filledAt);
    destination.sentPerSecond *=
        std::exp(-elapsed / Common::toSeconds(options_->spillAveragingTime));
    const double rate = destination.sentPerSecond
                        + summarize(destination, now).freePerSecond * options_->spillFraction
                              / static_cast<double>(ownInstances_);
    const double most = std::max(1.0, rate * Common::toSeconds(options_->spillBurst));
    destination.allowance = std::min(most, destination.allowance + rate * elapsed);
    destination.filledAt = now;
}

std::optional<SpareCapacity::Offer> SpareCapacity::choose(const ServiceName &service,
                                                          const std::vector<RegionName> &allowed,
                                                          const std::vector<RegionName> &excluded,
                                                          bool includeExhausted, Time now)
{
    std::optional<Offer> best;
    for (auto &[key, destination] : destinations_) {
        if (key.second != shortId(service) || !eligible(key.first, allowed, excluded)) {
            continue;
        }
        fill(destination, now);
        const auto summary = summarize(destination, now);
        const bool exhausted = destination.allowance < 1;
        if (!summary.hasEndpoint || (exhausted && !includeExhausted)) {
            continue;
        }
        // A region whose allowance is used up is avoided unless the others are slower by the
        // penalty.
        const auto wait = summary.wait + (exhausted ? ExhaustedRegionPenalty : Duration(0));
        if (!best || wait < best->wait) {
            best = Offer{key.first, wait};
        }
    }
    return best;
}

std::optional<SpareCapacity::Offer> SpareCapacity::best(const ServiceName &service,
                                                        const std::vector<RegionName> &allowed,
                                                        const std::vector<RegionName> &excluded,
                                                        Time now)
{
    return choose(service, allowed, excluded, false, now);
}

std::optional<SpareCapacity::Offer> SpareCapacity::any(const ServiceName &service,
                                                       const std::vector<RegionName> &allowed,
                                                       const std::vector<RegionName> &excluded,
                                                       Time now)
{
    return choose(service, allowed, excluded, true, now);
}

bool SpareCapacity::awaitsRegion(const ServiceName &service, const std::vector<RegionName> &allowed,
                                 const RegionName &own, Time now) const
{
    const auto &candidates = allowed.empty() ? reachable_ : allowed;
    if (candidates.empty()) {
        return true;
    }
    return std::any_of(candidates.begin(), candidates.end(), [&](const RegionName &region) {
        if (region == own) {
            return false;
        }
        const auto found = destinations_.find({region, shortId(service)});
        if (found == destinations_.end() || found->second.reports.empty()) {
            return true;
        }
        return !contains(reachable_, region) && summarize(found->second, now).hasEndpoint;
    });
}

bool SpareCapacity::excludesRegion(const ServiceName &service,
                                   const std::vector<RegionName> &allowed) const
{
    if (allowed.empty()) {
        return false;
    }
    return std::any_of(reachable_.begin(), reachable_.end(), [&](const RegionName &region) {
        const auto found = destinations_.find({region, shortId(service)});
        if (contains(allowed, region) || found == destinations_.end()) {
            return false;
        }
        const auto &reports = found->second.reports;
        return std::any_of(reports.begin(), reports.end(),
                           [](const auto &entry) { return entry.second.capacity.endpoints > 0; });
    });
}

std::vector<RegionName> SpareCapacity::yielding(const ServiceName &service, Time now) const
{
    std::vector<RegionName> regions;
    for (const auto &[key, destination] : destinations_) {
        const auto &reports = destination.reports;
        // The region's instances begin to yield at different times; long prompts that arrive in
        // between would take the slots that the others leave free.
        const bool yields = std::any_of(reports.begin(), reports.end(), [&](const auto &entry) {
            return entry.second.capacity.yields
                   && now - entry.second.at <= options_->spareCapacityLifetime;
        });
        if (key.second == shortId(service) && yields) {
            regions.push_back(key.first);
        }
    }
    return regions;
}

void SpareCapacity::sent(const RegionName &region, const ServiceName &service, Time now)
{
    auto &destination = destinations_[{region, shortId(service)}];
    fill(destination, now);
    destination.allowance = std::max(0.0, destination.allowance - 1);
    destination.sentPerSecond += 1 / Common::toSeconds(options_->spillAveragingTime);
}

} // namespace LaburnumChute::Dispatch
