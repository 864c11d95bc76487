#include "Dispatch/EndpointHealth.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Weight of one answer in an endpoint's averages.
constexpr double AverageWeight = 0.1;
/// Bounds of an endpoint's slowness: twice as fast and six times as slow as expected. A larger
/// difference has other causes than the endpoint's speed.
constexpr double SlownessMin = 0.5;
constexpr double SlownessMax = 6;
/// Requests whose connection broke within this time before an endpoint crashed are suspected.
constexpr seconds CrashWindow{3};
/// An endpoint that was ejected for this long may have been restarted in the meantime.
constexpr milliseconds RestartEjectionTime{1000};

/// Identifies one run of an endpoint process: a crashed endpoint often returns under its old id.
EndpointId incarnationOf(const EndpointState &endpoint)
{
    const auto &record = endpoint.listed.record;
    return EndpointId(fmt::format("{}@{}", record.id, record.startedAt));
}

} // namespace

EndpointHealth::EndpointHealth(const DispatchOptions &options, const EndpointTable &table,
                               Decisions::Quarantine &quarantine)
    : options_(&options)
    , table_(&table)
    , quarantine_(&quarantine)
{
}

void EndpointHealth::recordFirstEvent(EndpointState &endpoint, const Call &call, Duration took)
{
    constexpr double RatioMin = 0.3;
    constexpr double RatioMax = 3;
    const auto expected = std::max<Duration>(call.expected, options_->firstEventFloor);
    const auto ratio =
        std::clamp(inMilliseconds(took) / inMilliseconds(expected), RatioMin, RatioMax);
    endpoint.slowness =
        std::clamp(endpoint.slowness * (1 + AverageWeight * (ratio - 1)), SlownessMin, SlownessMax);
}

void EndpointHealth::eject(EndpointState &endpoint, Time now)
{
    const auto doubled = std::max<Duration>(options_->firstEjection, endpoint.ejectionTime * 2);
    endpoint.ejectionTime = std::min<Duration>(doubled, options_->maxEjection);
    endpoint.ejectedUntil = now + endpoint.ejectionTime;
    endpoint.probing = false;
}

void EndpointHealth::recordCrash(EndpointState &endpoint, Time now)
{
    std::set<std::uint64_t> fingerprints;
    for (const auto &[at, fingerprint] : endpoint.brokenCalls) {
        fingerprints.insert(fingerprint);
    }
    const std::vector<std::uint64_t> suspects(fingerprints.begin(), fingerprints.end());
    crashEvents_.push_back(EndpointCrash{endpoint.listed.record.id, suspects});
    for (const auto &start : quarantine_->endpointDied(incarnationOf(endpoint), suspects, now)) {
        crashEvents_.push_back(RequestQuarantine{start.fingerprint, start.deaths, false});
    }
    endpoint.brokenCalls.clear();
    endpoint.cache.clear();
}

std::vector<CrashEvent> EndpointHealth::takeCrashEvents()
{
    return std::exchange(crashEvents_, {});
}

void EndpointHealth::recordOutcome(EndpointState &endpoint, const Call &call,
                                   AttemptOutcome outcome, Time now)
{
    const auto *service = table_->service(call.facts.service);
    const bool good = outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::Error
                      || outcome == AttemptOutcome::NotRun || outcome == AttemptOutcome::Replaced;
    if (outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::Error) {
        const double error = outcome == AttemptOutcome::Error ? 1 : 0;
        endpoint.errorRate += options_->errorWeight * (error - endpoint.errorRate);
        quarantine_->completed(call.facts.fingerprint, now);
        // A request that waited in the endpoint's queue does not show how long a slot is held.
        if (service != nullptr && call.slotFreeAtSend) {
            endpoint.holdTime += scaled(now - call.sentAt - endpoint.holdTime, AverageWeight);
        }
    }
    if (good) {
        endpoint.consecutiveFailures = 0;
        if (endpoint.ejectedUntil && endpoint.ejectionTime >= RestartEjectionTime
            && service != nullptr) {
            endpoint.coldUntil = std::max(endpoint.coldUntil, now + service->coldTime);
        }
        endpoint.ejectedUntil.reset();
        endpoint.ejectionTime = Duration(0);
        endpoint.probing = false;
        return;
    }
    if (outcome == AttemptOutcome::Cancelled) {
        endpoint.probing = false;
        return;
    }
    ++endpoint.consecutiveFailures;
    if (outcome == AttemptOutcome::Broken) {
        endpoint.brokenCalls.emplace_back(now, call.facts.fingerprint);
    }
    while (!endpoint.brokenCalls.empty()
           && now - endpoint.brokenCalls.front().first > CrashWindow) {
        endpoint.brokenCalls.pop_front();
    }
    if (isUnsent(outcome) && !endpoint.ejectedUntil && !endpoint.brokenCalls.empty()) {
        recordCrash(endpoint, now);
    }
    if (isUnsent(outcome) || endpoint.consecutiveFailures >= options_->consecutiveFailures) {
        eject(endpoint, now);
    }
}

} // namespace LaburnumChute::Dispatch
