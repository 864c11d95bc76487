// Periodic work of the scheduler: retries, hedges, expiry, forwarding of queued requests,
// evaluation of endpoints. Also contains the state dump.

#include <algorithm>

#include "Decisions/SchedulerImpl.h"

namespace LaburnumChute::Decisions {

namespace {

constexpr Duration EvaluationInterval = milliseconds(500);
/// While requests are queued, capacity can become available without an event: a slow start
/// proceeds, a report becomes stale.
constexpr Duration QueuePollInterval = milliseconds(20);
/// Number of the oldest queued requests of a target that are considered for forwarding in one tick.
constexpr std::size_t ForwardCandidatesPerTick = 8;

} // namespace

void Scheduler::Impl::tick(Time now, Effects &effects)
{
    sendDueRetries(now, effects);
    rejectExpired(now, effects);
    if (now >= nextEvaluationAt) {
        evaluateEndpoints(now);
        nextEvaluationAt = now + EvaluationInterval;
    }
    drainAll(now, effects);
    forwardOldest(now, effects);
    sendDueHedges(now, effects);
}

void Scheduler::Impl::sendDueRetries(Time now, Effects &effects)
{
    while (!backingOff.empty() && backingOff.begin()->first <= now) {
        const RequestId id = backingOff.begin()->second;
        backingOff.erase(backingOff.begin());
        auto &request = requests.at(id);
        const auto base = request.facts.target.base();
        const auto &deadline = request.facts.deadline;
        if (deadline && *deadline <= now) {
            reject(id, RejectReason::DeadlineTooClose, RunState::NotRun, Duration(0), now, effects);
        } else if (table.candidates(base).empty()) {
            reject(id, RejectReason::NoEndpoint, RunState::NotRun, seconds(1), now, effects);
        } else if (dispatchesImmediately()) {
            if (const auto choice = chooseEndpoint(request, now)) {
                dispatch(request, *choice, false, now, effects);
            } else {
                enqueue(request, now);
            }
        } else {
            enqueue(request, now);
        }
    }
}

void Scheduler::Impl::rejectExpired(Time now, Effects &effects)
{
    std::vector<RequestId> late;
    for (const auto &[target, queue] : queues) {
        const auto expired = queue.expired(now);
        late.insert(late.end(), expired.begin(), expired.end());
    }
    for (const auto &id : late) {
        reject(id, RejectReason::DeadlineTooClose, RunState::NotRun, Duration(0), now, effects);
    }
}

void Scheduler::Impl::evaluateEndpoints(Time now)
{
    for (const auto &[target, group] : table.targets()) {
        ejection.evaluate(group, now);
    }
    quarantine.expire(now);
}

void Scheduler::Impl::forwardOldest(Time now, Effects &effects)
{
    for (const auto &[target, queue] : queues) {
        for (const auto &id : queue.oldest(ForwardCandidatesPerTick)) {
            auto &request = requests.at(id);
            const auto waitedFor = now - request.submittedAt;
            const bool waitsLong = waitedFor > options.spill.threshold;
            if (waitsLong && !request.mayHaveRun && forward(request, now, effects)) {
                dequeue(request, now);
            }
        }
    }
}

void Scheduler::Impl::sendDueHedges(Time now, Effects &effects)
{
    while (!hedgeTimes.empty() && hedgeTimes.begin()->first <= now) {
        const RequestId id = hedgeTimes.begin()->second;
        hedgeTimes.erase(hedgeTimes.begin());
        const auto found = requests.find(id);
        if (found == requests.end()) {
            continue;
        }
        auto &request = found->second;
        const bool singlePendingAttempt = request.phase == Phase::Running
                                          && request.attempts.size() == 1
                                          && !request.attempts.front().firstToken;
        const auto verdict = quarantine.verdict(request.facts.fingerprint, now);
        const bool mayHedge =
            singlePendingAttempt && !request.done && !request.facts.noRetry
            && verdict == Verdict::Clear && request.attemptCount < options.retry.maxAttempts
            && !mostEndpointsFailing(request.facts.target.base()) && budget.available();
        if (!mayHedge) {
            continue;
        }
        const auto choice = chooseEndpoint(request, now, request.attempts.front().handle);
        if (choice && budget.tryWithdraw()) {
            dispatch(request, *choice, true, now, effects);
        }
    }
}

void Scheduler::Impl::endpointsChanged(const std::vector<EndpointFacts> &endpoints, Time now)
{
    for (const auto handle : table.update(endpoints, now)) {
        prefixes.forget(handle);
        ejection.forget(handle);
        requestsByEndpoint.erase(handle);
    }
}

std::optional<Time> Scheduler::Impl::nextWakeup() const
{
    std::optional<Time> next;
    const auto consider = [&next](Time time) { next = next ? std::min(*next, time) : time; };
    for (const auto &[target, queue] : queues) {
        if (!queue.empty()) {
            consider(lastNow + QueuePollInterval);
        }
        if (const auto deadline = queue.firstDeadline()) {
            consider(*deadline);
        }
    }
    if (!backingOff.empty()) {
        consider(backingOff.begin()->first);
    }
    if (!hedgeTimes.empty()) {
        consider(hedgeTimes.begin()->first);
    }
    if (!requests.empty()) {
        consider(std::max(nextEvaluationAt, lastNow));
    }
    return next;
}

nlohmann::json Scheduler::Impl::dump(Time now) const
{
    nlohmann::json endpoints = nlohmann::json::array();
    for (const auto handle : table.handles()) {
        const auto &state = table.at(handle);
        endpoints.push_back({{"id", state.facts.id.text()},
                             {"listed", state.listed},
                             {"leaving", state.facts.leaving},
                             {"reachable", state.reachable},
                             {"in_flight", state.load.inFlight(now)},
                             {"own_in_flight", state.load.ownInFlight()},
                             {"limit", table.limit(handle, now)},
                             {"health", ejection.dump(handle, now)}});
    }
    nlohmann::json waiting = nlohmann::json::object();
    for (const auto &[target, queue] : queues) {
        waiting[toString(target)] = {{"requests", queue.size()},
                                     {"overloaded", queue.overloaded(now)}};
    }
    return {{"instance", self.text()},
            {"region", home.text()},
            {"instances", table.instances()},
            {"requests", requests.size()},
            {"queues", waiting},
            {"admission", admission.dump(now)},
            {"endpoints", endpoints},
            {"retry_budget", budget.balance()},
            {"spill", spill.dump(now)},
            {"quarantine", quarantine.dump(now)},
            {"known_prefix_blocks", prefixes.size()}};
}

} // namespace LaburnumChute::Decisions
