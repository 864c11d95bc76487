#include "Dispatch/Scheduler.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Prompt length for which the wait reported to other regions is computed.
constexpr std::int64_t NominalTokens = 400;
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
    case AttemptOutcome::Silent:
        return "silent";
    }
    return "unknown";
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

Scheduler::Scheduler(DispatchOptions options, InstanceId self, RegionName home, std::uint64_t seed,
                     Time startedAt)
    : options_(options)
    , self_(std::move(self))
    , home_(std::move(home))
    , random_(seed)
    , table_(options_)
    , spareCapacity_(options_)
    , quarantine_(Decisions::QuarantineOptions())
    , crashes_(quarantine_, seed + 2)
    , placement_(options_, table_, self_, seed + 1, startedAt)
    , health_(options_, table_, crashes_)
    , instances_({self_})
    , startedAt_(startedAt)
{
}

// Information about endpoints, instances and regions.

Effects Scheduler::setServices(const std::map<ServiceName, Catalog::Service> &services, Time now)
{
    table_.setServices(services);
    Effects effects;
    dispatchQueue(now, effects);
    return effects;
}

Effects Scheduler::setEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints,
                                const std::set<Common::FailureDomainName> &evacuated, Time now)
{
    table_.setEndpoints(endpoints, evacuated, now);
    checkListed(now);
    Effects effects;
    dispatchQueue(now, effects);
    return effects;
}

Effects Scheduler::updateEndpoints(const EndpointChanges &changes, Time now)
{
    table_.updateEndpoints(changes, now);
    checkListed(now);
    Effects effects;
    dispatchQueue(now, effects);
    return effects;
}

/// Endpoints with suspected requests that are not listed any more have crashed.
void Scheduler::checkListed(Time now)
{
    if (crashes_.hasBreaks()) {
        listCheckedAt_ = now;
        crashes_.setListed(table_.listedRuns(), now);
    }
}

void Scheduler::updateRemoteEndpoints(const EndpointChanges &changes)
{
    table_.updateRemoteEndpoints(changes);
}

void Scheduler::setRemoteEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints)
{
    table_.setRemoteEndpoints(endpoints);
}

void Scheduler::setCache(const EndpointId &endpoint, const std::vector<Dialect::PromptPart> &parts,
                         Time now)
{
    if (auto *state = table_.find(endpoint)) {
        for (const auto &part : parts) {
            state->cache.use(part);
        }
        table_.placed(*state, parts, false, now);
    }
}

std::vector<PartPlacement> Scheduler::caches() const
{
    return table_.caches();
}

void Scheduler::learnCaches(const std::vector<PartPlacement> &placements)
{
    table_.learn(placements);
}

std::vector<Catalog::EndpointRecord> Scheduler::enginesToPoll() const
{
    std::vector<Catalog::EndpointRecord> records;
    for (const auto &[name, service] : table_.services()) {
        if (!service.engine) {
            continue;
        }
        for (const auto *endpoint : table_.usable(name)) {
            const auto &record = endpoint->listed.record;
            const auto weight = [&](const InstanceId &instance) {
                return Common::rendezvousWeight(record.id.text(), instance.text());
            };
            const auto own = weight(self_);
            const bool mine =
                std::all_of(instances_.begin(), instances_.end(),
                            [&](const auto &instance) { return weight(instance) <= own; });
            if (mine) {
                records.push_back(record);
            }
        }
    }
    return records;
}

void Scheduler::setBounds(const Catalog::Bounds &bounds)
{
    bounds_ = bounds;
    placement_.setBounds(bounds);
    updateRetryBudgets();
}

void Scheduler::setFleet(const std::vector<InstanceId> &ownRegion, std::size_t allInstances,
                         const std::vector<RegionName> &reachableRegions)
{
    instances_ = ownRegion;
    placement_.setInstances(instances_);
    allInstances_ = std::max<std::size_t>(1, allInstances);
    table_.keepReports(instances_);
    spareCapacity_.setOwnInstances(instances_.size());
    spareCapacity_.setReachable(reachableRegions);
    updateRetryBudgets();
}

