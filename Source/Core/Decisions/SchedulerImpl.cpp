#include "Decisions/SchedulerImpl.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

constexpr Duration DemandWindow = seconds(5);
constexpr std::size_t DemandWindows = 60;
constexpr double DefaultPrefillRate = 5000;

} // namespace

Scheduler::Impl::Impl(const SchedulerOptions &schedulerOptions, InstanceId selfId,
                      RegionName homeRegion, std::uint64_t seed)
    : options(schedulerOptions)
    , self(std::move(selfId))
    , home(std::move(homeRegion))
    , random(seed)
    , table(options.routing, options.concurrency, self, home)
    , prefixes(options.routing.prefixEntries)
    , ejection(options.ejection)
    , quarantine(options.quarantine)
    , router(options.routing, seed + 1)
    , admission(options.admission, seed + 2)
    , spill(options.spill, home)
    , budget(options.retry)
    , demand(DemandWindow, DemandWindows)
    , trace(options.trace)
{
}

bool Scheduler::Impl::dispatchesImmediately() const
{
    return !std::holds_alternative<ExpectedCostPolicy>(options.routing.policy);
}

bool Scheduler::Impl::homeAllowed(const RequestFacts &facts) const
{
    const auto &allowed = facts.allowedRegions;
    return std::find(allowed.begin(), allowed.end(), home) != allowed.end();
}

bool Scheduler::Impl::mostEndpointsFailing(const Target &base) const
{
    const double failing = ejection.failingFraction(table.candidates(base));
    return failing > 0 && failing >= options.retry.maxFailingFraction;
}

double Scheduler::Impl::prefillRate(const Target &base) const
{
    for (const auto handle : table.candidates(base)) {
        const double rate = table.at(handle).load.lastReport().prefillTokensPerSecond;
        if (rate > 0) {
            return rate;
        }
    }
    return DefaultPrefillRate;
}

double Scheduler::Impl::prefillWeight(const Target &base) const
{
    for (const auto handle : table.candidates(base)) {
        const double decode = table.tokensPerSecond(handle);
        const double prefill = table.at(handle).load.lastReport().prefillTokensPerSecond;
        if (decode > 0 && prefill > 0) {
            return std::clamp(decode / prefill, 0.001, 1.0);
        }
    }
    return options.admission.prefillTokenWeight;
}

double Scheduler::Impl::workTokens(const RequestFacts &facts) const
{
    const auto learned = outputRatio.find(facts.target.base());
    const double ratio = learned == outputRatio.end() ? 1 : learned->second;
    const double output = static_cast<double>(facts.expectedOutputTokens) * ratio;
    const double prompt = static_cast<double>(facts.promptTokens);
    return std::max(1.0, output + prompt * prefillWeight(facts.target.base()));
}

HomeEstimate Scheduler::Impl::homeEstimate(const RequestState &request, Time now) const
{
    const auto base = request.facts.target.base();
    if (table.candidates(base).empty()) {
        return {true, Duration(0)};
    }
    const auto wait =
        admission.expectedWait(base, request.waiting.priority, table.capacity(base), now);
    return {false, wait + request.waiting.firstTokenWork};
}

bool Scheduler::Impl::suspectMayUse(const RequestFacts &facts, EndpointHandle handle,
                                    Time now) const
{
    const auto fingerprint = facts.fingerprint;
    const bool onlyCandidate = table.candidates(facts.target.base()).size() == 1;
    if (!onlyCandidate && quarantine.diedOn(fingerprint, table.at(handle).facts.id)) {
        return false;
    }
    const auto found = requestsByEndpoint.find(handle);
    if (found == requestsByEndpoint.end()) {
        return true;
    }
    return std::none_of(found->second.begin(), found->second.end(), [&](const RequestId &other) {
        const auto &facts = requests.at(other).facts;
        return facts.fingerprint != fingerprint
               && quarantine.verdict(facts.fingerprint, now) != Verdict::Clear;
    });
}

/// Whether the endpoint is reachable and the request was not sent there before.
bool Scheduler::Impl::usable(const RequestState &request, EndpointHandle handle) const
{
    const auto &state = table.at(handle);
    const auto &triedEndpoints = request.triedEndpoints;
    return state.reachable
           && std::find(triedEndpoints.begin(), triedEndpoints.end(), state.facts.id)
                  == triedEndpoints.end();
}

bool Scheduler::Impl::hasUntriedEndpoint(const RequestState &request) const
{
    const auto &handles = table.candidates(request.facts.target.base());
    return std::any_of(handles.begin(), handles.end(),
                       [&](EndpointHandle handle) { return usable(request, handle); });
}

std::optional<EndpointChoice> Scheduler::Impl::chooseEndpoint(const RequestState &request, Time now,
                                                              std::optional<EndpointHandle> except)
{
    const auto fingerprint = request.facts.fingerprint;
    const auto verdict = quarantine.verdict(fingerprint, now);
    if (verdict != Verdict::Clear && !quarantine.mayStart(fingerprint, now)) {
        return std::nullopt;
    }
    const bool mustRunIsolated = verdict == Verdict::Suspect;
    // An endpoint that refused a connection will probably refuse the next one, and a dead endpoint
    // looks idle: without this rule it would attract requests until it is ejected.
    const bool untried = !request.triedEndpoints.empty() && hasUntriedEndpoint(request);
    const bool reachable = table.anyReachable(request.facts.target.base());
    const auto allowed = [&](EndpointHandle handle) {
        if (untried ? !usable(request, handle) : reachable && !table.at(handle).reachable) {
            return false;
        }
        return (!except || handle != *except)
               && (!mustRunIsolated || suspectMayUse(request.facts, handle, now));
    };
    const auto *policy = std::get_if<ExpectedCostPolicy>(&options.routing.policy);
    const bool mayWaitForBetter = policy != nullptr && !except
                                  && request.facts.patience != Patience::Long
                                  && now - request.submittedAt < policy->maxWaitForBetter;
    return router.choose(request.facts, table, prefixes, ejection, now, allowed, mayWaitForBetter);
}

