#include "Dispatch/EndpointHealth.h"

#include <algorithm>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Weight of one answer in an endpoint's averages.
constexpr double AverageWeight = 0.1;
/// Bounds of an endpoint's slowness: twice as fast and six times as slow as expected. A larger
/// difference has other causes than the endpoint's speed.
constexpr double SlownessMin = 0.5;
constexpr double SlownessMax = 6;
/// An endpoint that was ejected for this long may have been restarted in the meantime.
constexpr milliseconds RestartEjectionTime{1000};

/// Keys of the request that are parts of its prompt, or the others.
std::vector<SuspectKey> keysOf(const Call &call, bool parts)
{
    std::vector<SuspectKey> keys;
    std::copy_if(call.keys.begin(), call.keys.end(), std::back_inserter(keys),
                 [parts](const auto &key) { return (key.kind == SuspectKind::Part) == parts; });
    return keys;
}

} // namespace

EndpointHealth::EndpointHealth(const DispatchOptions &options, const EndpointTable &table,
                               CrashAttribution &crashes)
    : options_(&options)
    , table_(&table)
    , crashes_(&crashes)
{
}

void EndpointHealth::recordFirstEvent(EndpointState &endpoint, const Call &call, Duration took)
{
    crashes_->answered(call.run, call.sentAt);
    constexpr double RatioMin = 0.3;
    constexpr double RatioMax = 3;
    const Duration floor = options_->firstEventFloor;
    // Both at the usual speed: a machine that is slow for a while is no slow endpoint.
    const auto expected = std::max(floor, atUsualSpeed(call.expected, call.workFactor, floor));
    const auto usual = atUsualSpeed(took, endpoint.workFactor(call.sentAt + took), floor);
    const auto ratio =
        std::clamp(inMilliseconds(usual) / inMilliseconds(expected), RatioMin, RatioMax);
    endpoint.slowness =
        std::clamp(endpoint.slowness * (1 + AverageWeight * (ratio - 1)), SlownessMin, SlownessMax);
}

void EndpointHealth::recordProgress(const Call &call, Time now)
{
    crashes_->served(keysOf(call, true), now);
}

void EndpointHealth::eject(EndpointState &endpoint, Time now)
{
    const auto doubled = std::max<Duration>(options_->firstEjection, endpoint.ejectionTime * 2);
    endpoint.ejectionTime = std::min<Duration>(doubled, options_->maxEjection);
    endpoint.ejectedUntil = now + endpoint.ejectionTime;
    endpoint.ejectedAt = now;
    endpoint.probing = false;
}

void EndpointHealth::readmit(EndpointState &endpoint, const ServiceName &service, Time now)
{
    const auto *traits = table_->service(service);
    if (endpoint.ejectionTime >= RestartEjectionTime && traits != nullptr) {
        endpoint.coldUntil = std::max(endpoint.coldUntil, now + traits->coldTime);
    }
    if (table_->unreachable(service)) {
        // The paths to the other endpoints are probably back as well, and one endpoint must not get
        // all requests until their ejections end.
        for (auto *other : table_->usable(service)) {
            other->ejectedUntil = std::min(*other->ejectedUntil, now);
        }
    }
    endpoint.ejectedUntil.reset();
    endpoint.ejectionTime = Duration(0);
    endpoint.probing = false;
}

/// Established connections can outlive the path by which new ones are made, and many requests break
/// at once: only those that were sent later show whether the endpoint is back.
bool EndpointHealth::precedesEjection(const EndpointState &endpoint, const Call &call)
{
    return endpoint.ejectedUntil && call.sentAt < endpoint.ejectedAt;
}

/// Load pattern: the paths to all endpoints return while a long stream is the only probe.
void EndpointHealth::recordAnswer(EndpointState &endpoint, Call &call, Time now)
{
    if (endpoint.ejectedUntil && !precedesEjection(endpoint, call)) {
        call.readmittedEndpoint = true;
        endpoint.consecutiveFailures = 0;
        readmit(endpoint, call.facts.service, now);
    }
}

