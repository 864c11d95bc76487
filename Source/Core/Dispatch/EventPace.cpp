#include "Dispatch/EventPace.h"

#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Weight of one event. An engine with several streams sends a few dozen events in half a second.
constexpr double EventWeight = 0.05;
/// An engine without an event for this long has no running stream of this instance.
constexpr milliseconds PaceLifetime{500};

} // namespace

void EventPace::seen(int events, Duration pause, Time now)
{
    if (events <= 0) {
        return;
    }
    const auto each = pause / events;
    const bool first = now - seenAt_ > PaceLifetime;
    const double weight = first ? 1 : 1 - std::pow(1 - EventWeight, events);
    average_ += scaled(each - average_, weight);
    seenAt_ = now;
}

Duration EventPace::pause(Duration whenIdle, Time now) const
{
    return now - seenAt_ > PaceLifetime ? whenIdle : average_;
}

} // namespace LaburnumChute::Dispatch
