// Life cycle of a request in the scheduler: submit, dispatch, first token, end, retry.

#include <algorithm>

#include "Decisions/SchedulerImpl.h"

namespace LaburnumChute::Decisions {

namespace {

/// Time until a suspect looks again for an endpoint without other suspects.
constexpr Duration SuspectRetryInterval = milliseconds(50);
/// Added to both delays of a ratio, in seconds, so that a few milliseconds of network latency do
/// not make a tiny request look slow.
constexpr double DelayFloor = 0.02;
constexpr double LearningWeight = 0.02;
constexpr Duration NoEndpointRetryAfter = seconds(5);
/// The token buckets of the routes to other regions refill every second.
constexpr Duration OtherRegionRetryAfter = seconds(2);
constexpr Duration FailureRetryAfter = seconds(1);

double delayRatio(Duration observed, Duration expected)
{
    return (Common::toSeconds(observed) + DelayFloor) / (Common::toSeconds(expected) + DelayFloor);
}

} // namespace

void Scheduler::Impl::submit(RequestFacts facts, Time now, Effects &effects)
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
        budget.deposit();
    }
    scheduleAtHome(id, now, effects);
}

void Scheduler::Impl::scheduleAtHome(const RequestId &id, Time now, Effects &effects)
{
    auto &request = requests.at(id);
    const auto base = request.facts.target.base();
    const auto fingerprint = request.facts.fingerprint;
    if (quarantine.verdict(fingerprint, now) == Verdict::Quarantined) {
        reject(id, RejectReason::Quarantined, RunState::NotRun,
               quarantine.retryAfter(fingerprint, now), now, effects);
        return;
    }
    if (!homeAllowed(request.facts) || table.candidates(base).empty()) {
        if (!forward(request, now, effects)) {
            rejectWithoutEndpoint(id, now, effects);
        }
        return;
    }
    const auto queue = queues.find(base);
    if (dispatchesImmediately() || queue == queues.end() || queue->second.empty()) {
        if (const auto choice = chooseEndpoint(request, now)) {
            dispatch(request, *choice, false, now, effects);
            return;
        }
    }
    if (forward(request, now, effects)) {
        return;
    }
    const auto rejection =
        admission.check(request.facts, request.waiting, base, table.capacity(base), now);
    if (rejection) {
        reject(id, rejection->reason, RunState::NotRun, rejection->retryAfter, now, effects);
        return;
    }
    if (waitingRequests() >= options.queue.limit) {
        reject(id, RejectReason::Overloaded, RunState::NotRun, FailureRetryAfter, now, effects);
        return;
    }
    recordTrace(id, now, "waits for", toString(base), homeEstimate(request, now).expectedFirstToken,
                request.waiting.workTokens);
    enqueue(request, now);
    drain(base, now, effects);
}

void Scheduler::Impl::rejectWithoutEndpoint(const RequestId &id, Time now, Effects &effects)
{
    const auto &request = requests.at(id);
    if (!homeAllowed(request.facts)) {
        // An allowed region that rejected the request may have spare capacity later.
        const bool later = request.wasForwarded;
        reject(id, later ? RejectReason::Overloaded : RejectReason::Residency, RunState::NotRun,
               later ? FailureRetryAfter : Duration(0), now, effects);
        return;
    }
    // A retry may succeed if another region serves the target and only this instance's budget for
    // it is used up.
    const bool later = spill.servedInOtherRegion(request.facts, now);
    reject(id, later ? RejectReason::Overloaded : RejectReason::NoEndpoint, RunState::NotRun,
           admission.withJitter(later ? OtherRegionRetryAfter : NoEndpointRetryAfter), now,
           effects);
}

void Scheduler::Impl::drain(const Target &base, Time now, Effects &effects)
{
    const auto found = queues.find(base);
    if (found == queues.end()) {
        return;
    }
    while (serveNext(found->second, now, effects)) { }
}

bool Scheduler::Impl::serveNext(WaitQueue &queue, Time now, Effects &effects)
{
    const auto exceedsFairShare = [&](const CustomerName &customer) {
        return admission.exceedsFairShare(customer, now);
    };
    const auto turn = queue.next(now, exceedsFairShare);
    return std::any_of(turn.begin(), turn.end(),
                       [&](const RequestId &id) { return serve(id, queue, now, effects); });
}