void EndpointHealth::recordEvidence(EndpointState &endpoint, const Call &call,
                                    AttemptOutcome outcome, Time now)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        crashes_->served(call.keys, now);
        crashes_->answered(call.run, call.sentAt);
        return;
    case AttemptOutcome::Error:
    case AttemptOutcome::NotRun:
        crashes_->answered(call.run, call.sentAt);
        return;
    case AttemptOutcome::Refused:
        crashes_->notConnected(call.run, true, now);
        endpoint.cache.clear();
        return;
    case AttemptOutcome::NotConnected:
        crashes_->notConnected(call.run, false, now);
        return;
    case AttemptOutcome::Replaced:
        crashes_->ended(call.run, now);
        endpoint.cache.clear();
        return;
    case AttemptOutcome::Broken:
        // An endpoint that leaves may end on purpose before its last requests have.
        if (endpoint.listed.leaving) {
            crashes_->ignored(call.keys, EvidenceLoss::EndpointLeft);
        } else {
            crashes_->broke(endpoint.listed.record.id, call.run,
                            call.answerGoesOn ? keysOf(call, false) : call.keys, now);
        }
        return;
    case AttemptOutcome::Answered:
    case AttemptOutcome::Cancelled:
    case AttemptOutcome::Withheld:
    case AttemptOutcome::Invalid:
    case AttemptOutcome::Silent:
        return;
    }
}

void EndpointHealth::recordOutcome(EndpointState &endpoint, const Call &call,
                                   AttemptOutcome outcome, Time now)
{
    recordEvidence(endpoint, call, outcome, now);
    const auto *service = table_->service(call.facts.service);
    const bool answered = isWhole(outcome) || outcome == AttemptOutcome::Error;
    const bool good = answered || outcome == AttemptOutcome::NotRun;
    if (answered) {
        const double error = outcome == AttemptOutcome::Error ? 1 : 0;
        endpoint.errorRate += options_->errorWeight * (error - endpoint.errorRate);
        // A request that waited, in the endpoint's queue or for a silent endpoint, does not show
        // how long a slot is held.
        const bool waited = !call.slotFreeAtSend || call.sentAt < endpoint.silentUntil;
        if (service != nullptr && !waited) {
            const auto held = scaled(now - call.sentAt, 1 / endpoint.workFactor(now));
            endpoint.holdTime += scaled(held - endpoint.holdTime, AverageWeight);
        }
    }
    if (precedesEjection(endpoint, call)) {
        return;
    }
    if (good) {
        endpoint.consecutiveFailures = 0;
        if (endpoint.ejectedUntil) {
            readmit(endpoint, call.facts.service, now);
        }
        return;
    }
    // An endpoint that works may be silent for as long as callers wait for it.
    const auto silentSince = std::min(call.sentAt, endpoint.silentSince.value_or(call.sentAt));
    const bool briefSilence =
        outcome == AttemptOutcome::Silent && now - silentSince < call.facts.patience;
    if (briefSilence || outcome == AttemptOutcome::Cancelled
        || outcome == AttemptOutcome::Withheld) {
        endpoint.probing = false;
        return;
    }
    ++endpoint.consecutiveFailures;
    // The answer that ended an ejection had no end, or was none.
    const bool unfit = outcome == AttemptOutcome::Invalid && call.readmittedEndpoint;
    const bool gone = outcome == AttemptOutcome::NotConnected || outcome == AttemptOutcome::Refused
                      || outcome == AttemptOutcome::Replaced;
    const bool probeFailed = endpoint.ejectedUntil.has_value();
    if (gone || unfit || probeFailed
        || endpoint.consecutiveFailures >= options_->consecutiveFailures) {
        eject(endpoint, now);
    }
}

} // namespace LaburnumChute::Dispatch
