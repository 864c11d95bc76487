// The way of a request through the scheduler: submit, send, first token, end, retry.

#include <algorithm>

#include "Decisions/SchedulerParts.h"

namespace LaburnumChute::Decisions {

namespace {

/// How long a suspect waits before it looks for an endpoint apart again.
constexpr Duration SuspectWait = milliseconds(50);
/// Added to both sides of a ratio of delays, so that a few milliseconds of network do not make a
/// tiny request look slow.
constexpr double DelayFloor = 0.02;
constexpr double LearningWeight = 0.02;
constexpr Duration NoEndpointRetryAfter = seconds(5);
/// Free capacity elsewhere comes a second's worth at a time.
constexpr Duration ElsewhereRetryAfter = seconds(2);
constexpr Duration FailureRetryAfter = seconds(1);

double delayRatio(Duration observed, Duration expected)
{
    return (Common::toSeconds(observed) + DelayFloor) / (Common::toSeconds(expected) + DelayFloor);
}

} // namespace

void Scheduler::Parts::submit(RequestFacts facts, Time now, Effects &effects)
{
    if (facts.supersedes) {
        cancel(*facts.supersedes, now, effects);
    }
    const RequestId id = facts.id;
    const auto [position, isNew] = requests.try_emplace(id);
    if (!isNew) {
        return;
    }
    auto &request = position->second;
    request.facts = std::move(facts);
    request.submittedAt = now;
    const auto base = request.facts.target.base();
    auto &waiting = request.waiting;
    waiting.id = id;
    waiting.customer = request.facts.customer;
    waiting.priority = admission.priority(request.facts);
    waiting.enqueuedAt = now;
    waiting.deadline = request.facts.deadline;
    waiting.fingerprint = request.facts.fingerprint;
    waiting.workTokens = workTokens(request.facts);
    const auto holders = prefixes.holders(request.facts.prefixBlocks);
    const auto cached = holders.count > 0 ? holders.holders[0].cachedTokens : 0;
    const auto uncached = std::max<std::int64_t>(0, request.facts.promptTokens - cached);
    const std::chrono::duration<double> prefill(static_cast<double>(uncached) / prefillRate(base));
    waiting.firstTokenWork = std::chrono::duration_cast<Duration>(prefill);
    demand.add(request.facts.target, waiting.workTokens, now);
    if (request.facts.attempt == 0) {
        budget.firstTry();
    }
    settleAtHome(id, now, effects);
}

void Scheduler::Parts::settleAtHome(const RequestId &id, Time now, Effects &effects)
{
    auto &request = requests.at(id);
    const auto base = request.facts.target.base();
    const auto fingerprint = request.facts.fingerprint;
    if (quarantine.verdict(fingerprint, now) == Verdict::Quarantined) {
        refuse(id, RejectReason::Quarantined, RunState::NotRun,
               quarantine.retryAfter(fingerprint, now), now, effects);
        return;
    }
    if (!homeAllowed(request.facts) || table.candidates(base).empty()) {
        if (!forward(request, now, effects)) {
            refuseWithoutPlace(id, now, effects);
        }
        return;
    }
    const auto queue = queues.find(base);
    if (sendsAtOnce() || queue == queues.end() || queue->second.empty()) {
        if (const auto placed = place(request, now)) {
            dispatch(request, *placed, false, now, effects);
            return;
        }
    }
    if (forward(request, now, effects)) {
        return;
    }
    const auto refusal =
        admission.refuse(request.facts, request.waiting, base, table.capacity(base), now);
    if (refusal) {
        refuse(id, refusal->reason, RunState::NotRun, refusal->retryAfter, now, effects);
        return;
    }
    if (waitingRequests() >= options.queue.limit) {
        refuse(id, RejectReason::Overloaded, RunState::NotRun, FailureRetryAfter, now, effects);
        return;
    }
    note(id, now, "waits for", toString(base), homeOffer(request, now).expectedFirstToken,
         request.waiting.workTokens);
    enqueue(request, now);
    drain(base, now, effects);
}

void Scheduler::Parts::refuseWithoutPlace(const RequestId &id, Time now, Effects &effects)
{
    const auto &request = requests.at(id);
    if (!homeAllowed(request.facts)) {
        // An allowed region that turned it away may have room later.
        const bool later = request.wasForwarded;
        refuse(id, later ? RejectReason::Overloaded : RejectReason::Residency, RunState::NotRun,
               later ? FailureRetryAfter : Duration(0), now, effects);
        return;
    }
    // A region that could take it, but whose share for us is used up, is worth a new try.
    const bool later = spill.servedElsewhere(request.facts, now);
    refuse(id, later ? RejectReason::Overloaded : RejectReason::NoEndpoint, RunState::NotRun,
           admission.spreadOut(later ? ElsewhereRetryAfter : NoEndpointRetryAfter), now, effects);
}

void Scheduler::Parts::drain(const Target &base, Time now, Effects &effects)
{
    const auto found = queues.find(base);
    if (found == queues.end()) {
        return;
    }
    while (serveNext(found->second, now, effects)) { }
}

bool Scheduler::Parts::serveNext(WaitQueue &queue, Time now, Effects &effects)
{
    const auto overShare = [&](const CustomerName &customer) {
        return admission.overShare(customer, now);
    };
    const auto turn = queue.next(now, overShare);
    return std::any_of(turn.begin(), turn.end(),
                       [&](const RequestId &id) { return serve(id, queue, now, effects); });
}

/// False when the request finds no place now.
bool Scheduler::Parts::serve(const RequestId &id, WaitQueue &queue, Time now, Effects &effects)
{
    auto &request = requests.at(id);
    const auto fingerprint = request.facts.fingerprint;
    const auto verdict = quarantine.verdict(fingerprint, now);
    if (verdict == Verdict::Quarantined) {
        refuse(id, RejectReason::Quarantined, RunState::NotRun,
               quarantine.retryAfter(fingerprint, now), now, effects);
        return true;
    }
    const auto placed = place(request, now);
    if (!placed && verdict == Verdict::Clear) {
        return false;
    }
    queue.turnTaken(id);
    unqueue(request, now);
    if (placed) {
        dispatch(request, *placed, false, now, effects);
    } else {
        // A suspect that must run apart does not hold up the others.
        backOff(request, now + SuspectWait);
    }
    return true;
}

void Scheduler::Parts::drainAll(Time now, Effects &effects)
{
    for (const auto &[target, queue] : queues) {
        drain(target, now, effects);
    }
}

void Scheduler::Parts::cancelTries(RequestState &request, std::optional<EndpointHandle> except,
                                   Effects &effects)
{
    for (auto &entry : request.tries) {
        if (entry.cancelSent || (except && entry.handle == *except)) {
            continue;
        }
        entry.cancelSent = true;
        effects.push_back(CancelOnEndpoint{request.facts.id, entry.endpoint});
    }
}

void Scheduler::Parts::cancel(const RequestId &id, Time now, Effects &effects)
{
    const auto found = requests.find(id);
    if (found == requests.end() || found->second.done) {
        return;
    }
    auto &request = found->second;
    note(id, now, "cancelled");
    switch (request.phase) {
    case Phase::Waiting:
    case Phase::BackingOff:
        unqueue(request, now);
        backingOff.erase({request.nextTryAt, id});
        requests.erase(found);
        effects.push_back(Drop{id});
        return;
    case Phase::Running:
        request.done = true;
        cancelTries(request, {}, effects);
        return;
    case Phase::Forwarded:
        request.done = true;
        effects.push_back(CancelOnEndpoint{id, EndpointId()});
        return;
    }
}

void Scheduler::Parts::firstToken(const RequestId &id, const EndpointId &endpoint, Time now,
                                  Effects &effects)
{
    const auto found = requests.find(id);
    if (found == requests.end()) {
        return;
    }
    auto &request = found->second;
    const auto entry =
        std::find_if(request.tries.begin(), request.tries.end(),
                     [&](const Try &candidate) { return candidate.endpoint == endpoint; });
    if (entry == request.tries.end() || entry->firstToken) {
        return;
    }
    entry->firstToken = true;
    auto &state = table.at(entry->handle);
    state.load.firstToken(entry->prefillTokens);
    const auto took = now - entry->sentAt;
    ejection.succeeded(entry->handle, delayRatio(took, entry->expected), now);
    if (!entry->waitsForPlace) {
        state.limit.sample(delayRatio(took, entry->expected), state.load.inFlight(now));
    }
    note(id, now, "first token from", endpoint.text(), took);
    if (!request.done) {
        cancelTries(request, entry->handle, effects);
    }
}

void Scheduler::Parts::endpointDied(EndpointHandle handle, Time now)
{
    std::vector<std::uint64_t> onBoard;
    for (const auto &id : onSlot[handle]) {
        auto &request = requests.at(id);
        for (auto &entry : request.tries) {
            if (entry.handle == handle && !entry.deathTold) {
                entry.deathTold = true;
                onBoard.push_back(request.facts.fingerprint);
            }
        }
    }
    std::erase(onBoard, 0U);
    quarantine.endpointDied(table.at(handle).facts.id, onBoard, now);
    prefixes.forget(handle);
}

void Scheduler::Parts::releaseTry(RequestState &request, const Try &ended, Outcome outcome,
                                  Time now)
{
    auto &state = table.at(ended.handle);
    state.load.ended(!ended.firstToken, ended.prefillTokens, ended.sentAt, now);
    onSlot[ended.handle].erase(request.facts.id);
    if (ended.countedSuspect) {
        quarantine.stopped(request.facts.fingerprint);
    }
    const double held = Common::toSeconds(now - ended.sentAt);
    state.holdSeconds += LearningWeight * (held - state.holdSeconds);
    switch (outcome) {
    case Outcome::Completed:
        quarantine.completed(request.facts.fingerprint, now);
        break;
    case Outcome::NotStarted:
    case Outcome::Failed:
    case Outcome::TimedOut:
        ejection.failed(ended.handle, now);
        break;
    case Outcome::EndpointDied:
    case Outcome::Cancelled:
        break;
    }
    const bool learns = ended.firstToken && request.facts.expectedOutputTokens > 0;
    if (learns && (outcome == Outcome::Completed || outcome == Outcome::Cancelled)) {
        auto &ratio = outputRatio.try_emplace(request.facts.target.base(), 1).first->second;
        const auto generated = static_cast<double>(request.generated)
                               / static_cast<double>(request.facts.expectedOutputTokens);
        ratio += LearningWeight * (std::min(1.0, generated) - ratio);
    }
}

void Scheduler::Parts::finished(const RequestId &id, const EndpointId &endpoint, Outcome outcome,
                                Time now, Effects &effects)
{
    const auto found = requests.find(id);
    if (found == requests.end()) {
        return;
    }
    auto &request = found->second;
    if (request.phase == Phase::Forwarded) {
        forwardEnded(id, outcome, now, effects);
        return;
    }
    const auto entry =
        std::find_if(request.tries.begin(), request.tries.end(),
                     [&](const Try &candidate) { return candidate.endpoint == endpoint; });
    if (entry == request.tries.end()) {
        return;
    }
    if (outcome == Outcome::EndpointDied && !entry->deathTold) {
        endpointDied(entry->handle, now);
    }
    const Try ended = *entry;
    request.tries.erase(entry);
    releaseTry(request, ended, outcome, now);
    note(id, now, "ended on", endpoint.text() + ": " + std::string(toString(outcome)));
    if (outcome == Outcome::Completed) {
        request.done = true;
        cancelTries(request, {}, effects);
    }
    if (request.tries.empty()) {
        if (request.done || outcome == Outcome::Cancelled) {
            requests.erase(found);
        } else {
            request.mayHaveRun = request.mayHaveRun || outcome != Outcome::NotStarted;
            if (ended.firstToken && !request.facts.continuable) {
                request.facts.noRetry = true;
            }
            afterFailure(id, outcome, now, effects);
        }
    } else {
        request.mayHaveRun = request.mayHaveRun || outcome != Outcome::NotStarted;
    }
    for (const auto &target : table.at(ended.handle).facts.targets) {
        drain(target.base(), now, effects);
    }
}

void Scheduler::Parts::forwardEnded(const RequestId &id, Outcome outcome, Time now,
                                    Effects &effects)
{
    auto &request = requests.at(id);
    if (request.done || outcome == Outcome::Completed || outcome == Outcome::Cancelled) {
        requests.erase(id);
        return;
    }
    note(id, now, "forward ended:", std::string(toString(outcome)));
    request.mayHaveRun = outcome != Outcome::NotStarted;
    if (outcome == Outcome::NotStarted) {
        // It was not begun there and may not be forwarded again: home is what is left, if anything.
        settleAtHome(id, now, effects);
        return;
    }
    afterFailure(id, outcome, now, effects);
}

void Scheduler::Parts::afterFailure(const RequestId &id, Outcome outcome, Time now,
                                    Effects &effects)
{
    auto &request = requests.at(id);
    const auto base = request.facts.target.base();
    const auto fingerprint = request.facts.fingerprint;
    if (quarantine.verdict(fingerprint, now) == Verdict::Quarantined) {
        refuse(id, RejectReason::Quarantined, runAfter(outcome),
               quarantine.retryAfter(fingerprint, now), now, effects);
        return;
    }
    const bool mayTry = mayRetry(request.facts, outcome, false) && homeAllowed(request.facts)
                        && !table.candidates(base).empty();
    // Nothing was run and each endpoint is asked once: this costs the endpoints nothing, so that it
    // needs no budget.
    if (mayTry && outcome == Outcome::NotStarted && untriedLeft(request)) {
        backOff(request, now);
        note(id, now, "not started, goes on to another endpoint");
        return;
    }
    const bool within = request.attempts < options.retry.maxAttempts;
    if (mayTry && within && !suffering(base) && budget.take()) {
        backOff(request, now + budget.backoff(request.attempts, random));
        note(id, now, "retries", {}, request.nextTryAt - now);
        return;
    }
    // Runners at home report room and yet begin nothing, so home looks cheapest until the tries are
    // used up. Callers would get 502 while other regions have room; the spill's rates still bound
    // what goes there.
    const bool unbegun = outcome == Outcome::NotStarted && !request.mayHaveRun;
    if (unbegun && forward(request, HomeOffer{true, {}}, now, effects)) {
        return;
    }
    const auto reason =
        outcome == Outcome::TimedOut ? RejectReason::TimedOut : RejectReason::Failed;
    refuse(id, reason, runAfter(outcome), FailureRetryAfter, now, effects);
}

} // namespace LaburnumChute::Decisions
