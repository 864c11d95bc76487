#include "Dispatch/Scheduler.h"

#include <algorithm>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// An endpoint that is being replaced returns within a few seconds.
constexpr milliseconds NoEndpointRetryAfter{700};
/// Within this time after the start of a process, it receives load reports of all regions that can
/// be reached.
constexpr milliseconds RegionsKnownAfter{1500};
/// Interval between checks for suspected endpoints that are not listed any more.
constexpr milliseconds ListCheckInterval{100};

} // namespace

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        return "completed";
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::Cancelled:
        return "cancelled";
    case AttemptOutcome::NotConnected:
        return "not connected";
    case AttemptOutcome::Refused:
        return "refused";
    case AttemptOutcome::Withheld:
        return "withheld";
    case AttemptOutcome::NotRun:
        return "not run";
    case AttemptOutcome::Replaced:
        return "replaced";
    case AttemptOutcome::Error:
        return "error";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::Invalid:
        return "invalid";
    case AttemptOutcome::Silent:
        return "silent";
    }
    return "unknown";
}

bool isWhole(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::Answered;
}

bool isUnsent(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NotConnected || outcome == AttemptOutcome::Refused
           || outcome == AttemptOutcome::Withheld;
}

bool isNotRun(AttemptOutcome outcome)
{
    return isUnsent(outcome) || outcome == AttemptOutcome::NotRun
           || outcome == AttemptOutcome::Replaced;
}

Common::RunState runStateAfter(AttemptOutcome outcome)
{
    if (isWhole(outcome)) {
        return Common::RunState::Ran;
    }
    return isNotRun(outcome) ? Common::RunState::NotRun : Common::RunState::Unknown;
}

std::string_view toString(RejectReason reason)
{
    switch (reason) {
    case RejectReason::Overloaded:
        return "overloaded";
    case RejectReason::NoEndpoint:
        return "no endpoint";
    case RejectReason::Quarantined:
        return "quarantined";
    case RejectReason::AttemptsUsed:
        return "tries used";
    }
    return "unknown";
}

std::string_view toString(ForwardReason reason)
{
    switch (reason) {
    case ForwardReason::Yield:
        return "yield";
    case ForwardReason::NoCapacity:
        return "no capacity";
    case ForwardReason::Unreachable:
        return "unreachable";
    case ForwardReason::NotAllowedHere:
        return "not allowed here";
    }
    return "unknown";
}

Scheduler::Scheduler(DispatchOptions options, InstanceId self, RegionName home, std::uint64_t seed,
                     Time startedAt)
    : options_(options)
    , self_(std::move(self))
    , home_(std::move(home))
    , random_(seed)
    , table_(options_)
    , spareCapacity_(options_)
    , crashes_(Decisions::QuarantineOptions(), seed + 2)
    , reachability_(self_)
    , placement_(options_, table_, reachability_, self_, seed + 1, startedAt)
    , health_(options_, table_, crashes_)
    , instances_({self_})
    , startedAt_(startedAt)
{
}

bool Scheduler::homeAllowed(const CallFacts &facts) const
{
    return facts.allowedRegions.empty() || contains(facts.allowedRegions, home_);
}

bool Scheduler::hasDestination(const Call &call, Time now)
{
    return usableAtHome(call.facts) || offerOfAnyRegion(call, now);
}

bool Scheduler::usableAtHome(const CallFacts &facts)
{
    return homeAllowed(facts) && !table_.usable(facts.service).empty();
}

std::optional<SpareCapacity::Offer> Scheduler::offerOfAnyRegion(const Call &call, Time now)
{
    const auto &facts = call.facts;
    if (facts.forwarded) {
        return std::nullopt;
    }
    return spareCapacity_.any(facts.service, facts.allowedRegions, call.attemptedRegions, now);
}

// Requests.

Effects Scheduler::submit(CallFacts facts, Time now)
{
    Effects effects;
    table_.refreshLoad(now);
    const auto id = facts.id;
    auto &call = calls_[id];
    call.facts = std::move(facts);
    call.keys = suspectKeys(call.facts);
    auto &retryBudget = budget(call.facts.service);
    if (call.facts.forwarded) {
        retryBudget.requestFromPeer(now);
    } else {
        retryBudget.request(now);
    }
    place(call, true, now, effects);
    return effects;
}

