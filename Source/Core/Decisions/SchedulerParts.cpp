#include "Decisions/SchedulerParts.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

constexpr Duration DemandWindow = seconds(5);
constexpr std::size_t DemandWindows = 60;
constexpr double AssumedPrefillRate = 5000;

} // namespace

Scheduler::Parts::Parts(const SchedulerOptions &schedulerOptions, InstanceId selfId,
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

bool Scheduler::Parts::sendsAtOnce() const
{
    return !std::holds_alternative<ExpectedCostPolicy>(options.routing.policy);
}

bool Scheduler::Parts::homeAllowed(const RequestFacts &facts) const
{
    const auto &allowed = facts.allowedRegions;
    return std::find(allowed.begin(), allowed.end(), home) != allowed.end();
}

bool Scheduler::Parts::suffering(const Target &base) const
{
    const double share = ejection.failingShare(table.candidates(base));
    return share > 0 && share >= options.retry.sufferingShare;
}

double Scheduler::Parts::prefillRate(const Target &base) const
{
    for (const auto handle : table.candidates(base)) {
        const double rate = table.at(handle).load.lastReport().prefillTokensPerSecond;
        if (rate > 0) {
            return rate;
        }
    }
    return AssumedPrefillRate;
}

double Scheduler::Parts::prefillWeight(const Target &base) const
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

double Scheduler::Parts::workTokens(const RequestFacts &facts) const
{
    const auto learned = outputRatio.find(facts.target.base());
    const double ratio = learned == outputRatio.end() ? 1 : learned->second;
    const double output = static_cast<double>(facts.expectedOutputTokens) * ratio;
    const double prompt = static_cast<double>(facts.promptTokens);
    return std::max(1.0, output + prompt * prefillWeight(facts.target.base()));
}

HomeOffer Scheduler::Parts::homeOffer(const RequestState &request, Time now) const
{
    const auto base = request.facts.target.base();
    if (table.candidates(base).empty()) {
        return {true, Duration(0)};
    }
    const auto wait =
        admission.expectedWait(base, request.waiting.priority, table.capacity(base), now);
    return {false, wait + request.waiting.firstTokenWork};
}

bool Scheduler::Parts::suspectMayUse(const RequestFacts &facts, EndpointHandle handle, Time now) const
{
    const auto fingerprint = facts.fingerprint;
    const bool lone = table.candidates(facts.target.base()).size() == 1;
    if (!lone && quarantine.diedOn(fingerprint, table.at(handle).facts.id)) {
        return false;
    }
    const auto found = onSlot.find(handle);
    if (found == onSlot.end()) {
        return true;
    }
    return std::none_of(found->second.begin(), found->second.end(), [&](const RequestId &other) {
        const auto &facts = requests.at(other).facts;
        return facts.fingerprint != fingerprint
               && quarantine.verdict(facts.fingerprint, now) != Verdict::Clear;
    });
}

/// Neither unreachable nor tried before by this request.
bool Scheduler::Parts::usable(const RequestState &request, EndpointHandle handle) const
{
    const auto &state = table.at(handle);
    const auto &tried = request.tried;
    return state.reachable && std::find(tried.begin(), tried.end(), state.facts.id) == tried.end();
}

bool Scheduler::Parts::untriedLeft(const RequestState &request) const
{
    const auto &handles = table.candidates(request.facts.target.base());
    return std::any_of(handles.begin(), handles.end(),
                       [&](EndpointHandle handle) { return usable(request, handle); });
}

std::optional<Placed> Scheduler::Parts::place(const RequestState &request, Time now,
                                              std::optional<EndpointHandle> except)
{
    const auto fingerprint = request.facts.fingerprint;
    const auto verdict = quarantine.verdict(fingerprint, now);
    if (verdict != Verdict::Clear && !quarantine.mayStart(fingerprint, now)) {
        return std::nullopt;
    }
    const bool apart = verdict == Verdict::Suspect;
    // A connection that was refused a moment ago will be refused again, and a dead endpoint looks
    // idle: without this it would draw work for as long as the ejection bound keeps it in.
    const bool untried = !request.tried.empty() && untriedLeft(request);
    const bool reachable = table.anyReachable(request.facts.target.base());
    const auto allowed = [&](EndpointHandle handle) {
        if (untried ? !usable(request, handle) : reachable && !table.at(handle).reachable) {
            return false;
        }
        return (!except || handle != *except) && (!apart || suspectMayUse(request.facts, handle, now));
    };
    const auto *policy = std::get_if<ExpectedCostPolicy>(&options.routing.policy);
    const bool mayHold = policy != nullptr && !except && request.facts.patience != Patience::Long
                         && now - request.submittedAt < policy->holdForBetter;
    return router.choose(request.facts, table, prefixes, ejection, now, allowed, mayHold);
}

void Scheduler::Parts::dispatch(RequestState &request, const Placed &placed, bool hedge, Time now,
                                Effects &effects)
{
    const RequestId &id = request.facts.id;
    auto &state = table.at(placed.handle);
    Try sent;
    sent.handle = placed.handle;
    sent.endpoint = state.facts.id;
    sent.sentAt = now;
    sent.prefillTokens = placed.prefillTokens;
    sent.expected = placed.expectedFirstToken;
    const auto batch = static_cast<double>(state.load.lastReport().batchLimit);
    sent.waitsForPlace = batch > 0 && state.load.inFlight(now) + 1 > batch;
    sent.hedge = hedge;
    sent.countedSuspect = quarantine.started(request.facts.fingerprint);

    state.load.sent(placed.prefillTokens, now);
    onSlot[placed.handle].insert(id);
    prefixes.stored(placed.handle, request.facts.prefixBlocks);
    admission.started(request.facts.customer, request.waiting.workTokens, now);
    request.phase = Phase::Running;
    request.tried.push_back(sent.endpoint);
    ++request.attempts;
    if (options.retry.hedgeAfter > 0 && request.facts.repeatable && !hedge) {
        const std::chrono::duration<double> late = sent.expected * options.retry.hedgeAfter;
        const auto wait =
            std::max(options.retry.hedgeMinimum, std::chrono::duration_cast<Duration>(late));
        hedgeAt.emplace(now + wait, id);
    }
    note(id, now, hedge ? "hedged on" : "sent to", sent.endpoint.text(), sent.expected,
         sent.prefillTokens);
    effects.push_back(Dispatch{id, sent.endpoint, request.attempts, hedge});
    request.tries.push_back(std::move(sent));
}

bool Scheduler::Parts::forward(RequestState &request, Time now, Effects &effects)
{
    return forward(request, homeOffer(request, now), now, effects);
}

bool Scheduler::Parts::forward(RequestState &request, const HomeOffer &offer, Time now,
                               Effects &effects)
{
    if (request.wasForwarded) {
        return false;
    }
    const auto region = homeAllowed(request.facts)
                            ? spill.choose(request.facts, offer, request.waiting.workTokens, now)
                            : spill.mandatory(request.facts, now);
    if (!region) {
        return false;
    }
    request.phase = Phase::Forwarded;
    request.wasForwarded = true;
    note(request.facts.id, now, "forwarded to", region->text(), offer.expectedFirstToken,
         request.waiting.workTokens);
    effects.push_back(Forward{request.facts.id, *region});
    return true;
}

void Scheduler::Parts::enqueue(RequestState &request, Time now)
{
    const auto base = request.facts.target.base();
    request.phase = Phase::Waiting;
    queues.try_emplace(base, options.queue).first->second.push(request.waiting);
    admission.entered(base, request.waiting, now);
}

void Scheduler::Parts::unqueue(const RequestState &request, Time now)
{
    const auto base = request.facts.target.base();
    const auto queue = queues.find(base);
    if (queue == queues.end()) {
        return;
    }
    const auto waiting = queue->second.remove(request.facts.id);
    if (waiting) {
        admission.left(base, *waiting, now);
    }
}

void Scheduler::Parts::backOff(RequestState &request, Time until)
{
    request.phase = Phase::BackingOff;
    request.nextTryAt = until;
    backingOff.emplace(until, request.facts.id);
}

void Scheduler::Parts::refuse(const RequestId &id, RejectReason reason, RunState run,
                              Duration retryAfter, Time now, Effects &effects)
{
    const auto found = requests.find(id);
    // "Not run" is a promise to the caller: one earlier try whose end is unknown breaks it.
    const auto claim =
        found->second.mayHaveRun && run == RunState::NotRun ? RunState::Unknown : run;
    note(id, now, "refused:", std::string(toString(reason)), retryAfter);
    effects.push_back(Reject{id, reason, claim, retryAfter});
    unqueue(found->second, now);
    backingOff.erase({found->second.nextTryAt, id});
    requests.erase(found);
}

void Scheduler::Parts::note(const RequestId &id, Time now, const char *what, std::string subject,
                            Duration expected, double tokens)
{
    trace.add(id, {now, what, std::move(subject), expected, tokens});
}

std::size_t Scheduler::Parts::waitingRequests() const
{
    std::size_t sum = backingOff.size();
    for (const auto &[target, queue] : queues) {
        sum += queue.size();
    }
    return sum;
}

} // namespace LaburnumChute::Decisions