double Scheduler::retrySlack() const
{
    return bounds_.retrySlack * options_.sharedBoundFraction / static_cast<double>(allInstances_);
}

void Scheduler::updateRetryBudgets()
{
    const double ratio = bounds_.retryRatio * options_.sharedBoundFraction;
    for (auto &[service, budget] : budgets_) {
        budget.setBounds(ratio, retrySlack(), bounds_.retryWindow);
    }
}

RetryBudget &Scheduler::budget(const ServiceName &service)
{
    const double ratio = bounds_.retryRatio * options_.sharedBoundFraction;
    return budgets_
        .try_emplace(service, ratio, retrySlack(), bounds_.retryWindow,
                     Common::stableHash(service.text(), random_()))
        .first->second;
}

std::vector<CrashEvent> Scheduler::takeCrashEvents()
{
    return crashes_.takeEvents();
}

Effects Scheduler::setRegionLoadReport(const InstanceId &instance, const RegionLoadReport &report,
                                       Time now)
{
    table_.setLoadReport(instance, report, now);
    crashes_.merge(report.suspects, now);
    Effects effects;
    dispatchQueue(now, effects);
    return effects;
}

void Scheduler::learn(const PromptNotices &notices, Time now)
{
    for (const auto &prompt : notices.prompts) {
        table_.learn(notices.sender, prompt, now);
    }
}

void Scheduler::learn(const SuspectNotices &notices, Time now)
{
    crashes_.merge(notices.suspects, now);
}

SuspectNotices Scheduler::takeSuspectNotices(Time now)
{
    return {home_, crashes_.takeNotices(now)};
}

PromptNotices Scheduler::takeNotices()
{
    return {self_, std::exchange(notices_, {})};
}

void Scheduler::notice(const EndpointState &endpoint, const Call &call)
{
    const auto &parts = call.facts.parts;
    PromptNotice notice;
    // The last part belongs to this request only.
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        if (parts[index].tokens >= options_.copyMinimumTokens) {
            notice.parts.push_back(
                {parts[index].id, static_cast<std::uint32_t>(parts[index].tokens)});
        }
    }
    const bool worthReporting =
        call.prefillTokens >= options_.noticeTokens || !notice.parts.empty();
    if (!worthReporting || instances_.size() < 2) {
        return;
    }
    notice.endpoint = shortId(endpoint.listed.record.id);
    notice.prefillTokens =
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, call.prefillTokens));
    notices_.push_back(std::move(notice));
}

void Scheduler::setCrossRegionLoadReport(const RegionName &region, const InstanceId &instance,
                                         const CrossRegionLoadReport &report, Time now)
{
    spareCapacity_.update(region, instance, report, now);
    table_.setRemotePlacements(report.placements);
    crashes_.merge(report.suspects, now);
}

RegionLoadReport Scheduler::regionLoadReport(Time now)
{
    auto report = table_.loadReport(now);
    for (const auto &[name, service] : table_.services()) {
        const auto queued = backlog(name);
        ServiceWork work;
        work.service = shortId(name);
        work.waiting = static_cast<std::uint16_t>(queued.calls);
        work.waitingMs = static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(queued.work).count());
        work.sentPerSecond =
            static_cast<std::uint16_t>(std::lround(table_.sentPerSecond(name, now)));
        if (work.waiting > 0 || work.sentPerSecond > 0) {
            report.services.push_back(work);
        }
    }
    report.suspects = crashes_.reports(now);
    return report;
}

