#include <algorithm>

#include "Dispatch/Scheduler.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Minimum time between the end of a request's wait in the queue and its deadline.
constexpr milliseconds DeadlineMargin{60};

} // namespace

// Waiting times and queue order.

Duration Scheduler::meanHoldTime(const ServiceName &service) const
{
    const auto &endpoints = table_.usable(service);
    Duration holdTime{0};
    for (const auto *endpoint : endpoints) {
        holdTime += endpoint->holdTime / static_cast<int>(endpoints.size());
    }
    return holdTime;
}

Duration Scheduler::workOf(const CallFacts &facts, Duration meanHoldTime)
{
    const auto *service = table_.service(facts.service);
    const bool engine = service != nullptr && service->engine.has_value();
    return engine ? table_.engine(facts.service).prefillTime(facts.promptTokens) : meanHoldTime;
}

WaitingWork Scheduler::backlog(const ServiceName &service)
{
    const auto holdTime = meanHoldTime(service);
    WaitingWork backlog;
    for (const auto &[key, id] : queue_) {
        const auto &facts = calls_.at(id).facts;
        if (facts.service == service) {
            backlog.work += workOf(facts, holdTime);
            ++backlog.calls;
        }
    }
    return backlog;
}

Scheduler::Capacity Scheduler::capacity(const ServiceName &service, Time now)
{
    const auto *traits = table_.service(service);
    const bool engine = traits != nullptr && traits->engine.has_value();
    Capacity capacity;
    std::optional<Duration> shortest;
    for (const auto *endpoint : table_.usable(service)) {
        const auto &limit = endpoint->limit;
        const double slots = endpoint->listed.record.slots;
        const auto delay =
            engine ? placement_.engineWait(*endpoint, now) : placement_.plainWait(*endpoint, now);
        const auto rest = endpoint->rest.left(now);
        const auto wait = std::max({delay, limit.wait(now), rest});
        shortest = shortest ? std::min(*shortest, wait) : wait;
        if (rest > Duration(0)) {
            continue;
        }
        // Slots are scaled by the ratio of the limited rate to the unlimited one.
        const auto modelled = engine && endpoint->reportedLoad.known()
                                  ? Common::toSeconds(table_.engine(service).holdTime())
                                  : 0;
        const double hold = modelled > 0 ? modelled : endpoint->holdSeconds();
        const double usualRate = slots / hold;
        const double fraction = usualRate > 0 ? endpoint->cappedRate(usualRate) / usualRate : 1;
        const double speed = 1 / endpoint->workFactor(now);
        capacity.parallelism += (engine ? 1 : slots) * fraction * speed;
        // The rate at which a rate-limited endpoint accepts requests does not depend on how many it
        // is running.
        const double busy = limit.limited() ? slots : std::min<double>(endpoint->load(), slots);
        capacity.freedPerSecond += endpoint->cappedRate(speed * busy / hold);
    }
    capacity.shortestWait = shortest.value_or(Duration(0));
    capacity.others = table_.waitingAtOthers(service);
    return capacity;
}

Duration Scheduler::backlogWait(const Capacity &capacity, const WaitingWork &ahead)
{
    return scaled(ahead.work + capacity.others.work, 1 / std::max(1.0, capacity.parallelism));
}

Duration Scheduler::waitBehind(const Capacity &capacity, const WaitingWork &ahead,
                               bool slotAvailable)
{
    const auto wait = capacity.shortestWait + backlogWait(capacity, ahead);
    if (slotAvailable || capacity.freedPerSecond <= 0) {
        return wait;
    }
    const double before = ahead.calls + capacity.others.calls;
    const std::chrono::duration<double> slotWait((before + 1) / capacity.freedPerSecond);
    return std::max(wait, std::chrono::duration_cast<Duration>(slotWait));
}

Duration Scheduler::expectedWait(const Call &call, Time now)
{
    const auto &service = call.facts.service;
    const bool slotAvailable = placement_.choose(call, now).has_value();
    return waitBehind(capacity(service, now), backlog(service), slotAvailable);
}