void Scheduler::place(Call &call, bool mayWait, Time now, Effects &effects)
{
    const auto &facts = call.facts;
    if (rejectIfSuspected(call, now, effects)) {
        return;
    }
    if (!usableAtHome(facts)) {
        const auto reason =
            homeAllowed(facts) ? ForwardReason::Unreachable : ForwardReason::NotAllowedHere;
        if (!forward(call, offerOfAnyRegion(call, now), reason, now, effects)
            && !waitForRegions(call, now)) {
            rejectWithoutEndpoint(call, now, effects);
        }
        return;
    }
    if (yieldToRestricted(call, now, effects)) {
        return;
    }
    const auto candidate = chooseEndpoint(call, now);
    if (candidate && placement_.shouldSend(call, *candidate, now)
        && send(call, *candidate, now, effects)) {
        return;
    }
    if (table_.unreachable(facts.service)) {
        if (forwardUnreachable(call, now, effects)) {
            return;
        }
        if (facts.forwarded) {
            // The instance that forwarded it knows others.
            rejectWithoutEndpoint(call, now, effects);
            return;
        }
    }
    const auto wait = expectedWait(call, now);
    if (forwardIfBetter(call, wait, now, effects)) {
        return;
    }
    const auto withMargin = scaled(wait, 1 / options_.admissionFraction);
    if (cannotMeetObjective(call, candidate, withMargin, now) || !mayWait
        || queue_.size() >= options_.queueLimit) {
        reject(call, RejectReason::Overloaded, wait, now, effects);
        return;
    }
    enqueue(call);
}

bool Scheduler::rejectIfSuspected(Call &call, Time now, Effects &effects)
{
    const auto rejection = crashes_.rejection(call.keys, call.runs > 0, now);
    if (rejection) {
        call.rejectedFor = rejection->key;
        reject(call, RejectReason::Quarantined, rejection->retryAfter, now, effects);
    }
    return rejection.has_value();
}

std::optional<Candidate> Scheduler::chooseEndpoint(const Call &call, Time now)
{
    const bool mayStart = crashes_.mayStart(call.keys, now);
    return mayStart ? placement_.choose(call, now) : std::nullopt;
}

bool Scheduler::send(Call &call, const Candidate &candidate, Time now, Effects &effects)
{
    auto &endpoint = *candidate.endpoint;
    const auto &record = endpoint.listed.record;
    dequeue(call);
    call.endpoint = record.id;
    call.run = endpoint.run;
    call.region = RegionName();
    call.sentAt = now;
    chargeRetry(call, now);
    call.expected = candidate.expected;
    call.workFactor = endpoint.workFactor(now);
    call.statedWorkFactor = endpoint.statedWorkFactor(now);
    call.prefillTokens = candidate.prefillTokens;
    call.copy = candidate.measuredCopy;
    if (call.copy) {
        table_.transfers().add(call.facts.id, shortId(call.copy->source), shortId(record.id),
                               candidate.copyTime, now);
        table_.transferReports().model(call.facts.service).tried(call.copy->path, now);
    }
    call.answering = false;
    call.readmittedEndpoint = false;
    call.answerGoesOn = false;
    call.attemptCancelled = false;
    call.readingPaused = false;
    call.idleAtSend = endpoint.idle();
    call.slotFreeAtSend = endpoint.load() < record.slots;
    call.suspectedKeys = crashes_.started(call.keys, now);
    call.attemptedEndpoints.push_back(record.id);
    ++call.attempts;
    ++endpoint.own;
    table_.sent(call.facts.service, now);
    endpoint.prefillQueue.add(
        now, table_.engine(call.facts.service).busyPrefillTime(candidate.prefillTokens));
    notice(endpoint, call);
    endpoint.cache.use(call.facts.parts);
    // The last part belongs to this request only.
    const auto &parts = call.facts.parts;
    const bool noticed = instances_.size() > 1;
    table_.placed(endpoint, {parts.begin(), parts.empty() ? parts.end() : parts.end() - 1}, noticed,
                  now);
    endpoint.probing = endpoint.ejectedUntil.has_value();
    if (endpoint.cold(now)) {
        endpoint.coldRateLimit.sent(now);
    }
    endpoint.limit.sent(now);
    endpoint.rest.sent(now);
    Send effect;
    effect.call = call.facts.id;
    effect.endpoint = record.id;
    effect.address = record.address;
    effect.expected = candidate.expected;
    effect.copyCacheFrom = candidate.copyFrom;
    effect.copy = candidate.copy;
    effect.prefillsSooner = candidate.prefillsSooner;
    effect.newConnection = endpoint.probing;
    effect.prefillTokens = candidate.prefillTokens;
    effect.own = endpoint.own - 1;
    effect.others = endpoint.others - endpoint.assumed;
    effect.assumed = endpoint.assumed;
    effect.statedWorkFactor = call.statedWorkFactor;
    if (const auto &figure = endpoint.speed.last()) {
        effect.machinePercent = figure->percent;
        effect.machineAge = now - figure->at;
    }
    effects.push_back(std::move(effect));
    return true;
}

