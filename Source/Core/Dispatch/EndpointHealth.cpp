#include "Dispatch/EndpointHealth.h"

#include <algorithm>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Weight of one answer in an endpoint's averages.
constexpr double AverageWeight = 0.1;
/// Bounds of what is believed of an endpoint: twice as fast as expected, six times as slow. Beyond
/// them it is not its speed that makes the difference.
constexpr double SlownessMin = 0.5;
constexpr double SlownessMax = 6;
/// Requests whose connection broke within this time of an endpoint's end were on board.
constexpr seconds OnBoardTime{3};
/// An endpoint that rested this long may have been restarted meanwhile.
constexpr milliseconds RestartRest{1000};

/// One life of an endpoint: a crashed one often comes back under its id.
EndpointId lifeOf(const EndpointState &endpoint)
{
    const auto &record = endpoint.listed.record;
    return EndpointId(fmt::format("{}@{}", record.id, record.startedAt));
}

} // namespace

EndpointHealth::EndpointHealth(const DispatchOptions &options, const EndpointBook &book,
                               Decisions::Quarantine &quarantine)
    : options_(&options)
    , book_(&book)
    , quarantine_(&quarantine)
{
}

void EndpointHealth::noteFirstEvent(EndpointState &endpoint, const Call &call, Duration took)
{
    constexpr double RatioMin = 0.3;
    constexpr double RatioMax = 3;
    const auto expected = std::max<Duration>(call.expected, options_->firstEventFloor);
    const auto ratio =
        std::clamp(inMilliseconds(took) / inMilliseconds(expected), RatioMin, RatioMax);
    endpoint.slowness =
        std::clamp(endpoint.slowness * (1 + AverageWeight * (ratio - 1)), SlownessMin, SlownessMax);
}

void EndpointHealth::rest(EndpointState &endpoint, Time now)
{
    const auto doubled = std::max<Duration>(options_->restFirst, endpoint.rest * 2);
    endpoint.rest = std::min<Duration>(doubled, options_->restMax);
    endpoint.restsUntil = now + endpoint.rest;
    endpoint.trial = false;
}

void EndpointHealth::noteOutcome(EndpointState &endpoint, const Call &call, AttemptOutcome outcome,
                                 Time now)
{
    const auto *service = book_->service(call.facts.service);
    const bool good = outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::Error
                      || outcome == AttemptOutcome::NotRun;
    if (outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::Error) {
        const double error = outcome == AttemptOutcome::Error ? 1 : 0;
        endpoint.errorShare += options_->errorWeight * (error - endpoint.errorShare);
        quarantine_->completed(call.facts.fingerprint, now);
        // What waited for its turn at the endpoint says nothing of the time that a place is held.
        if (service != nullptr && call.placeFreeAtSend) {
            endpoint.hold += scaled(now - call.sentAt - endpoint.hold, AverageWeight);
        }
    }
    if (good) {
        endpoint.failures = 0;
        if (endpoint.restsUntil && endpoint.rest >= RestartRest && service != nullptr) {
            endpoint.coldUntil = std::max(endpoint.coldUntil, now + service->coldTime);
        }
        endpoint.restsUntil.reset();
        endpoint.rest = Duration(0);
        endpoint.trial = false;
        return;
    }
    if (outcome == AttemptOutcome::Cancelled) {
        endpoint.trial = false;
        return;
    }
    ++endpoint.failures;
    if (outcome == AttemptOutcome::Broken) {
        endpoint.lost.emplace_back(now, call.facts.fingerprint);
    }
    while (!endpoint.lost.empty() && now - endpoint.lost.front().first > OnBoardTime) {
        endpoint.lost.pop_front();
    }
    if (outcome == AttemptOutcome::NotConnected && !endpoint.restsUntil && !endpoint.lost.empty()) {
        std::vector<std::uint64_t> onBoard;
        for (const auto &[at, fingerprint] : endpoint.lost) {
            onBoard.push_back(fingerprint);
        }
        quarantine_->endpointDied(lifeOf(endpoint), onBoard, now);
        endpoint.lost.clear();
        endpoint.cache.clear();
    }
    if (outcome == AttemptOutcome::NotConnected || endpoint.failures >= options_->failuresInRow) {
        rest(endpoint, now);
    }
}

} // namespace LaburnumChute::Dispatch
