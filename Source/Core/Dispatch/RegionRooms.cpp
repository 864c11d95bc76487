#include "Dispatch/RegionRooms.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// What a region that has no more room than it was sent counts for beside one that has.
constexpr Duration FullRoomWait = milliseconds(500);
/// Reports of several instances that are no further apart are averaged; an older one would hide
/// that a region's endpoints have filled up or gone.
constexpr Duration SameMoment = milliseconds(300);

} // namespace

RegionRooms::RegionRooms(const DispatchOptions &options)
    : options_(&options)
{
}

void RegionRooms::update(const RegionName &region, const InstanceId &reporter,
                         const CrossRegionLoadReport &share, Time now)
{
    for (const auto &reported : share.rooms) {
        auto &room = rooms_[{region, reported.service}];
        fill(room, now);
        room.reports[reporter] = {reported, now};
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
    Time newest{};
    for (const auto &[reporter, report] : room.reports) {
        newest = std::max(newest, report.at);
    }
    double count = 0;
    double rate = 0;
    Duration wait{0};
    for (const auto &[reporter, report] : room.reports) {
        if (now - report.at > options_->roomLifetime || newest - report.at > SameMoment) {
            continue;
        }
        count += 1;
        rate += report.room.freePerSecond;
        wait += milliseconds(report.room.waitMs);
        summary.hasEndpoint = summary.hasEndpoint || report.room.endpoints > 0;
    }
    if (count > 0) {
        summary.freePerSecond = rate / count;
        summary.wait = wait / static_cast<int>(count);
    }
    return summary;
}

void RegionRooms::fill(Room &room, Time now) const
{
    const double elapsed = room.filledAt == Time() ? 0 : Common::toSeconds(now - room.filledAt);
    room.sentPerSecond *= std::exp(-elapsed / Common::toSeconds(options_->spillMemory));
    const double rate = room.sentPerSecond
                        + summarize(room, now).freePerSecond * options_->spillShare
                              / static_cast<double>(ownInstances_);
    const double most = std::max(1.0, rate * Common::toSeconds(options_->spillBurst));
    room.allowance = std::min(most, room.allowance + rate * elapsed);
    room.filledAt = now;
}

std::optional<RegionRooms::Offer> RegionRooms::best(const ServiceName &service,
                                                    const std::vector<RegionName> &allowed,
                                                    const std::vector<RegionName> &excluded,
                                                    Time now)
{
    std::optional<Offer> best;
    for (auto &[key, room] : rooms_) {
        if (key.second != shortId(service) || !eligible(key.first, allowed, excluded)) {
            continue;
        }
        fill(room, now);
        const auto summary = summarize(room, now);
        const bool hasRoom = summary.hasEndpoint && room.allowance >= 1;
        if (hasRoom && (!best || summary.wait < best->wait)) {
            best = Offer{key.first, summary.wait};
        }
    }
    return best;
}

std::optional<RegionRooms::Offer> RegionRooms::any(const ServiceName &service,
                                                   const std::vector<RegionName> &allowed,
                                                   const std::vector<RegionName> &excluded,
                                                   Time now)
{
    std::optional<Offer> best;
    for (auto &[key, room] : rooms_) {
        if (key.second != shortId(service) || !eligible(key.first, allowed, excluded)) {
            continue;
        }
        fill(room, now);
        const auto summary = summarize(room, now);
        // A region whose bucket is empty gets the request only when no other is left.
        const auto wait = summary.wait + (room.allowance >= 1 ? Duration(0) : FullRoomWait);
        if (summary.hasEndpoint && (!best || wait < best->wait)) {
            best = Offer{key.first, wait};
        }
    }
    return best;
}

void RegionRooms::sent(const RegionName &region, const ServiceName &service, Time now)
{
    auto &room = rooms_[{region, shortId(service)}];
    fill(room, now);
    room.allowance = std::max(0.0, room.allowance - 1);
    room.sentPerSecond += 1 / Common::toSeconds(options_->spillMemory);
}

} // namespace LaburnumChute::Dispatch
