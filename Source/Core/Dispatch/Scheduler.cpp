#include "Dispatch/Scheduler.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Prompt of the request for which other regions are told the wait.
constexpr std::int64_t NominalTokens = 400;
/// An endpoint that is replaced is back within some seconds.
constexpr milliseconds NoEndpointRetryAfter{700};
/// Bounds the size of a heartbeat.
constexpr std::size_t MaxSuspectsShared = 16;

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
    case AttemptOutcome::NotRun:
        return "not run";
    case AttemptOutcome::Error:
        return "error";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::Silent:
        return "silent";
    }
    return "unknown";
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
    case RejectReason::TriesUsed:
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
    , book_(options_)
    , rooms_(options_)
    , quarantine_(Decisions::QuarantineOptions())
    , placement_(options_, book_, self_, seed + 1, startedAt)
    , health_(options_, book_, quarantine_)
    , instances_({self_})
{
}

// What is known.

Effects Scheduler::setServices(const std::map<ServiceName, Catalog::Service> &services, Time now)
{
    book_.setServices(services);
    Effects effects;
    pump(now, effects);
    return effects;
}

Effects Scheduler::setEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints,
                                const std::set<Common::FailureDomainName> &evacuated, Time now)
{
    book_.setEndpoints(endpoints, evacuated, now);
    Effects effects;
    pump(now, effects);
    return effects;
}

void Scheduler::setRemoteEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints)
{
    book_.setRemoteEndpoints(endpoints);
}

void Scheduler::setCache(const EndpointId &endpoint, const std::vector<Dialect::PromptPart> &parts,
                         Time now)
{
    if (auto *state = book_.find(endpoint)) {
        for (const auto &part : parts) {
            state->cache.use(part);
        }
        book_.placed(*state, parts, now);
    }
}

std::vector<PartPlacement> Scheduler::caches() const
{
    return book_.caches();
}

void Scheduler::learnCaches(const std::vector<PartPlacement> &placements)
{
    book_.learn(placements);
}

std::vector<Catalog::EndpointRecord> Scheduler::enginesToPoll() const
{
    std::vector<Catalog::EndpointRecord> records;
    for (const auto &[name, service] : book_.services()) {
        if (!service.engine) {
            continue;
        }
        for (const auto *endpoint : book_.usable(name)) {
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
    boundBudgets();
}

void Scheduler::setFleet(const std::vector<InstanceId> &ownRegion, std::size_t allInstances,
                         const std::vector<RegionName> &reachableRegions)
{
    instances_ = ownRegion;
    placement_.setInstances(instances_);
    allInstances_ = std::max<std::size_t>(1, allInstances);
    book_.keepShares(instances_);
    rooms_.setOwnInstances(instances_.size());
    rooms_.setReachable(reachableRegions);
    boundBudgets();
}

double Scheduler::retrySlack() const
{
    return bounds_.retrySlack * options_.sharedBoundUse / static_cast<double>(allInstances_);
}

void Scheduler::boundBudgets()
{
    const double ratio = bounds_.retryRatio * options_.sharedBoundUse;
    for (auto &[service, budget] : budgets_) {
        budget.setBounds(ratio, retrySlack(), bounds_.retryWindow);
    }
}

RetryBudget &Scheduler::budget(const ServiceName &service)
{
    const double ratio = bounds_.retryRatio * options_.sharedBoundUse;
    return budgets_.try_emplace(service, ratio, retrySlack(), bounds_.retryWindow).first->second;
}

void Scheduler::mergeSuspects(const std::vector<SuspectShare> &suspects, Time now)
{
    std::vector<Decisions::SuspectNotice> notices;
    for (const auto &suspect : suspects) {
        Decisions::SuspectNotice notice;
        notice.fingerprint = suspect.fingerprint;
        notice.age = milliseconds(suspect.ageMs);
        for (const auto &death : suspect.deaths) {
            notice.deaths.push_back(EndpointId(death));
        }
        notices.push_back(std::move(notice));
    }
    quarantine_.merge(notices, now);
}

Effects Scheduler::setRegionLoadReport(const InstanceId &instance, const RegionLoadReport &share,
                                       Time now)
{
    book_.setShare(instance, share, now);
    mergeSuspects(share.suspects, now);
    Effects effects;
    pump(now, effects);
    return effects;
}

void Scheduler::learn(const PromptNotices &notices, Time now)
{
    for (const auto &prompt : notices.prompts) {
        book_.learn(notices.sender, prompt, now);
    }
}

PromptNotices Scheduler::takeNotices()
{
    return {self_, std::exchange(notices_, {})};
}

void Scheduler::notice(const EndpointState &endpoint, const Call &call)
{
    const auto &parts = call.facts.parts;
    PromptNotice notice;
    // The last part is the request's own: nobody else asks for it.
    for (std::size_t index = 0; index + 1 < parts.size(); ++index) {
        if (parts[index].tokens >= options_.copyMinimumTokens) {
            notice.parts.push_back(
                {parts[index].id, static_cast<std::uint32_t>(parts[index].tokens)});
        }
    }
    const bool worthTelling = call.prefillTokens >= options_.noticeTokens || !notice.parts.empty();
    if (!worthTelling || instances_.size() < 2) {
        return;
    }
    notice.endpoint = shortId(endpoint.listed.record.id);
    notice.prefillTokens =
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, call.prefillTokens));
    notices_.push_back(std::move(notice));
}

