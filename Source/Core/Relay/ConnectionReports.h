#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// Why a connection of a caller or peer was closed.
enum class ConnectionEnd {
    /// The remote side closed it, or it broke.
    Remote,
    /// Closed here after a response or while idle, and then by the remote side as well.
    Graceful,
    /// Closed here after a response or while idle; the remote side kept its end open.
    LingerTimeout,
    /// The remote side did not read its response.
    WriteTimeout,
    /// The response could not be completed.
    Aborted,
    /// Unread responses occupy too much memory, and this one the most.
    MemoryLimit,
    /// The process exits.
    ProcessExit,
};

std::string_view toString(ConnectionEnd end);

/// A response whose last byte was passed to the kernel.
struct DeliveryReport
{
    /// Id of the request, empty if it is not known.
    std::string request;
    /// Time since the response was complete.
    Common::Duration took{0};
};

struct ConnectionReport
{
    ConnectionEnd end = ConnectionEnd::Remote;
    /// Id of the last request, empty if it is not known.
    std::string request;
    /// The response to that request was not complete.
    bool responding = false;
    /// Bytes that were not passed to the kernel.
    std::size_t unsentBytes = 0;
    /// Bytes that the kernel held and the remote side had not acknowledged; 0 if that is not known.
    std::size_t unacknowledgedBytes = 0;

    /// Whether the remote side may lack a part of a response.
    bool incomplete() const
    {
        return responding || unsentBytes > 0 || unacknowledgedBytes > 0;
    }
};

struct ConnectionObserver
{
    std::function<void(const DeliveryReport &)> delivered;
    std::function<void(const ConnectionReport &)> ended;
};

} // namespace LaburnumChute::Relay