bool Scheduler::forward(Call &call, const std::optional<SpareCapacity::Offer> &offer,
                        ForwardReason reason, Time now, Effects &effects)
{
    if (!offer) {
        return false;
    }
    spareCapacity_.sent(offer->region, call.facts.service, now);
    call.region = offer->region;
    call.attemptedRegions.push_back(offer->region);
    beginForward(call, offer->wait + options_.regionRoundTrip, now);
    const int runsLeft = std::max(1, call.facts.maxRuns - call.runs);
    effects.push_back(Forward{call.facts.id, offer->region, InstanceId(), runsLeft, reason});
    return true;
}

void Scheduler::beginForward(Call &call, Duration expected, Time now)
{
    dequeue(call);
    call.endpoint = EndpointId();
    call.copy.reset();
    call.sentAt = now;
    chargeRetry(call, now);
    budget(call.facts.service).requestForwarded(now);
    call.expected = expected;
    call.workFactor = 1;
    call.statedWorkFactor = 1;
    call.answering = false;
    call.readmittedEndpoint = false;
    call.answerGoesOn = false;
    call.attemptCancelled = false;
    call.readingPaused = false;
    ++call.attempts;
}

void Scheduler::rejectWithoutEndpoint(Call &call, Time now, Effects &effects)
{
    reject(call, RejectReason::NoEndpoint, NoEndpointRetryAfter, now, effects);
}

bool Scheduler::forwardUnreachable(Call &call, Time now, Effects &effects)
{
    if (handOver(call, now, effects)) {
        return true;
    }
    return forward(call, offerOfAnyRegion(call, now), ForwardReason::Unreachable, now, effects);
}

bool Scheduler::handOver(Call &call, Time now, Effects &effects)
{
    if (call.facts.handedOver) {
        return false;
    }
    const auto neighbor =
        reachability_.chooseNeighbor(call.facts.service, call.attemptedInstances, random_);
    if (!neighbor) {
        return false;
    }
    call.region = home_;
    call.attemptedInstances.push_back(*neighbor);
    beginForward(call, Duration(0), now);
    const int runsLeft = std::max(1, call.facts.maxRuns - call.runs);
    effects.push_back(
        Forward{call.facts.id, home_, *neighbor, runsLeft, ForwardReason::Unreachable});
    return true;
}

std::vector<ServiceName> Scheduler::unreachableServices() const
{
    std::vector<ServiceName> names;
    for (const auto &[name, service] : table_.services()) {
        if (table_.unreachable(name)) {
            names.push_back(name);
        }
    }
    return names;
}

/// Load pattern: all processes are restarted at once, and requests that only other regions may
/// serve arrive before the first load reports of these regions, or between such a report and the
/// next look at which instances can be reached. If all of them have reported that they have no
/// endpoint, there is nothing to wait for.
bool Scheduler::waitForRegions(Call &call, Time now)
{
    const auto &facts = call.facts;
    const bool regionsMayBeUnknown = now - startedAt_ < RegionsKnownAfter;
    const auto objective = facts.objectiveAt - facts.arrivedAt;
    const bool mayWait =
        regionsMayBeUnknown && !facts.forwarded && call.attempts == 0
        && now < facts.arrivedAt + objective / 2
        && spareCapacity_.awaitsRegion(facts.service, facts.allowedRegions, home_, now);
    if (!mayWait) {
        return false;
    }
    dequeue(call);
    call.queued = true;
    waitingForRegions_.push_back(facts.id);
    return true;
}

void Scheduler::placeWaitingForRegions(Time now, Effects &effects)
{
    for (const auto id : std::exchange(waitingForRegions_, {})) {
        const auto found = calls_.find(id);
        if (found != calls_.end() && found->second.queued) {
            place(found->second, true, now, effects);
        }
    }
}