void Scheduler::setCrossRegionLoadReport(const RegionName &region, const InstanceId &instance,
                                         const CrossRegionLoadReport &share, Time now)
{
    rooms_.update(region, instance, share, now);
    book_.setRemotePlacements(share.placements);
    mergeSuspects(share.suspects, now);
}

RegionLoadReport Scheduler::regionLoadReport(Time now)
{
    auto share = book_.share(now);
    for (const auto &[name, service] : book_.services()) {
        const auto waits = backlog(name);
        ServiceWork work;
        work.service = shortId(name);
        work.waiting = static_cast<std::uint16_t>(waits.calls);
        work.waitingMs = static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(waits.work).count());
        work.sentPerSecond =
            static_cast<std::uint16_t>(std::lround(book_.sentPerSecond(name, now)));
        if (work.waiting > 0 || work.sentPerSecond > 0) {
            share.services.push_back(work);
        }
    }
    for (const auto &notice : quarantine_.notices(now)) {
        if (share.suspects.size() >= MaxSuspectsShared) {
            break;
        }
        SuspectShare suspect;
        suspect.fingerprint = notice.fingerprint;
        const auto age = std::chrono::duration_cast<milliseconds>(notice.age);
        suspect.ageMs = static_cast<std::uint32_t>(age.count());
        for (const auto &death : notice.deaths) {
            suspect.deaths.push_back(death.text());
        }
        share.suspects.push_back(std::move(suspect));
    }
    return share;
}

CrossRegionLoadReport Scheduler::crossRegionLoadReport(Time now)
{
    CrossRegionLoadReport share;
    book_.refreshLoad(now);
    auto own = regionLoadReport(now);
    share.suspects = std::move(own.suspects);
    share.placements = book_.placementsForElsewhere(now);
    for (const auto &[name, service] : book_.services()) {
        ServiceRoom room;
        room.service = shortId(name);
        std::optional<Duration> best;
        for (const auto *endpoint : book_.usable(name)) {
            if (endpoint->restsUntil || endpoint->cold(now)) {
                continue;
            }
            ++room.endpoints;
            const double free = std::max(0.0, endpoint->listed.record.slots - endpoint->load());
            const double freeRate = endpoint->cappedRate(free / endpoint->holdSeconds());
            room.freePerSecond += static_cast<std::uint32_t>(freeRate);
            const auto wait = service.engine
                                  ? placement_.engineWait(*endpoint, now) + options_.firstEventFloor
                                        + book_.engine(name).readTime(NominalTokens)
                                  : placement_.plainWait(*endpoint);
            const auto startDelay = std::max(wait, endpoint->limit.wait(now));
            best = best ? std::min(*best, startDelay) : startDelay;
        }
        const auto wait =
            best.value_or(Duration(0)) + queueWait(capacity(name, now), backlog(name));
        constexpr std::int64_t MaxWaitMs = 60000;
        room.waitMs = static_cast<std::uint16_t>(std::min<std::int64_t>(
            std::chrono::duration_cast<milliseconds>(wait).count(), MaxWaitMs));
        share.rooms.push_back(room);
    }
    return share;
}

void Scheduler::loadSeen(const EndpointId &endpoint, const Dialect::LoadSample &sample, Time now)
{
    if (auto *state = book_.find(endpoint)) {
        state->sample = sample;
        state->sampledAt = now;
    }
}

bool Scheduler::limitSeen(const EndpointId &endpoint, std::optional<double> perSecond, Time now)
{
    const bool changed = book_.limitSeen(endpoint, {perSecond, now});
    book_.divideLimits(self_, instances_, now);
    return changed;
}

void Scheduler::coldSeen(const EndpointId &endpoint, Duration left, Time now)
{
    if (auto *state = book_.find(endpoint)) {
        state->coldUntil = now + left;
    }
}

// Placing.

bool Scheduler::homeAllowed(const CallFacts &facts) const
{
    return facts.allowedRegions.empty() || contains(facts.allowedRegions, home_);
}

// Steps of a request.

