#include <algorithm>
#include <utility>

#include "Dispatch/Scheduler.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Attempts allowed in addition to the runs that a route allows: an attempt that the endpoint does
/// not accept costs little.
constexpr int ExtraAttempts = 2;
/// A brittle endpoint that has rejected a request gets none for the time over which it counts
/// rejections.
constexpr milliseconds BrittlePause{1000};
/// An endpoint that crashes as it begins an answer does so within this time of the first event.
constexpr milliseconds BeginTime{250};
/// If more of the time to a first event is expected to be that of a copy, it does not show how fast
/// the engine is, since the time of the copy is not known apart from that of the engine.
constexpr double MaxCopyFraction = 0.25;

} // namespace

bool Scheduler::maySend(CallId id, Time now) const
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.endpoint.empty()) {
        return true;
    }
    const auto *endpoint = table_.find(found->second.endpoint);
    return endpoint != nullptr && !endpoint->listed.leaving && !endpoint->evacuated
           && endpoint->rest.left(now) == Duration(0)
           && !crashes_.rejection(found->second.keys, found->second.runs > 0, now);
}

// Evaluation of attempts.

void Scheduler::answering(CallId id, Time now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.answering) {
        return;
    }
    auto &call = found->second;
    call.answering = true;
    call.answeringSince = now;
    call.lastEventAt = now;
    auto *endpoint = table_.find(call.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    hear(*endpoint, now);
    endpoint->rest.accepted(call.sentAt);
    health_.recordAnswer(*endpoint, call, now);
    const auto took = now - call.sentAt;
    table_.transfers().remove(id, now);
    if (call.sentAt < endpoint->silentUntil) {
        crashes_.answered(call.run, call.sentAt);
        endpoint->prefillQueue.remove(call.sentAt, now);
        return;
    }
    // Short prompts may be prefilled before longer ones that were sent earlier.
    std::optional<BusyPeriod> busy;
    if (call.prefillTokens >= options_.noticeTokens) {
        busy = endpoint->prefillQueue.prefilledUpTo(call.sentAt, now);
    } else {
        endpoint->prefillQueue.remove(call.sentAt, now);
    }
    const auto *service = table_.service(call.facts.service);
    if (service == nullptr || !service->engine) {
        return;
    }
    if (call.copy) {
        recordCopy(call, took, now);
    }
    const auto copying =
        call.copy ? call.expected - call.copy->others + call.copy->wait : Duration(0);
    if (copying > scaled(call.expected, MaxCopyFraction)) {
        crashes_.answered(call.run, call.sentAt);
        return;
    }
    // A transfer does not depend on the speed of the machine.
    const auto fixed = options_.firstEventFloor + copying;
    recordSpeed(*endpoint, call, fixed, now);
    const double workFactor = endpoint->workFactor(now);
    auto &engine = table_.engine(call.facts.service);
    if (call.idleAtSend) {
        engine.samplePrefill(call.prefillTokens, atUsualSpeed(took, workFactor, fixed) - copying);
    } else if (busy) {
        // An engine that is never idle never prefills a single prompt alone. If its speed were not
        // measured between consecutive prompts, an engine slower than expected would be assumed to
        // have completed its prefills long ago and would be sent more and more.
        engine.sampleBusyPrefill(busy->expected, scaled(busy->took, 1 / workFactor));
    }
    health_.recordFirstEvent(*endpoint, call, took);
}

void Scheduler::recordCopy(const Call &call, Duration took, Time now)
{
    const auto &copy = *call.copy;
    const auto &name = call.facts.service;
    if (!table_.couldCopyFrom(copy.source, copy.sourceRun, call.sentAt)) {
        return;
    }
    table_.transferModel(name).sample(*table_.service(name)->engine, copy.tokens, copy.path, took,
                                      copy.others, now);
    if (took >= copy.withoutCopy) {
        // The source may not have had the parts, so that the engine prefilled them.
        table_.forgetParts(copy.source, call.facts.parts);
    }
}

void Scheduler::recordSpeed(const EndpointState &endpoint, const Call &call, Duration fixed,
                            Time now)
{
    // The machine's speed may have changed in between.
    const double factor = (call.statedWorkFactor + endpoint.statedWorkFactor(now)) / 2;
    const auto expected = atUsualSpeed(call.expected, call.workFactor, fixed);
    const auto dependent = std::max(Duration(0), expected - fixed);
    table_.speedModel(call.facts.service)
        .answerSeen(expected, expected + scaled(dependent, factor - 1), now - call.sentAt);
}