CrossRegionLoadReport Scheduler::crossRegionLoadReport(Time now)
{
    CrossRegionLoadReport report;
    table_.refreshLoad(now);
    auto own = regionLoadReport(now);
    report.suspects = std::move(own.suspects);
    report.placements = table_.placementsForOtherRegions(now);
    for (const auto &[name, service] : table_.services()) {
        ServiceSpareCapacity spare;
        spare.service = shortId(name);
        std::optional<Duration> best;
        for (const auto *endpoint : table_.usable(name)) {
            const bool resting = endpoint->rest.left(now) > Duration(0);
            if (endpoint->ejectedUntil || endpoint->cold(now) || resting) {
                continue;
            }
            ++spare.endpoints;
            const double free = std::max(0.0, endpoint->listed.record.slots - endpoint->load());
            const double freeRate = endpoint->cappedRate(free / endpoint->holdSeconds());
            spare.freePerSecond += static_cast<std::uint32_t>(freeRate);
            const auto wait = service.engine
                                  ? placement_.engineWait(*endpoint, now) + options_.firstEventFloor
                                        + table_.engine(name).prefillTime(NominalTokens)
                                  : placement_.plainWait(*endpoint);
            const auto startDelay = std::max(wait, endpoint->limit.wait(now));
            best = best ? std::min(*best, startDelay) : startDelay;
        }
        const auto wait =
            best.value_or(Duration(0)) + backlogWait(capacity(name, now), backlog(name));
        constexpr std::int64_t MaxWaitMs = 60000;
        spare.waitMs = static_cast<std::uint16_t>(std::min<std::int64_t>(
            std::chrono::duration_cast<milliseconds>(wait).count(), MaxWaitMs));
        report.spareCapacities.push_back(spare);
    }
    return report;
}

void Scheduler::loadSeen(const EndpointId &endpoint, const Dialect::LoadSample &sample, Time now)
{
    if (auto *state = table_.find(endpoint)) {
        state->sample = sample;
        state->sampledAt = now;
    }
}

bool Scheduler::limitSeen(const EndpointId &endpoint, std::optional<double> perSecond, Time now)
{
    const bool changed = table_.limitSeen(endpoint, {perSecond, now});
    table_.divideLimits(self_, instances_, now);
    return changed;
}

void Scheduler::restSeen(const EndpointId &endpoint, Duration rest, Time now)
{
    if (auto *state = table_.find(endpoint)) {
        std::uniform_real_distribution<double> factor(1, 1 + options_.restJitter);
        state->rest.begin(scaled(rest, factor(random_)), now);
    }
}

bool Scheduler::leavingSeen(const EndpointId &endpoint)
{
    return table_.leavingSeen(endpoint);
}

void Scheduler::coldSeen(const EndpointId &endpoint, Duration left, Time now)
{
    if (auto *state = table_.find(endpoint)) {
        state->coldUntil = now + left;
    }
}

bool Scheduler::homeAllowed(const CallFacts &facts) const
{
    return facts.allowedRegions.empty() || contains(facts.allowedRegions, home_);
}

// Requests.