/// Returns false if the request cannot be placed now.
bool Scheduler::Impl::serve(const RequestId &id, WaitQueue &queue, Time now, Effects &effects)
{
    auto &request = requests.at(id);
    const auto fingerprint = request.facts.fingerprint;
    const auto verdict = quarantine.verdict(fingerprint, now);
    if (verdict == Verdict::Quarantined) {
        reject(id, RejectReason::Quarantined, RunState::NotRun,
               quarantine.retryAfter(fingerprint, now), now, effects);
        return true;
    }
    const auto choice = chooseEndpoint(request, now);
    if (!choice && verdict == Verdict::Clear) {
        return false;
    }
    queue.recordServed(id);
    dequeue(request, now);
    if (choice) {
        dispatch(request, *choice, false, now, effects);
    } else {
        // A suspect that waits for an endpoint without other suspects does not block the queue.
        backOff(request, now + SuspectRetryInterval);
    }
    return true;
}

void Scheduler::Impl::drainAll(Time now, Effects &effects)
{
    for (const auto &[target, queue] : queues) {
        drain(target, now, effects);
    }
}

void Scheduler::Impl::cancelAttempts(RequestState &request, std::optional<EndpointHandle> except,
                                     Effects &effects)
{
    for (auto &entry : request.attempts) {
        if (entry.cancelSent || (except && entry.handle == *except)) {
            continue;
        }
        entry.cancelSent = true;
        effects.push_back(CancelOnEndpoint{request.facts.id, entry.endpoint});
    }
}

void Scheduler::Impl::cancel(const RequestId &id, Time now, Effects &effects)
{
    const auto found = requests.find(id);
    if (found == requests.end() || found->second.done) {
        return;
    }
    auto &request = found->second;
    recordTrace(id, now, "cancelled");
    switch (request.phase) {
    case Phase::Waiting:
    case Phase::BackingOff:
        dequeue(request, now);
        backingOff.erase({request.nextAttemptAt, id});
        requests.erase(found);
        effects.push_back(Drop{id});
        return;
    case Phase::Running:
        request.done = true;
        cancelAttempts(request, {}, effects);
        return;
    case Phase::Forwarded:
        request.done = true;
        effects.push_back(CancelOnEndpoint{id, EndpointId()});
        return;
    }
}

void Scheduler::Impl::firstToken(const RequestId &id, const EndpointId &endpoint, Time now,
                                 Effects &effects)
{
    const auto found = requests.find(id);
    if (found == requests.end()) {
        return;
    }
    auto &request = found->second;
    const auto entry =
        std::find_if(request.attempts.begin(), request.attempts.end(),
                     [&](const Attempt &candidate) { return candidate.endpoint == endpoint; });
    if (entry == request.attempts.end() || entry->firstToken) {
        return;
    }
    entry->firstToken = true;
    auto &state = table.at(entry->handle);
    state.load.firstToken(entry->prefillTokens);
    const auto took = now - entry->sentAt;
    ejection.succeeded(entry->handle, delayRatio(took, entry->expected), now);
    if (!entry->queuedForSlot) {
        state.limit.sample(delayRatio(took, entry->expected), state.load.inFlight(now));
    }
    recordTrace(id, now, "first token from", endpoint.text(), took);
    if (!request.done) {
        cancelAttempts(request, entry->handle, effects);
    }
}

void Scheduler::Impl::endpointDied(EndpointHandle handle, Time now)
{
    std::vector<std::uint64_t> fingerprints;
    for (const auto &id : requestsByEndpoint[handle]) {
        auto &request = requests.at(id);
        for (auto &entry : request.attempts) {
            if (entry.handle == handle && !entry.deathReported) {
                entry.deathReported = true;
                fingerprints.push_back(request.facts.fingerprint);
            }
        }
    }
    std::erase(fingerprints, 0U);
    quarantine.endpointDied(table.at(handle).facts.id, fingerprints, now);
    prefixes.forget(handle);
}

void Scheduler::Impl::releaseAttempt(RequestState &request, const Attempt &ended, Outcome outcome,
                                     Time now)
{
    auto &state = table.at(ended.handle);
    state.load.ended(!ended.firstToken, ended.prefillTokens, ended.sentAt, now);
    requestsByEndpoint[ended.handle].erase(request.facts.id);
    if (ended.countedAsSuspect) {
        quarantine.stopped(request.facts.fingerprint);
    }
    const double serviceSeconds = Common::toSeconds(now - ended.sentAt);
    state.meanServiceSeconds += LearningWeight * (serviceSeconds - state.meanServiceSeconds);
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
    const bool updatesOutputRatio = ended.firstToken && request.facts.expectedOutputTokens > 0;
    if (updatesOutputRatio && (outcome == Outcome::Completed || outcome == Outcome::Cancelled)) {
        auto &ratio = outputRatio.try_emplace(request.facts.target.base(), 1).first->second;
        const auto generated = static_cast<double>(request.generated)
                               / static_cast<double>(request.facts.expectedOutputTokens);
        ratio += LearningWeight * (std::min(1.0, generated) - ratio);
    }
}

