#include "Dispatch/TransferSchedule.h"

#include <algorithm>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Bounds the memory and time that notices of other instances can take. A region has fewer engines,
/// and transfers that wait behind more than a few others are not made.
constexpr std::size_t MaxTransfers = 1024;

/// When the transfer's links are free: at its expected end, or, if it is overdue, when it is not
/// waited for any more.
Time releasesAt(const Transfer &transfer, Time now)
{
    return now < transfer.endsAt ? transfer.endsAt : transfer.endsAt + transfer.deviation;
}

template <typename Iterator>
Time latestRelease(Iterator begin, Iterator end, std::uint32_t endpoint, Time now)
{
    Time free = now;
    for (auto transfer = begin; transfer != end; ++transfer) {
        if (transfer->uses(endpoint)) {
            free = std::max(free, releasesAt(*transfer, now));
        }
    }
    return free;
}

} // namespace

Time TransferSchedule::freeAt(std::uint32_t endpoint, Time now) const
{
    return latestRelease(transfers_.begin(), transfers_.end(), endpoint, now);
}

void TransferSchedule::add(std::optional<CallId> call, std::uint32_t source, std::uint32_t target,
                           TransferTime time, Time now)
{
    dropEnded(now);
    if (transfers_.size() >= MaxTransfers) {
        return;
    }
    const auto startsAt = std::max(freeAt(source, now), freeAt(target, now));
    transfers_.push_back({call, source, target, startsAt, startsAt + time.expected,
                          std::max(Duration(0), time.deviation)});
}

void TransferSchedule::remove(CallId call, Time now)
{
    if (std::erase_if(transfers_, [&](const auto &transfer) { return transfer.call == call; })
        > 0) {
        replan(now);
    }
}

void TransferSchedule::discard(std::uint32_t endpoint, Time now)
{
    if (std::erase_if(transfers_, [&](const auto &transfer) { return transfer.uses(endpoint); })
        > 0) {
        replan(now);
    }
}

void TransferSchedule::dropEnded(Time now)
{
    std::erase_if(transfers_, [&](const auto &transfer) {
        return transfer.endsAt + transfer.deviation <= now;
    });
}

void TransferSchedule::replan(Time now)
{
    for (auto transfer = transfers_.begin(); transfer != transfers_.end(); ++transfer) {
        if (transfer->startsAt <= now) {
            continue;
        }
        const auto takes = transfer->endsAt - transfer->startsAt;
        transfer->startsAt =
            std::max(latestRelease(transfers_.begin(), transfer, transfer->source, now),
                     latestRelease(transfers_.begin(), transfer, transfer->target, now));
        transfer->endsAt = transfer->startsAt + takes;
    }
}

} // namespace LaburnumChute::Dispatch