Effects Scheduler::submit(CallFacts facts, Time now)
{
    Effects effects;
    book_.refreshLoad(now);
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
    if (quarantine_.verdict(facts.fingerprint, now) == Decisions::Verdict::Quarantined) {
        reject(call, RejectReason::Quarantined, Decisions::QuarantineOptions().firstQuarantine, now,
               effects);
        return;
    }
    const bool atHome = homeAllowed(facts) && !book_.usable(facts.service).empty();
    if (!atHome) {
        const auto offer = facts.forwarded ? std::nullopt
                                           : rooms_.any(facts.service, facts.allowedRegions,
                                                        call.triedRegions, now);
        if (!forward(call, offer, now, effects)) {
            reject(call, RejectReason::NoEndpoint, NoEndpointRetryAfter, now, effects);
        }
        return;
    }
    const auto candidate = placement_.choose(call, now);
    if (candidate && placement_.fits(call, *candidate, now)
        && send(call, *candidate, now, effects)) {
        return;
    }
    const auto wait = bestWait(call, now);
    if (forwardIfBetter(call, wait, now, effects)) {
        return;
    }
    const auto withMargin = scaled(wait, 1 / options_.admissionShare);
    if (hopeless(call, candidate, withMargin, now) || !mayWait
        || queue_.size() >= options_.queueLimit) {
        reject(call, RejectReason::Overloaded, wait, now, effects);
        return;
    }
    enqueue(call);
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
    call.takenBack = false;
    call.aloneAtSend = endpoint.idle();
    call.placeFreeAtSend = endpoint.load() < record.slots;
    call.tried.push_back(record.id);
    ++call.tries;
    ++endpoint.own;
    book_.sent(call.facts.service, now);
    endpoint.reading.add(now,
                         book_.engine(call.facts.service).busyReadTime(candidate.prefillTokens));
    notice(endpoint, call);
    endpoint.cache.use(call.facts.parts);
    // The last part is the request's own: nobody else asks for it.
    const auto &parts = call.facts.parts;
    book_.placed(endpoint, {parts.begin(), parts.empty() ? parts.end() : parts.end() - 1}, now);
    endpoint.trial = endpoint.restsUntil.has_value();
    if (endpoint.cold(now)) {
        endpoint.coldGate.sent(now);
    }
    endpoint.limit.sent(now);
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

bool Scheduler::forward(Call &call, const std::optional<RegionRooms::Offer> &offer, Time now,
                        Effects &effects)
{
    if (!offer) {
        return false;
    }
    dequeue(call);
    rooms_.sent(offer->region, call.facts.service, now);
    call.endpoint = EndpointId();
    call.region = offer->region;
    call.triedRegions.push_back(offer->region);
    call.sentAt = now;
    call.expected = offer->wait + options_.regionRoundTrip;
    call.answering = false;
    call.takenBack = false;
    ++call.tries;
    const int runsLeft = std::max(1, call.facts.maxRuns - call.runs);
    effects.push_back(Forward{call.facts.id, offer->region, runsLeft});
    return true;
}

bool Scheduler::forwardIfBetter(Call &call, Duration homeWait, Time now, Effects &effects)
{
    const auto &facts = call.facts;
    if (facts.forwarded) {
        return false;
    }
    const auto offer = rooms_.best(facts.service, facts.allowedRegions, call.triedRegions, now);
    if (!offer) {
        return false;
    }
    const bool better = offer->wait + options_.regionRoundTrip < homeWait;
    return better && forward(call, offer, now, effects);
}

Duration Scheduler::spread(Duration wait)
{
    std::uniform_real_distribution<double> factor(1 - options_.retryAfterJitter,
                                                  1 + options_.retryAfterJitter);
    const auto bounded = std::clamp<Duration>(wait, options_.retryAfterMin, options_.retryAfterMax);
    return scaled(bounded, factor(random_));
}

void Scheduler::reject(Call &call, RejectReason reason, Duration wait, Time, Effects &effects)
{
    dequeue(call);
    if (call.runs > 0) {
        // An earlier try may have run: the promise that it has not would be false.
        fail(call, effects);
        return;
    }
    const auto id = call.facts.id;
    const auto retryAfter = reason == RejectReason::Quarantined ? wait : spread(wait);
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
    book_.divideLimits(self_, instances_, now);
    pump(now, effects);
    takeBackSilent(now, effects);
    quarantine_.expire(now);
    return effects;
}

nlohmann::json Scheduler::dump(Time now) const
{
    auto endpoints = nlohmann::json::array();
    for (const auto *endpoint : book_.all()) {
        endpoints.push_back({{"id", endpoint->listed.record.id.text()},
                             {"service", endpoint->listed.record.service.text()},
                             {"leaving", endpoint->listed.leaving},
                             {"missing", endpoint->listed.missing},
                             {"evacuated", endpoint->evacuated},
                             {"cold", endpoint->cold(now)},
                             {"rests", endpoint->restsUntil.has_value()},
                             {"own", endpoint->own},
                             {"others", endpoint->others},
                             {"assumed", endpoint->assumed},
                             {"slowness", endpoint->slowness},
                             {"limit", endpoint->limit.statement().perSecond.value_or(-1)},
                             {"error_share", endpoint->errorShare}});
    }
    return {{"instance", self_.text()},           {"region", home_.text()},
            {"instances", instances_.size()},     {"requests", calls_.size()},
            {"waiting", queue_.size()},           {"endpoints", endpoints},
            {"quarantine", quarantine_.dump(now)}};
}

} // namespace LaburnumChute::Dispatch