void Scheduler::Impl::finished(const RequestId &id, const EndpointId &endpoint, Outcome outcome,
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
        std::find_if(request.attempts.begin(), request.attempts.end(),
                     [&](const Attempt &candidate) { return candidate.endpoint == endpoint; });
    if (entry == request.attempts.end()) {
        return;
    }
    if (outcome == Outcome::EndpointDied && !entry->deathReported) {
        endpointDied(entry->handle, now);
    }
    const Attempt ended = *entry;
    request.attempts.erase(entry);
    releaseAttempt(request, ended, outcome, now);
    recordTrace(id, now, "ended on", endpoint.text() + ": " + std::string(toString(outcome)));
    if (outcome == Outcome::Completed) {
        request.done = true;
        cancelAttempts(request, {}, effects);
    }
    if (request.attempts.empty()) {
        if (request.done || outcome == Outcome::Cancelled) {
            requests.erase(found);
        } else {
            request.mayHaveRun = request.mayHaveRun || outcome != Outcome::NotStarted;
            if (ended.firstToken && !request.facts.continuable) {
                request.facts.noRetry = true;
            }
            handleFailure(id, outcome, now, effects);
        }
    } else {
        request.mayHaveRun = request.mayHaveRun || outcome != Outcome::NotStarted;
    }
    for (const auto &target : table.at(ended.handle).facts.targets) {
        drain(target.base(), now, effects);
    }
}

void Scheduler::Impl::forwardEnded(const RequestId &id, Outcome outcome, Time now, Effects &effects)
{
    auto &request = requests.at(id);
    if (request.done || outcome == Outcome::Completed || outcome == Outcome::Cancelled) {
        requests.erase(id);
        return;
    }
    recordTrace(id, now, "forward ended:", std::string(toString(outcome)));
    request.mayHaveRun = outcome != Outcome::NotStarted;
    if (outcome == Outcome::NotStarted) {
        // The request was not started there and may not be forwarded again, so only home is left.
        scheduleAtHome(id, now, effects);
        return;
    }
    handleFailure(id, outcome, now, effects);
}

void Scheduler::Impl::handleFailure(const RequestId &id, Outcome outcome, Time now,
                                    Effects &effects)
{
    auto &request = requests.at(id);
    const auto base = request.facts.target.base();
    const auto fingerprint = request.facts.fingerprint;
    if (quarantine.verdict(fingerprint, now) == Verdict::Quarantined) {
        reject(id, RejectReason::Quarantined, runStateAfter(outcome),
               quarantine.retryAfter(fingerprint, now), now, effects);
        return;
    }
    const bool mayBeRetried = mayRetry(request.facts, outcome, false) && homeAllowed(request.facts)
                              && !table.candidates(base).empty();
    // Nothing has run and each endpoint is asked once. This costs the endpoints nothing and needs
    // no retry budget.
    if (mayBeRetried && outcome == Outcome::NotStarted && hasUntriedEndpoint(request)) {
        backOff(request, now);
        recordTrace(id, now, "not started, goes on to another endpoint");
        return;
    }
    const bool attemptsLeft = request.attemptCount < options.retry.maxAttempts;
    if (mayBeRetried && attemptsLeft && !mostEndpointsFailing(base) && budget.tryWithdraw()) {
        backOff(request, now + budget.backoff(request.attemptCount, random));
        recordTrace(id, now, "retries", {}, request.nextAttemptAt - now);
        return;
    }
    // Endpoints at home may report spare capacity and still not start requests, so that home looks
    // cheapest until the attempts are used up. Callers would get a 502 while other regions have
    // spare capacity. The rate limits of the routes still apply.
    const bool neverStarted = outcome == Outcome::NotStarted && !request.mayHaveRun;
    if (neverStarted && forward(request, HomeEstimate{true, {}}, now, effects)) {
        return;
    }
    const auto reason =
        outcome == Outcome::TimedOut ? RejectReason::TimedOut : RejectReason::Failed;
    reject(id, reason, runStateAfter(outcome), FailureRetryAfter, now, effects);
}

} // namespace LaburnumChute::Decisions
