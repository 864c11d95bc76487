#pragma once

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// How fast an engine makes the events of its streams, as this instance sees them pass.
///
/// Load pattern: long answers among long prompts. A prompt that is read holds up every stream of
/// its engine, so that an engine that reads a lot makes events several times as slowly as one that
/// doesn't. Its number of requests does not show that.
class EventPace
{
public:
    /// @param pause time that so many events took
    void seen(int events, Duration pause, Time now);
    /// Mean pause between two events; that of an idle engine when no event has come lately.
    Duration pause(Duration whenIdle, Time now) const;

private:
    Duration average_{0};
    Time seenAt_{};
};

} // namespace LaburnumChute::Dispatch