void Scheduler::progressed(CallId id, int events, Duration pause, Time now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    auto &call = found->second;
    call.events += events;
    call.lastEventAt = now;
    if (!call.answerGoesOn && now - call.answeringSince >= BeginTime) {
        call.answerGoesOn = true;
        health_.recordProgress(call, now);
    }
    auto *endpoint = table_.find(call.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    hear(*endpoint, now);
    if (now - pause >= endpoint->silentUntil) {
        auto &engine = table_.engine(call.facts.service);
        if (now - pause >= call.readingResumedAt) {
            const auto usual = scaled(pause, 1 / endpoint->workFactor(now));
            call.longestPause = std::max(call.longestPause, usual);
        }
        endpoint->pace.seen(events, scaled(pause, 1 / endpoint->workFactor(now)), now);
        engine.paceSeen(endpoint->pace.pause(engine.fastestPause(), now));
    }
}

void Scheduler::recordPauses(Call &call, AttemptOutcome outcome, Time now)
{
    const auto &facts = call.facts;
    if (std::exchange(call.shortStream, false)) {
        grouping_.ended(facts.service);
    }
    // A caller may leave because of a pause.
    const bool ended = isWhole(outcome) || outcome == AttemptOutcome::Cancelled;
    const auto *endpoint = table_.find(call.endpoint);
    if (!ended || !call.answering || facts.kind != RequestKind::Stream
        || facts.longestPause <= Duration(0) || endpoint == nullptr) {
        return;
    }
    if (outcome == AttemptOutcome::Cancelled && !call.readingPaused) {
        const auto open = scaled(now - call.lastEventAt, 1 / endpoint->workFactor(now));
        call.longestPause = std::max(call.longestPause, open);
    }
    const auto largest = endpoint->prompts.largest(call.answeringSince, call.sentAt);
    pauses_.of(facts.service).ended(largest, call.longestPause > facts.longestPause, now);
}

void Scheduler::leaveEndpoint(Call &call, AttemptOutcome outcome, Time now)
{
    recordPauses(call, outcome, now);
    crashes_.stopped(std::exchange(call.suspectedKeys, {}));
    table_.transfers().remove(call.facts.id, now);
    auto *endpoint = table_.find(call.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->own = std::max(0, endpoint->own - 1);
    const bool answered = isWhole(outcome) || outcome == AttemptOutcome::Error;
    if (answered) {
        endpoint->rest.accepted(call.sentAt);
    }
    if (answered || outcome == AttemptOutcome::NotRun) {
        hear(*endpoint, now);
    }
    endpoint->rest.ended(call.sentAt);
    if (outcome == AttemptOutcome::NotRun && table_.brittleness().brittle(call.facts.service)) {
        endpoint->rest.begin(BrittlePause, now);
    }
    const auto *service = table_.service(call.facts.service);
    const bool plain = service != nullptr && !service->engine;
    if (plain && isWhole(outcome) && call.sentAt >= endpoint->silentUntil) {
        recordSpeed(*endpoint, call, Duration(0), now);
    }
    if (!call.answering) {
        endpoint->prefillQueue.remove(call.sentAt, now);
    }
    health_.recordOutcome(*endpoint, call, outcome, now);
}

Effects Scheduler::ended(CallId id, AttemptOutcome outcome, bool mayRetry, Time now)
{
    Effects effects;
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return effects;
    }
    auto &call = found->second;
    const bool atEndpoint = !call.endpoint.empty();
    if (atEndpoint) {
        leaveEndpoint(call, outcome, now);
    }
    if (isWhole(outcome) && call.facts.kind == RequestKind::Stream) {
        table_.engine(call.facts.service).answerSeen(call.facts.outputTokens, call.events);
    }
    const bool done = call.withdrawn || isWhole(outcome) || outcome == AttemptOutcome::Cancelled;
    if (done) {
        forget(call);
        dispatchQueue(now, effects);
        return effects;
    }
    const bool unsent = isUnsent(outcome);
    const bool notRun = isNotRun(outcome);
    if (!notRun) {
        // The instance in the other region may have used all runs that the route allows; a broken
        // connection does not show how many.
        call.runs = atEndpoint ? call.runs + 1 : std::max(call.runs + 1, call.facts.maxRuns);
    }
    // An attempt by which nothing was sent costs nothing, and no endpoint, instance or region is
    // tried a second time.
    call.unsentAttempts += unsent ? 1 : 0;
    if (unsent && !atEndpoint) {
        budget(call.facts.service).undoForwarded(now);
    }
    if (unsent && call.retryCharge == RetryCharge::Sent) {
        call.retryCharge = RetryCharge::Reserved;
        budget(call.facts.service).undoSent(call.sentAt);
    }
    const bool attemptsLeft =
        call.attempts - call.unsentAttempts < call.facts.maxRuns + ExtraAttempts;
    const bool allowed =
        notRun ? attemptsLeft : call.facts.repeatable && call.runs < call.facts.maxRuns;
    const bool retry =
        mayRetry && allowed && now < call.facts.deadline && (unsent || reserveRetry(call, now));
    const auto &usable = table_.usable(call.facts.service);
    const bool allAttempted = std::all_of(usable.begin(), usable.end(), [&](const auto *endpoint) {
        return contains(call.attemptedEndpoints, endpoint->listed.record.id);
    });
    if (retry && allAttempted && !notRun) {
        // There is no other endpoint, so those that failed may be used again: some endpoints fail
        // only now and then.
        call.attemptedEndpoints.clear();
    }
    // When every endpoint has rejected the request, waiting changes nothing.
    const bool mayWait = !(allAttempted && notRun);
    if (retry) {
        place(call, mayWait, now, effects);
    } else if (call.runs == 0 && !hasDestination(call, now)) {
        rejectWithoutEndpoint(call, now, effects);
    } else if (call.runs == 0) {
        reject(call, RejectReason::AttemptsUsed, expectedWait(call, now), now, effects);
    } else {
        fail(call, effects);
    }
    dispatchQueue(now, effects);
    return effects;
}

} // namespace LaburnumChute::Dispatch
