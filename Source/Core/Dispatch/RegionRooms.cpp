#include "Dispatch/RegionRooms.h"

#include <algorithm>

namespace LaburnumChute::Dispatch {

namespace {

bool contains(const std::vector<RegionName> &regions, const RegionName &region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

RegionRooms::RegionRooms(const DispatchOptions &options)
    : options_(&options)
{
}

void RegionRooms::update(const RegionName &region, const InstanceId &reporter,
                         const WorldShare &share, Time now)
{
    for (const auto &reported : share.rooms) {
        auto &room = rooms_[{region, reported.service}];
        room.reports[reporter] = {reported, now};
        room.sentSince = 0;
        std::erase_if(room.reports, [&](const auto &entry) {
            return now - entry.second.at > options_->roomLifetime;
        });
    }
}

void RegionRooms::setReachable(std::vector<RegionName> regions)
{
    reachable_ = std::move(regions);
}

void RegionRooms::setOwnInstances(std::size_t count)
{
    ownInstances_ = std::max<std::size_t>(1, count);
}

bool RegionRooms::eligible(const RegionName &region, const std::vector<RegionName> &allowed,
                           const std::vector<RegionName> &excluded) const
{
    return contains(reachable_, region) && !contains(excluded, region)
           && (allowed.empty() || contains(allowed, region));
}

RegionRooms::Summary RegionRooms::summarize(const Room &room, Time now) const
{
    Summary summary;
    double count = 0;
    double places = 0;
    Duration wait{0};
    for (const auto &[reporter, report] : room.reports) {
        if (now - report.at > options_->roomLifetime) {
            continue;
        }
        count += 1;
        places += report.room.freePlaces;
        wait += milliseconds(report.room.waitMs);
        summary.hasEndpoint = summary.hasEndpoint || report.room.endpoints > 0;
    }
    if (count > 0) {
        summary.freePlaces = places / count;
        summary.wait = wait / static_cast<int>(count);
    }
    return summary;
}

std::optional<RegionRooms::Offer> RegionRooms::best(const ServiceName &service,
                                                    const std::vector<RegionName> &allowed,
                                                    const std::vector<RegionName> &excluded,
                                                    Time now) const
{
    std::optional<Offer> best;
    for (const auto &[key, room] : rooms_) {
        if (key.second != shortId(service) || !eligible(key.first, allowed, excluded)) {
            continue;
        }
        const auto summary = summarize(room, now);
        const double part =
            summary.freePlaces * options_->spillShare / static_cast<double>(ownInstances_);
        const bool hasRoom = summary.hasEndpoint && room.sentSince + 1 <= part;
        if (hasRoom && (!best || summary.wait < best->wait)) {
            best = Offer{key.first, summary.wait};
        }
    }
    return best;
}

std::optional<RegionRooms::Offer> RegionRooms::any(const ServiceName &service,
                                                   const std::vector<RegionName> &allowed,
                                                   const std::vector<RegionName> &excluded,
                                                   Time now) const
{
    std::optional<Offer> best;
    for (const auto &[key, room] : rooms_) {
        if (key.second != shortId(service) || !eligible(key.first, allowed, excluded)) {
            continue;
        }
        const auto summary = summarize(room, now);
        // What was sent since the report makes the region slower by what its places can tell.
        const double crowding = room.sentSince / std::max(1.0, summary.freePlaces);
        const auto wait = summary.wait
                          + std::chrono::duration_cast<Duration>(
                              options_->regionRoundTrip * std::min(crowding, 1.0));
        if (summary.hasEndpoint && (!best || wait < best->wait)) {
            best = Offer{key.first, wait};
        }
    }
    return best;
}

void RegionRooms::sent(const RegionName &region, const ServiceName &service, Time)
{
    rooms_[{region, shortId(service)}].sentSince += 1;
}

} // namespace LaburnumChute::Dispatch
