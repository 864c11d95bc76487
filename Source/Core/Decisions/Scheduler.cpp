#include "Decisions/Scheduler.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace LaburnumChute::Decisions {

namespace {

constexpr std::int64_t AssumedBatchLimit = 8;

struct Endpoint
{
    EndpointFacts facts;
    LoadReport report;
    std::int64_t ownInFlight = 0;

    std::int64_t limit() const
    {
        return report.batchLimit > 0 ? report.batchLimit : AssumedBatchLimit;
    }
};

struct Request
{
    RequestFacts facts;
    EndpointId endpoint;
    bool forwarded = false;
    bool dispatched = false;
    bool cancelled = false;
    int attempts = 0;
};

bool contains(const std::vector<RegionName> &regions, const RegionName &region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

class Scheduler::Parts
{
public:
    Parts(SchedulerOptions schedulerOptions, InstanceId self, RegionName homeRegion,
          std::uint64_t seed)
        : options(schedulerOptions)
        , id(std::move(self))
        , home(std::move(homeRegion))
        , random(seed)
    {
    }

    bool serves(const Endpoint &endpoint, const Target &target) const
    {
        const auto &targets = endpoint.facts.targets;
        const bool named =
            std::find(targets.begin(), targets.end(), target.base()) != targets.end();
        return named && endpoint.facts.region == home && !endpoint.facts.leaving;
    }

    Endpoint *leastInFlight(const Target &target)
    {
        Endpoint *best = nullptr;
        for (auto &[endpointId, endpoint] : endpoints) {
            const bool usable = serves(endpoint, target) && endpoint.ownInFlight < endpoint.limit();
            if (usable && (best == nullptr || endpoint.ownInFlight < best->ownInFlight)) {
                best = &endpoint;
            }
        }
        return best;
    }

    bool hasEndpoint(const Target &target) const
    {
        return std::any_of(endpoints.begin(), endpoints.end(),
                           [&](const auto &entry) { return serves(entry.second, target); });
    }

    bool tryDispatch(Request &request, Effects &effects)
    {
        Endpoint *endpoint = leastInFlight(request.facts.target);
        if (endpoint == nullptr) {
            return false;
        }
        ++endpoint->ownInFlight;
        ++request.attempts;
        request.dispatched = true;
        request.endpoint = endpoint->facts.id;
        effects.push_back(Dispatch{request.facts.id, request.endpoint, request.attempts, false});
        return true;
    }

    void drainQueue(Effects &effects)
    {
        for (auto waiting = queue.begin(); waiting != queue.end();) {
            const bool sent = tryDispatch(requests.at(*waiting), effects);
            waiting = sent ? queue.erase(waiting) : std::next(waiting);
        }
    }

    void refuse(const RequestId &request, RefusalReason reason, RunState run, Effects &effects)
    {
        effects.push_back(Refuse{request, reason, run, seconds(1)});
        std::erase(queue, request);
        requests.erase(request);
    }

    SchedulerOptions options;
    InstanceId id;
    RegionName home;
    std::mt19937_64 random;
    std::map<EndpointId, Endpoint> endpoints;
    std::unordered_map<RequestId, Request> requests;
    std::deque<RequestId> queue;
};

Scheduler::Scheduler(SchedulerOptions options, InstanceId self, RegionName home, std::uint64_t seed)
    : parts_(std::make_unique<Parts>(options, std::move(self), std::move(home), seed))
{
}

Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

Effects Scheduler::submit(RequestFacts facts, Time now)
{
    Effects effects;
    if (facts.supersedes) {
        effects = cancel(*facts.supersedes, now);
    }
    const RequestId id = facts.id;
    auto &request = parts_->requests[id];
    request.facts = std::move(facts);
    if (!contains(request.facts.allowedRegions, parts_->home)) {
        parts_->refuse(id, RefusalReason::Residency, RunState::NotRun, effects);
    } else if (!parts_->hasEndpoint(request.facts.target)) {
        parts_->refuse(id, RefusalReason::NoEndpoint, RunState::NotRun, effects);
    } else if (!parts_->tryDispatch(request, effects)) {
        parts_->queue.push_back(id);
    }
    return effects;
}

Effects Scheduler::cancel(const RequestId &request, Time /*now*/)
{
    const auto found = parts_->requests.find(request);
    if (found == parts_->requests.end() || found->second.cancelled) {
        return {};
    }
    if (found->second.dispatched) {
        found->second.cancelled = true;
        return {CancelOnEndpoint{request, found->second.endpoint}};
    }
    std::erase(parts_->queue, request);
    parts_->requests.erase(found);
    return {Drop{request}};
}

Effects Scheduler::firstToken(const RequestId &, const EndpointId &, Time)
{
    return {};
}

Effects Scheduler::progress(const RequestId &, const EndpointId &, std::int64_t, Time)
{
    return {};
}

Effects Scheduler::finished(const RequestId &request, const EndpointId &endpoint, Outcome outcome,
                            Time /*now*/)
{
    const auto found = parts_->requests.find(request);
    if (found == parts_->requests.end()) {
        return {};
    }
    const auto state = parts_->endpoints.find(endpoint);
    if (state != parts_->endpoints.end()) {
        --state->second.ownInFlight;
    }
    Effects effects;
    auto &entry = found->second;
    const bool ended = outcome == Outcome::Completed || entry.cancelled;
    const bool again = outcome == Outcome::NotStarted && !entry.facts.noRetry
                       && entry.attempts < parts_->options.retry.maxAttempts;
    if (ended || outcome == Outcome::Cancelled) {
        parts_->requests.erase(found);
    } else if (again) {
        entry.dispatched = false;
        parts_->queue.push_front(request);
    } else {
        const auto run = outcome == Outcome::NotStarted ? RunState::NotRun : RunState::Unknown;
        parts_->refuse(request, RefusalReason::Failed, run, effects);
    }
    parts_->drainQueue(effects);
    return effects;
}

Effects Scheduler::updateEndpoints(const std::vector<EndpointFacts> &endpoints, Time /*now*/)
{
    std::map<EndpointId, Endpoint> next;
    for (const auto &facts : endpoints) {
        next[facts.id] = parts_->endpoints[facts.id];
        next[facts.id].facts = facts;
    }
    parts_->endpoints = std::move(next);
    Effects effects;
    parts_->drainQueue(effects);
    return effects;
}

Effects Scheduler::reportLoad(const EndpointId &endpoint, const LoadReport &report, Time /*now*/)
{
    const auto found = parts_->endpoints.find(endpoint);
    if (found != parts_->endpoints.end()) {
        found->second.report = report;
    }
    Effects effects;
    parts_->drainQueue(effects);
    return effects;
}

Effects Scheduler::cacheEvent(const EndpointId &, CacheOperation, std::uint64_t, std::int64_t, Time)
{
    return {};
}

Effects Scheduler::updateInstances(const std::vector<InstanceId> &, Time)
{
    return {};
}

Effects Scheduler::updateRegions(const std::vector<RegionSummary> &, Time)
{
    return {};
}

Effects Scheduler::updateLimits(const std::vector<CustomerLimit> &, Time)
{
    return {};
}

Effects Scheduler::tick(Time now)
{
    Effects effects;
    std::vector<RequestId> late;
    for (const auto &request : parts_->queue) {
        const auto &deadline = parts_->requests.at(request).facts.deadline;
        if (deadline && *deadline <= now) {
            late.push_back(request);
        }
    }
    for (const auto &request : late) {
        parts_->refuse(request, RefusalReason::DeadlineTooClose, RunState::NotRun, effects);
    }
    return effects;
}

void Scheduler::mergeSuspects(const std::vector<SuspectNotice> &, Time) { }

std::vector<SuspectNotice> Scheduler::suspectNotices(Time) const
{
    return {};
}

std::optional<Time> Scheduler::nextWakeup() const
{
    std::optional<Time> next;
    for (const auto &request : parts_->queue) {
        const auto &deadline = parts_->requests.at(request).facts.deadline;
        if (deadline && (!next || *deadline < *next)) {
            next = deadline;
        }
    }
    return next;
}

std::vector<RegionSummary> Scheduler::regionSummary(Time) const
{
    return {};
}

std::vector<TargetDemand> Scheduler::demand(Time) const
{
    return {};
}

nlohmann::json Scheduler::dump(Time) const
{
    return {{"instance", parts_->id.text()},
            {"region", parts_->home.text()},
            {"requests", parts_->requests.size()},
            {"queued", parts_->queue.size()}};
}

std::vector<std::string> Scheduler::explain(const RequestId &) const
{
    return {};
}

} // namespace LaburnumChute::Decisions
