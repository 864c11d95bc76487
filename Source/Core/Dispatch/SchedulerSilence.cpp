#include <algorithm>

#include "Dispatch/Scheduler.h"
#include "Dispatch/Silence.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Searches for a replacement in one tick. Each visits all endpoints of a service; more would hold
/// up the event loop while many requests wait.
constexpr std::size_t MaxSearches = 16;

} // namespace

void Scheduler::received(CallId id, Time now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    found->second.lastEventAt = now;
    if (auto *endpoint = table_.find(found->second.endpoint)) {
        hear(*endpoint, now);
    }
}

void Scheduler::readingPaused(CallId id, bool paused, Time now)
{
    const auto found = calls_.find(id);
    if (found != calls_.end()) {
        found->second.readingPaused = paused;
        found->second.lastEventAt = now;
        found->second.readingResumedAt = now;
    }
}

std::vector<SilenceChange> Scheduler::takeSilenceChanges()
{
    return std::exchange(silenceChanges_, {});
}

void Scheduler::hear(EndpointState &endpoint, Time now)
{
    if (endpoint.silentSince) {
        silenceChanges_.push_back({endpoint.listed.record.id, false, endpoint.silence(now)});
    }
    endpoint.heard(now);
}

void Scheduler::markSilence(const Call &call, Time now)
{
    auto *endpoint = table_.find(call.endpoint);
    if (endpoint == nullptr || endpoint->silentSince) {
        return;
    }
    const auto waitsSince = call.answering ? call.lastEventAt : call.sentAt;
    const auto quietSince = std::max(waitsSince, endpoint->heardAt);
    if (now - quietSince > overdueAfter(call, options_, endpoint->workFactor(now))) {
        endpoint->silentSince = quietSince;
        silenceChanges_.push_back({endpoint->listed.record.id, true, endpoint->silence(now)});
    }
}

bool Scheduler::awaitsEndpoint(const Call &call)
{
    return !call.endpoint.empty() && !call.queued && !call.attemptCancelled && !call.withdrawn
           && !call.readingPaused && call.attempts > 0;
}

bool Scheduler::mayReplace(const Call &call, Time now)
{
    const bool mayRepeat = call.facts.repeatable && call.runs + 1 < call.facts.maxRuns;
    if (!mayRepeat || !budget(call.facts.service).available(now)
        || crashes_.rejection(call.keys, true, now) || !usableAtHome(call.facts)) {
        return false;
    }
    const auto candidate = chooseEndpoint(call, now);
    return candidate && !candidate->endpoint->silentSince
           && now + candidate->expected < call.facts.deadline;
}

bool Scheduler::confirmCancel(CallId id, Time now)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return false;
    }
    auto &call = found->second;
    call.attemptCancelled = mayReplace(call, now);
    return call.attemptCancelled;
}

void Scheduler::watchSilence(Time now, Effects &effects)
{
    std::vector<Call *> due;
    for (auto &[id, call] : calls_) {
        // The instance that a request was forwarded to watches over it.
        if (!awaitsEndpoint(call)) {
            continue;
        }
        markSilence(call, now);
        const auto *endpoint = table_.find(call.endpoint);
        const double workFactor = endpoint != nullptr ? endpoint->workFactor(now) : 1;
        if (call.facts.repeatable && now >= replacementTime(call, options_, workFactor)) {
            due.push_back(&call);
        }
    }
    std::sort(due.begin(), due.end(), [](const Call *left, const Call *right) {
        return std::pair(left->examinedAt, left->facts.id)
               < std::pair(right->examinedAt, right->facts.id);
    });
    due.resize(std::min(due.size(), MaxSearches));
    for (auto *call : due) {
        call->examinedAt = now;
        call->attemptCancelled = mayReplace(*call, now);
        if (call->attemptCancelled) {
            effects.push_back(CancelAttempt{call->facts.id});
        }
    }
}

} // namespace LaburnumChute::Dispatch
