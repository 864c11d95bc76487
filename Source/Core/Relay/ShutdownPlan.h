#pragma once

#include <cstddef>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// What a process does at a given time during shutdown.
struct ShutdownStep
{
    /// Close idle connections, and the others after their next response.
    bool closeConnections = false;
    /// Reject new requests, so that callers use another instance.
    bool rejectRequests = false;
    /// Accept no new connections.
    bool rejectConnections = false;
    /// Exit the process.
    bool end = false;
};

/// The sequence of steps of a graceful shutdown. Uses neither sockets nor clocks.
///
/// Callers learn from the directory that the instance is leaving and keep using it for a while, so
/// it serves normally at first; a process that stopped accepting requests immediately would cut off
/// all of these callers. The later steps are far enough apart for the work accepted before each one
/// to finish.
class ShutdownPlan
{
public:
    /// @param bound time from the stop request until the process is killed
    ShutdownPlan(Common::Time requestedAt, Common::Duration bound);

    /// @param requests number of running requests
    /// @param connections number of open caller connections
    ShutdownStep step(std::size_t requests, std::size_t connections, Common::Time now) const;

private:
    Common::Time requestedAt_;
    Common::Duration bound_;
};

} // namespace LaburnumChute::Relay
