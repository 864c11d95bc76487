#include <algorithm>

#include "Dispatch/Scheduler.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Tries beside the runs that a route allows: endpoints that do not take a request cost little.
constexpr int SpareTries = 2;

} // namespace

bool Scheduler::maySend(CallId id) const
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.endpoint.empty()) {
        return true;
    }
    const auto *endpoint = book_.find(found->second.endpoint);
    return endpoint != nullptr && !endpoint->listed.leaving && !endpoint->evacuated;
}

// What tries tell of endpoints.

void Scheduler::answering(CallId id, Time now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.answering) {
        return;
    }
    auto &call = found->second;
    call.answering = true;
    auto *endpoint = book_.find(call.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    const auto took = now - call.sentAt;
    // Short prompts may be read before longer ones that came first.
    std::optional<ReadingSpan> busy;
    if (call.prefillTokens >= options_.noticeTokens) {
        busy = endpoint->reading.readUpTo(call.sentAt, now);
    } else {
        endpoint->reading.remove(call.sentAt, now);
    }
    const auto *service = book_.service(call.facts.service);
    if (service == nullptr || !service->engine) {
        return;
    }
    auto &engine = book_.engine(call.facts.service);
    if (call.aloneAtSend) {
        engine.sample(call.prefillTokens, took);
    } else if (busy) {
        // An engine that is never idle is never seen to read a prompt alone: were its speed not
        // learnt from how prompts follow each other, one slower than expected would be taken to
        // have read what it was sent long ago, and get more without end.
        engine.sampleBusy(busy->expected, busy->took);
    }
    health_.noteFirstEvent(*endpoint, call, took);
}

void Scheduler::progressed(CallId id, int events, Duration pause, Time now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    auto &call = found->second;
    call.events += events;
    if (auto *endpoint = book_.find(call.endpoint)) {
        auto &engine = book_.engine(call.facts.service);
        endpoint->pace.seen(events, pause, now);
        engine.paceSeen(endpoint->pace.pause(engine.fastestPause(), now));
    }
}

void Scheduler::leaveEndpoint(Call &call, AttemptOutcome outcome, Time now)
{
    auto *endpoint = book_.find(call.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    endpoint->own = std::max(0, endpoint->own - 1);
    if (!call.answering) {
        endpoint->reading.remove(call.sentAt, now);
    }
    health_.noteOutcome(*endpoint, call, outcome, now);
}

Effects Scheduler::ended(CallId id, AttemptOutcome outcome, bool mayGoOn, Time now)
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
    if (outcome == AttemptOutcome::Completed && call.facts.kind == RequestKind::Stream) {
        book_.engine(call.facts.service).answerSeen(call.facts.outputTokens, call.events);
    }
    const bool over = call.withdrawn || outcome == AttemptOutcome::Completed
                      || outcome == AttemptOutcome::Cancelled;
    if (over) {
        calls_.erase(found);
        pump(now, effects);
        return effects;
    }
    auto &budgetOfService = budget(call.facts.service);
    const bool unsent = outcome == AttemptOutcome::NotConnected;
    const bool notRun = unsent || outcome == AttemptOutcome::NotRun;
    if (!notRun) {
        // Another instance may have used all tries that the route allows; how many, a broken
        // connection does not tell.
        call.runs = atEndpoint ? call.runs + 1 : std::max(call.runs + 1, call.facts.maxRuns);
    }
    const bool triesLeft = call.tries < call.facts.maxRuns + SpareTries;
    const bool allowed =
        notRun ? triesLeft : call.facts.repeatable && call.runs < call.facts.maxRuns;
    const bool again =
        mayGoOn && allowed && now < call.facts.deadline && (unsent || budgetOfService.take(now));
    const auto &usable = book_.usable(call.facts.service);
    const bool allTried = std::all_of(usable.begin(), usable.end(), [&](const auto *endpoint) {
        return contains(call.tried, endpoint->listed.record.id);
    });
    if (again && allTried && !notRun) {
        // There is no other endpoint: one that answers with errors now and then is tried again.
        call.tried.clear();
    }
    // When every endpoint has turned it away, nothing changes while it waits.
    const bool mayWait = !(allTried && notRun);
    if (again) {
        place(call, mayWait, now, effects);
    } else if (call.runs == 0) {
        reject(call, RejectReason::TriesUsed, bestWait(call, now), now, effects);
    } else {
        fail(call, effects);
    }
    pump(now, effects);
    return effects;
}

void Scheduler::takeBackSilent(Time now, Effects &effects)
{
    for (auto &[id, call] : calls_) {
        // The instance of another region looks after a forwarded request by itself. Taken back from
        // it, just as it has found another endpoint, the request would be lost.
        const bool here = !call.endpoint.empty();
        const bool waits = here && !call.queued && !call.answering && !call.takenBack
                           && !call.withdrawn && call.tries > 0;
        const bool may = waits && call.facts.repeatable && call.runs + 1 < call.facts.maxRuns;
        if (!may) {
            continue;
        }
        const auto patience = std::max<Duration>(options_.silenceFloor,
                                                 scaled(call.expected, options_.silenceFactor));
        if (now - call.sentAt > patience && budget(call.facts.service).available(now)) {
            call.takenBack = true;
            effects.push_back(CancelAttempt{id});
        }
    }
}

} // namespace LaburnumChute::Dispatch
