#pragma once

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Time between the events of an engine's streams, as observed by this instance.
///
/// Load pattern: long answers among long prompts. Prefill of a prompt delays every stream of its
/// engine, so an engine with a lot of prefill generates events several times slower than one
/// without. The number of its requests does not show that.
class EventPace
{
public:
    /// @param pause time in which the events were received
    void seen(int events, Duration pause, Time now);
    /// Mean time between two events, or whenIdle if there was no event recently.
    Duration pause(Duration whenIdle, Time now) const;

private:
    Duration average_{0};
    Time seenAt_{};
};

} // namespace LaburnumChute::Dispatch
