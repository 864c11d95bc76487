#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Dispatch/TransferModel.h"

namespace LaburnumChute::Dispatch {

/// A transfer of parts of the KV cache that is in progress or waits for links.
struct Transfer
{
    /// Request of this instance; empty for those of other instances.
    std::optional<CallId> call;
    /// Short ids of the endpoints.
    std::uint32_t source = 0;
    std::uint32_t target = 0;
    Time startsAt{};
    Time endsAt{};
    /// Time for which the links stay reserved after the expected end.
    Duration deviation{0};

    bool uses(std::uint32_t endpoint) const
    {
        return source == endpoint || target == endpoint;
    }
};

/// Transfers of the region's instances on the links of endpoints.
///
/// Load pattern: a popular prompt part is needed at several engines at once by several instances.
/// Transfers on one link run one after another, so if all copied from one holder, most would wait
/// for seconds. A transfer starts when both links are free. The ends of other instances' transfers
/// are not announced, so a reservation ends at the latest at its expected end plus the deviation.
class TransferSchedule
{
public:
    /// When the endpoint's link is free.
    /// @param endpoint its short id
    Time freeAt(std::uint32_t endpoint, Time now) const;
    /// Reserves both links from the time at which they are free.
    void add(std::optional<CallId> call, std::uint32_t source, std::uint32_t target,
             TransferTime time, Time now);
    /// Ends the transfer of a request of this instance; transfers behind it start earlier.
    void remove(CallId call, Time now);
    /// Removes all transfers from and to an endpoint that has restarted.
    void discard(std::uint32_t endpoint, Time now);
    const std::vector<Transfer> &transfers() const
    {
        return transfers_;
    }

private:
    void dropEnded(Time now);
    /// Recomputes the times of the transfers that have not started.
    void replan(Time now);

    /// In the order in which they were added.
    std::vector<Transfer> transfers_;
};

} // namespace LaburnumChute::Dispatch
