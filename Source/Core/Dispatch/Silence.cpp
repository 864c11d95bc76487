#include "Dispatch/Silence.h"

#include <algorithm>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Time that another attempt needs for its first event.
Duration attemptTime(const Call &call)
{
    const auto objective = call.facts.objectiveAt - call.facts.arrivedAt;
    return std::max<Duration>(call.expected, objective / 2);
}

/// Silence that is too short to show anything on the endpoint's machine.
Duration silenceFloor(const DispatchOptions &options, double workFactor)
{
    return scaled(options.silenceFloor, std::max(1.0, workFactor));
}

/// Expected time until the first event if the machine has become slower since the send.
Duration expectedNow(const Call &call, double workFactor)
{
    return scaled(call.expected, std::max(1.0, workFactor / call.workFactor));
}

/// Silence below which an attempt counts as working, however little time is left.
Duration shortestSilence(const Call &call, const DispatchOptions &options, double workFactor)
{
    const auto floor = silenceFloor(options, workFactor);
    if (call.answering) {
        return floor;
    }
    const bool stream = call.facts.kind == RequestKind::Stream;
    return stream ? std::max(floor, expectedNow(call, workFactor))
                  : overdueAfter(call, options, workFactor);
}

/// As replacementTime(), for an attempt that is silent.
Time latestReplacement(const Call &call)
{
    const auto &facts = call.facts;
    const auto latest = facts.deadline - attemptTime(call);
    if (facts.kind == RequestKind::Stream) {
        // The caller of a stream leaves after a pause, also after one before the first event.
        const auto since = call.attempts > 1 ? call.sentAt : facts.arrivedAt;
        const auto heardAt = call.answering ? call.lastEventAt : since;
        return std::min(latest, heardAt + facts.patience - attemptTime(call));
    }
    // Other callers wait until the deadline. Half of the time is left to the other attempt.
    const auto heardAt = call.answering ? call.lastEventAt : call.sentAt;
    const auto half = (facts.deadline - heardAt) / 2;
    return std::min(latest, heardAt + std::max<Duration>(facts.patience, half));
}

} // namespace

Time replacementTime(const Call &call, const DispatchOptions &options, double workFactor)
{
    const auto waitsSince = call.answering ? call.lastEventAt : call.sentAt;
    return std::max(latestReplacement(call),
                    waitsSince + shortestSilence(call, options, workFactor));
}

Duration overdueAfter(const Call &call, const DispatchOptions &options, double workFactor)
{
    return std::max(silenceFloor(options, workFactor),
                    scaled(expectedNow(call, workFactor), options.silenceFactor));
}

} // namespace LaburnumChute::Dispatch