void Scheduler::Impl::dispatch(RequestState &request, const EndpointChoice &choice, bool hedge,
                               Time now, Effects &effects)
{
    const RequestId &id = request.facts.id;
    auto &state = table.at(choice.handle);
    Attempt sent;
    sent.handle = choice.handle;
    sent.endpoint = state.facts.id;
    sent.sentAt = now;
    sent.prefillTokens = choice.prefillTokens;
    sent.expected = choice.expectedFirstToken;
    const auto batch = static_cast<double>(state.load.lastReport().batchLimit);
    sent.queuedForSlot = batch > 0 && state.load.inFlight(now) + 1 > batch;
    sent.hedge = hedge;
    sent.countedAsSuspect = quarantine.started(request.facts.fingerprint);

    state.load.sent(choice.prefillTokens, now);
    requestsByEndpoint[choice.handle].insert(id);
    prefixes.stored(choice.handle, request.facts.prefixBlocks);
    admission.dispatched(request.facts.customer, request.waiting.workTokens, now);
    request.phase = Phase::Running;
    request.triedEndpoints.push_back(sent.endpoint);
    ++request.attemptCount;
    if (options.retry.hedgeAfter > 0 && request.facts.repeatable && !hedge) {
        const std::chrono::duration<double> late = sent.expected * options.retry.hedgeAfter;
        const auto wait =
            std::max(options.retry.hedgeMinimum, std::chrono::duration_cast<Duration>(late));
        hedgeTimes.emplace(now + wait, id);
    }
    recordTrace(id, now, hedge ? "hedged on" : "sent to", sent.endpoint.text(), sent.expected,
                sent.prefillTokens);
    effects.push_back(Dispatch{id, sent.endpoint, request.attemptCount, hedge});
    request.attempts.push_back(std::move(sent));
}

bool Scheduler::Impl::forward(RequestState &request, Time now, Effects &effects)
{
    return forward(request, homeEstimate(request, now), now, effects);
}

bool Scheduler::Impl::forward(RequestState &request, const HomeEstimate &estimate, Time now,
                              Effects &effects)
{
    if (request.wasForwarded) {
        return false;
    }
    const auto region = homeAllowed(request.facts)
                            ? spill.choose(request.facts, estimate, request.waiting.workTokens, now)
                            : spill.requiredRegion(request.facts, now);
    if (!region) {
        return false;
    }
    request.phase = Phase::Forwarded;
    request.wasForwarded = true;
    recordTrace(request.facts.id, now, "forwarded to", region->text(), estimate.expectedFirstToken,
                request.waiting.workTokens);
    effects.push_back(Forward{request.facts.id, *region});
    return true;
}

void Scheduler::Impl::enqueue(RequestState &request, Time now)
{
    const auto base = request.facts.target.base();
    request.phase = Phase::Waiting;
    queues.try_emplace(base, options.queue).first->second.push(request.waiting);
    admission.enqueued(base, request.waiting, now);
}

void Scheduler::Impl::dequeue(const RequestState &request, Time now)
{
    const auto base = request.facts.target.base();
    const auto queue = queues.find(base);
    if (queue == queues.end()) {
        return;
    }
    const auto waiting = queue->second.remove(request.facts.id);
    if (waiting) {
        admission.dequeued(base, *waiting, now);
    }
}

void Scheduler::Impl::backOff(RequestState &request, Time until)
{
    request.phase = Phase::BackingOff;
    request.nextAttemptAt = until;
    backingOff.emplace(until, request.facts.id);
}

void Scheduler::Impl::reject(const RequestId &id, RejectReason reason, RunState run,
                             Duration retryAfter, Time now, Effects &effects)
{
    const auto found = requests.find(id);
    // "Not run" is a guarantee to the caller; it does not hold if the end of an earlier attempt is
    // unknown.
    const auto reportedRun =
        found->second.mayHaveRun && run == RunState::NotRun ? RunState::Unknown : run;
    recordTrace(id, now, "refused:", std::string(toString(reason)), retryAfter);
    effects.push_back(Reject{id, reason, reportedRun, retryAfter});
    dequeue(found->second, now);
    backingOff.erase({found->second.nextAttemptAt, id});
    requests.erase(found);
}

void Scheduler::Impl::recordTrace(const RequestId &id, Time now, const char *decision,
                                  std::string subject, Duration expected, double tokens)
{
    trace.add(id, {now, decision, std::move(subject), expected, tokens});
}

std::size_t Scheduler::Impl::waitingRequests() const
{
    std::size_t sum = backingOff.size();
    for (const auto &[target, queue] : queues) {
        sum += queue.size();
    }
    return sum;
}

} // namespace LaburnumChute::Decisions