void Scheduler::enqueue(Call &call)
{
    const auto key = call.facts.arrivedAt + call.facts.priority * options_.priorityStep;
    call.queued = true;
    queuePositions_[call.facts.id] = queue_.emplace(key, call.facts.id);
}

void Scheduler::dequeue(Call &call)
{
    const auto found = queuePositions_.find(call.facts.id);
    if (found != queuePositions_.end()) {
        queue_.erase(found->second);
        queuePositions_.erase(found);
    }
    call.queued = false;
}

Duration Scheduler::timeToFirstEvent(const Call &call, const std::optional<Candidate> &candidate)
{
    if (candidate) {
        return candidate->expected - candidate->wait + candidate->slowdown;
    }
    const auto &facts = call.facts;
    const auto *service = table_.service(facts.service);
    if (service == nullptr || !service->engine) {
        return meanHoldTime(facts.service);
    }
    // Shared parts may be cached on the endpoint that the request is sent to.
    const auto tokens = facts.parts.empty() ? facts.promptTokens : facts.parts.back().tokens;
    return options_.firstEventFloor + table_.engine(facts.service).busyPrefillTime(tokens);
}

/// A request that would be late is rejected at once: it can be retried when there is spare
/// capacity, or be sent elsewhere, and it would delay the requests behind it. A request that would
/// be late even on an idle endpoint is judged by its wait alone; otherwise the largest would never
/// be served.
bool Scheduler::cannotMeetObjective(const Call &call, const std::optional<Candidate> &candidate,
                                    Duration wait, Time now)
{
    const auto &facts = call.facts;
    const auto until = std::min<Time>(facts.objectiveAt, facts.deadline - DeadlineMargin);
    const auto ownTime = timeToFirstEvent(call, candidate);
    const bool lateAnywhere = ownTime > facts.objectiveAt - facts.arrivedAt;
    return wait + (lateAnywhere ? Duration(0) : ownTime) > until - now;
}

void Scheduler::dispatchQueue(Time now, Effects &effects)
{
    struct ServiceQueue
    {
        Capacity capacity;
        Duration meanHoldTime{0};
        WaitingWork ahead;
        std::size_t notSent = 0;
    };
    if (queue_.empty()) {
        return;
    }
    table_.refreshLoad(now);
    std::map<ServiceName, ServiceQueue> serviceQueues;
    std::vector<CallId> order;
    order.reserve(queue_.size());
    for (const auto &[key, id] : queue_) {
        order.push_back(id);
    }
    for (const auto id : order) {
        auto &call = calls_.at(id);
        const auto service = call.facts.service;
        if (table_.usable(service).empty()) {
            dequeue(call);
            place(call, false, now, effects);
            continue;
        }
        if (rejectIfSuspected(call, now, effects)) {
            continue;
        }
        const auto [entry, isNew] = serviceQueues.try_emplace(service);
        auto &serviceQueue = entry->second;
        if (isNew) {
            serviceQueue.capacity = capacity(service, now);
            serviceQueue.meanHoldTime = meanHoldTime(service);
        }
        const bool withinLookAhead = serviceQueue.notSent < options_.lookAhead;
        const auto candidate = withinLookAhead ? chooseEndpoint(call, now) : std::nullopt;
        const bool sent = candidate && placement_.shouldSend(call, *candidate, now)
                          && send(call, *candidate, now, effects);
        if (sent || (table_.unreachable(service) && forwardUnreachable(call, now, effects))) {
            continue;
        }
        const auto wait =
            waitBehind(serviceQueue.capacity, serviceQueue.ahead, candidate.has_value());
        if (withinLookAhead && forwardIfBetter(call, wait, now, effects)) {
            continue;
        }
        if (cannotMeetObjective(call, candidate, wait, now)) {
            reject(call, RejectReason::Overloaded, wait, now, effects);
            continue;
        }
        ++serviceQueue.notSent;
        serviceQueue.ahead.work += workOf(call.facts, serviceQueue.meanHoldTime);
        ++serviceQueue.ahead.calls;
    }
}

} // namespace LaburnumChute::Dispatch