Effects Scheduler::submit(CallFacts facts, Time now)
{
    Effects effects;
    table_.refreshLoad(now);
    const auto id = facts.id;
    auto &call = calls_[id];
    call.facts = std::move(facts);
    if (!call.facts.forwarded) {
        budget(call.facts.service).request(now);
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
    const bool atHome = homeAllowed(facts) && !table_.usable(facts.service).empty();
    if (!atHome) {
        const auto offer = facts.forwarded ? std::nullopt
                                           : spareCapacity_.any(facts.service, facts.allowedRegions,
                                                                call.attemptedRegions, now);
        if (!forward(call, offer, now, effects) && !waitForRegions(call, now)) {
            reject(call, RejectReason::NoEndpoint, NoEndpointRetryAfter, now, effects);
        }
        return;
    }
    const auto candidate = chooseEndpoint(call, now);
    if (candidate && placement_.shouldSend(call, *candidate, now)
        && send(call, *candidate, now, effects)) {
        return;
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
    const auto rejectedFor = crashes_.rejectedFor(call.facts.fingerprint, now);
    if (rejectedFor) {
        reject(call, RejectReason::Quarantined, *rejectedFor, now, effects);
    }
    return rejectedFor.has_value();
}

std::optional<Candidate> Scheduler::chooseEndpoint(const Call &call, Time now)
{
    const bool mayStart = crashes_.mayStart(call.facts.fingerprint);
    return mayStart ? placement_.choose(call, now) : std::nullopt;
}

bool Scheduler::send(Call &call, const Candidate &candidate, Time now, Effects &effects)
{
    auto &endpoint = *candidate.endpoint;
    const auto &record = endpoint.listed.record;
    dequeue(call);
    call.endpoint = record.id;
    call.region = RegionName();
    call.sentAt = now;
    call.expected = candidate.expected;
    call.prefillTokens = candidate.prefillTokens;
    call.answering = false;
    call.attemptCancelled = false;
    call.idleAtSend = endpoint.idle();
    call.slotFreeAtSend = endpoint.load() < record.slots;
    call.countedAsSuspect = crashes_.started(call.facts.fingerprint);
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
    effect.prefillTokens = candidate.prefillTokens;
    effect.own = endpoint.own - 1;
    effect.others = endpoint.others - endpoint.assumed;
    effect.assumed = endpoint.assumed;
    effects.push_back(std::move(effect));
    return true;
}

bool Scheduler::forward(Call &call, const std::optional<SpareCapacity::Offer> &offer, Time now,
                        Effects &effects)
{
    if (!offer) {
        return false;
    }
    dequeue(call);
    spareCapacity_.sent(offer->region, call.facts.service, now);
    call.endpoint = EndpointId();
    call.region = offer->region;
    call.attemptedRegions.push_back(offer->region);
    call.sentAt = now;
    call.expected = offer->wait + options_.regionRoundTrip;
    call.answering = false;
    call.attemptCancelled = false;
    ++call.attempts;
    const int runsLeft = std::max(1, call.facts.maxRuns - call.runs);
    effects.push_back(Forward{call.facts.id, offer->region, runsLeft});
    return true;
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
    return better && forward(call, offer, now, effects);
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
    auto retryAfter = reason == RejectReason::Quarantined ? wait : withJitter(wait);
    // Before the end of the rest, the caller would be rejected again.
    const auto rest = restOfAll(call.facts.service, now);
    if (rest > retryAfter) {
        std::uniform_real_distribution<double> factor(1, 1 + options_.retryAfterJitter);
        retryAfter = scaled(rest, factor(random_));
    }
    calls_.erase(id);
    effects.push_back(Reject{id, reason, retryAfter});
}

void Scheduler::fail(Call &call, Effects &effects)
{
    dequeue(call);
    const auto id = call.facts.id;
    calls_.erase(id);
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
        calls_.erase(found);
    }
}

Effects Scheduler::tick(Time now)
{
    Effects effects;
    table_.divideLimits(self_, instances_, now);
    placeWaitingForRegions(now, effects);
    dispatchQueue(now, effects);
    cancelSilentAttempts(now, effects);
    crashes_.expire(now);
    if (now - listCheckedAt_ >= ListCheckInterval) {
        checkListed(now);
    }
    return effects;
}

nlohmann::json Scheduler::dump(Time now) const
{
    auto endpoints = nlohmann::json::array();
    for (const auto *endpoint : table_.all()) {
        endpoints.push_back({{"id", endpoint->listed.record.id.text()},
                             {"service", endpoint->listed.record.service.text()},
                             {"leaving", endpoint->listed.leaving},
                             {"missing", endpoint->listed.missing},
                             {"evacuated", endpoint->evacuated},
                             {"cold", endpoint->cold(now)},
                             {"rests", endpoint->ejectedUntil.has_value()},
                             {"own", endpoint->own},
                             {"others", endpoint->others},
                             {"assumed", endpoint->assumed},
                             {"slowness", endpoint->slowness},
                             {"limit", endpoint->limit.statement().perSecond.value_or(-1)},
                             {"error_share", endpoint->errorRate}});
    }
    return {{"instance", self_.text()},           {"region", home_.text()},
            {"instances", instances_.size()},     {"requests", calls_.size()},
            {"waiting", queue_.size()},           {"endpoints", endpoints},
            {"quarantine", quarantine_.dump(now)}};
}

} // namespace LaburnumChute::Dispatch
