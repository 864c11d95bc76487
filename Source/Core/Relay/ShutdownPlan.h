#pragma once

#include <cstddef>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// What a process still has to do.
struct OpenWork
{
    /// Running requests whose callers read.
    std::size_t requests = 0;
    /// Open connections of callers that read. Each closes itself, also one that its caller does not
    /// close.
    std::size_t callerConnections = 0;
    /// Responses to other instances that have not arrived there yet.
    std::size_t peerDeliveries = 0;

    bool done() const
    {
        return requests == 0 && callerConnections == 0 && peerDeliveries == 0;
    }
};

/// What a process does at a given time during shutdown.
struct ShutdownStep
{
    /// Close idle connections, and the others after their next response.
    bool closeConnections = false;
    /// Reject new requests, so that callers use another instance.
    bool rejectRequests = false;
    /// End the requests that wait, and send no more.
    bool endWaiting = false;
    /// Accept no new connections.
    bool rejectConnections = false;
    /// End the requests that still run, so that their callers get an answer before the process is
    /// killed.
    bool endRequests = false;
    /// Exit the process.
    bool end = false;
    /// Work is left, but the process would be killed.
    bool timeLimitReached = false;
};

/// The sequence of steps of a graceful shutdown. Uses neither sockets nor clocks.
///
/// Callers learn from the directory that the instance is leaving and keep using it for a while, so
/// it serves normally at first; a process that stopped accepting requests immediately would cut off
/// all of these callers. The process exits once every response has been delivered.
class ShutdownPlan
{
public:
    /// @param bound time from the stop request until the process is killed
    ShutdownPlan(Common::Time requestedAt, Common::Duration bound);

    ShutdownStep step(const OpenWork &work, Common::Time now) const;
    /// When the requests that still run are ended.
    Common::Time requestsEndAt() const;

private:
    Common::Time requestedAt_;
    Common::Duration bound_;
};

} // namespace LaburnumChute::Relay
