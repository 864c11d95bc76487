// What the scheduler does as time passes: retries, hedges, expiry, spill of what waits, review of
// endpoints; and its dump.

#include <algorithm>

#include "Decisions/SchedulerParts.h"

namespace LaburnumChute::Decisions {

namespace {

constexpr Duration ReviewInterval = milliseconds(500);
/// While requests wait, room can appear without an event: a slow start goes on, a report ages.
constexpr Duration WaitingInterval = milliseconds(20);
/// Oldest waiting requests of a target that are offered to other regions in one tick.
constexpr std::size_t SpillEachTick = 8;

} // namespace

void Scheduler::Parts::tick(Time now, Effects &effects)
{
    retryDue(now, effects);
    refuseExpired(now, effects);
    if (now >= reviewAt) {
        review(now);
        reviewAt = now + ReviewInterval;
    }
    drainAll(now, effects);
    spillOldest(now, effects);
    hedgeDue(now, effects);
}

void Scheduler::Parts::retryDue(Time now, Effects &effects)
{
    while (!backingOff.empty() && backingOff.begin()->first <= now) {
        const RequestId id = backingOff.begin()->second;
        backingOff.erase(backingOff.begin());
        auto &request = requests.at(id);
        const auto base = request.facts.target.base();
        const auto &deadline = request.facts.deadline;
        if (deadline && *deadline <= now) {
            refuse(id, RejectReason::DeadlineTooClose, RunState::NotRun, Duration(0), now, effects);
        } else if (table.candidates(base).empty()) {
            refuse(id, RejectReason::NoEndpoint, RunState::NotRun, seconds(1), now, effects);
        } else if (sendsAtOnce()) {
            if (const auto placed = place(request, now)) {
                dispatch(request, *placed, false, now, effects);
            } else {
                enqueue(request, now);
            }
        } else {
            enqueue(request, now);
        }
    }
}

void Scheduler::Parts::refuseExpired(Time now, Effects &effects)
{
    std::vector<RequestId> late;
    for (const auto &[target, queue] : queues) {
        const auto expired = queue.expired(now);
        late.insert(late.end(), expired.begin(), expired.end());
    }
    for (const auto &id : late) {
        refuse(id, RejectReason::DeadlineTooClose, RunState::NotRun, Duration(0), now, effects);
    }
}

void Scheduler::Parts::review(Time now)
{
    for (const auto &[target, group] : table.targets()) {
        ejection.review(group, now);
    }
    quarantine.expire(now);
}

void Scheduler::Parts::spillOldest(Time now, Effects &effects)
{
    for (const auto &[target, queue] : queues) {
        for (const auto &id : queue.oldest(SpillEachTick)) {
            auto &request = requests.at(id);
            const auto waitedFor = now - request.submittedAt;
            const bool waitsLong = waitedFor > options.spill.threshold;
            if (waitsLong && !request.mayHaveRun && forward(request, now, effects)) {
                unqueue(request, now);
            }
        }
    }
}

void Scheduler::Parts::hedgeDue(Time now, Effects &effects)
{
    while (!hedgeAt.empty() && hedgeAt.begin()->first <= now) {
        const RequestId id = hedgeAt.begin()->second;
        hedgeAt.erase(hedgeAt.begin());
        const auto found = requests.find(id);
        if (found == requests.end()) {
            continue;
        }
        auto &request = found->second;
        const bool lone = request.phase == Phase::Running && request.tries.size() == 1
                          && !request.tries.front().firstToken;
        const auto verdict = quarantine.verdict(request.facts.fingerprint, now);
        const bool may = lone && !request.done && !request.facts.noRetry
                         && verdict == Verdict::Clear
                         && request.attempts < options.retry.maxAttempts
                         && !suffering(request.facts.target.base()) && budget.available();
        if (!may) {
            continue;
        }
        const auto placed = place(request, now, request.tries.front().handle);
        if (placed && budget.take()) {
            dispatch(request, *placed, true, now, effects);
        }
    }
}

void Scheduler::Parts::endpointsChanged(const std::vector<EndpointFacts> &endpoints, Time now)
{
    for (const auto handle : table.update(endpoints, now)) {
        prefixes.forget(handle);
        ejection.forget(handle);
        onSlot.erase(handle);
    }
}

std::optional<Time> Scheduler::Parts::nextWakeup() const
{
    std::optional<Time> next;
    const auto consider = [&next](Time time) { next = next ? std::min(*next, time) : time; };
    for (const auto &[target, queue] : queues) {
        if (!queue.empty()) {
            consider(lastNow + WaitingInterval);
        }
        if (const auto deadline = queue.firstDeadline()) {
            consider(*deadline);
        }
    }
    if (!backingOff.empty()) {
        consider(backingOff.begin()->first);
    }
    if (!hedgeAt.empty()) {
        consider(hedgeAt.begin()->first);
    }
    if (!requests.empty()) {
        consider(std::max(reviewAt, lastNow));
    }
    return next;
}

nlohmann::json Scheduler::Parts::dump(Time now) const
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
            {"retry_budget", budget.saved()},
            {"spill", spill.dump(now)},
            {"quarantine", quarantine.dump(now)},
            {"known_prefix_blocks", prefixes.size()}};
}

} // namespace LaburnumChute::Decisions