bool Scheduler::forwardIfBetter(Call &call, Duration homeWait, Time now, Effects &effects)
{
    const auto &facts = call.facts;
    if (facts.forwarded) {
        return false;
    }
    const auto offer =
        spareCapacity_.best(facts.service, facts.allowedRegions, call.attemptedRegions, now);
    if (!offer) {
        return false;
    }
    const bool better = offer->wait + options_.regionRoundTrip < homeWait;
    return better && forward(call, offer, ForwardReason::NoCapacity, now, effects);
}

Duration Scheduler::restOfAll(const ServiceName &service, Time now) const
{
    std::optional<Duration> shortest;
    for (const auto *endpoint : table_.usable(service)) {
        const auto left = endpoint->rest.left(now);
        shortest = shortest ? std::min(*shortest, left) : left;
    }
    return shortest.value_or(Duration(0));
}

Duration Scheduler::withJitter(Duration wait)
{
    std::uniform_real_distribution<double> factor(1 - options_.retryAfterJitter,
                                                  1 + options_.retryAfterJitter);
    const auto bounded = std::clamp<Duration>(wait, options_.retryAfterMin, options_.retryAfterMax);
    return scaled(bounded, factor(random_));
}

void Scheduler::reject(Call &call, RejectReason reason, Duration wait, Time now, Effects &effects)
{
    dequeue(call);
    if (call.runs > 0) {
        // An earlier attempt may have run, so the answer must not claim that the request has not
        // run.
        fail(call, effects);
        return;
    }
    const auto id = call.facts.id;
    if (reason == RejectReason::Overloaded && isRestricted(call.facts)) {
        regionYield_.rejected(shortId(call.facts.service), now);
    }
    auto retryAfter = reason == RejectReason::Quarantined ? wait : withJitter(wait);
    // Before the end of the rest, the caller would be rejected again.
    const auto rest = restOfAll(call.facts.service, now);
    if (rest > retryAfter) {
        std::uniform_real_distribution<double> factor(1, 1 + options_.retryAfterJitter);
        retryAfter = scaled(rest, factor(random_));
    }
    const auto suspect = call.rejectedFor;
    forget(call);
    effects.push_back(Reject{id, reason, retryAfter, suspect});
}

void Scheduler::fail(Call &call, Effects &effects)
{
    dequeue(call);
    const auto id = call.facts.id;
    forget(call);
    effects.push_back(Fail{id});
}

void Scheduler::withdraw(CallId id, Time)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    auto &call = found->second;
    call.withdrawn = true;
    if (call.queued) {
        dequeue(call);
        forget(call);
    }
}

Effects Scheduler::tick(Time now)
{
    Effects effects;
    table_.divideLimits(self_, instances_, now);
    placeWaitingForRegions(now, effects);
    dispatchQueue(now, effects);
    updateYield(now);
    watchSilence(now, effects);
    crashes_.expire(now);
    if (now - listCheckedAt_ >= ListCheckInterval) {
        checkListed(now);
    }
    return effects;
}

nlohmann::json Scheduler::dump(Time now)
{
    auto endpoints = nlohmann::json::array();
    for (const auto *endpoint : table_.all()) {
        endpoints.push_back({{"id", endpoint->listed.record.id.text()},
                             {"service", endpoint->listed.record.service.text()},
                             {"leaving", endpoint->listed.leaving},
                             {"missing", endpoint->listed.missing},
                             {"evacuated", endpoint->evacuated},
                             {"cold", endpoint->cold(now)},
                             {"ejected", endpoint->ejectedUntil.has_value()},
                             {"silent", Common::toSeconds(endpoint->silence(now))},
                             {"rest", Common::toSeconds(endpoint->rest.left(now))},
                             {"own", endpoint->own},
                             {"others", endpoint->others},
                             {"assumed", endpoint->assumed},
                             {"slowness", endpoint->slowness},
                             {"stated_work_factor", endpoint->statedWorkFactor(now)},
                             {"work_factor", endpoint->workFactor(now)},
                             {"limit", endpoint->limit.statement().perSecond.value_or(-1)},
                             {"error_share", endpoint->errorRate}});
    }
    return {{"instance", self_.text()},        {"region", home_.text()},
            {"instances", instances_.size()},  {"requests", calls_.size()},
            {"waiting", queue_.size()},        {"endpoints", endpoints},
            {"transfers", dumpTransfers(now)}, {"retry_budgets", dumpRetryBudgets(now)},
            {"yield", dumpYield(now)},         {"suspects", crashes_.dump(now)}};
}

} // namespace LaburnumChute::Dispatch
