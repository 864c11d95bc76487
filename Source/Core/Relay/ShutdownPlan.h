#pragma once

#include <cstddef>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// What a process that was asked to stop still does.
struct ShutdownStep
{
    /// Answers close their connections, and idle connections are closed.
    bool closeConnections = false;
    /// Requests that still come are told to go elsewhere.
    bool rejectRequests = false;
    /// No new connection is taken.
    bool rejectConnections = false;
    /// The process ends now.
    bool end = false;
};

/// The order in which a process withdraws after the request to stop. Knows neither sockets nor
/// clocks.
///
/// Callers learn from the directory that the instance leaves and go on using it for a while, so it
/// serves as before at first; a process that stopped taking requests at once would cut off all of
/// them. The steps then follow each other far enough apart that what the step before let in has
/// ended.
class ShutdownPlan
{
public:
    /// @param bound from the request to stop to the end by force
    ShutdownPlan(Common::Time requestedAt, Common::Duration bound);

    /// @param requests under way
    /// @param connections of callers that are open
    ShutdownStep step(std::size_t requests, std::size_t connections, Common::Time now) const;

private:
    Common::Time requestedAt_;
    Common::Duration bound_;
};

} // namespace LaburnumChute::Relay
