#include "Dispatch/Placement.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/SlotQuota.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Time for which an endpoint's statement that it is full is valid.
constexpr milliseconds SampleLifetime{150};
/// Other instances make the same choices, so one more request of this instance stands for several
/// of theirs.
constexpr double OwnWeight = 3;
/// Random cost in milliseconds that decides between endpoints whose load is known and equal.
constexpr double TieBreak = 0.5;

} // namespace

Placement::Placement(const DispatchOptions &options, EndpointTable &table,
                     const Reachability &reachability, PauseModels &pauses,
                     StreamGrouping &grouping, InstanceId self, std::uint64_t seed, Time startedAt)
    : options_(&options)
    , table_(&table)
    , reachability_(&reachability)
    , pauses_(&pauses)
    , grouping_(&grouping)
    , self_(std::move(self))
    , random_(seed)
    , startedAt_(startedAt)
    , sharers_({self_})
{
}

void Placement::setBounds(const Catalog::Bounds &bounds)
{
    bounds_ = bounds;
}

void Placement::setSharers(const std::vector<InstanceId> &known, std::size_t count)
{
    sharers_ = known;
    sharerCount_ = std::max<std::size_t>(1, count);
}

int Placement::coldQuota(const EndpointState &endpoint, const Catalog::Service &service) const
{
    const double bound = (service.coldRate * bounds_.coldOvershoot + bounds_.coldSlack)
                         * options_->sharedBoundFraction;
    return ColdRateLimit::quota(bound, endpoint.listed.record.id, self_, sharers_, sharerCount_);
}

bool Placement::hasSpareCapacity(const EndpointState &endpoint, std::size_t position,
                                 const Catalog::Service &service, const Call &call, Time now) const
{
    const int slots = endpoint.listed.record.slots;
    const auto &sample = endpoint.sample;
    const bool sampled = now - endpoint.sampledAt < SampleLifetime;
    if (table_->brittleness().brittle(service.name)) {
        // Fixed parts of the slots do not depend on what is known of the other instances.
        const auto &all = reachability_->all();
        return endpoint.own < slotQuota(position, slots, all.rank, all.count);
    }
    if (service.engine) {
        const bool reportsFull = sampled && sample.waiting > 0 && sample.running >= sample.slots;
        const auto sharers = reachability_->sharers(service.name);
        const int quota = slotQuota(position, slots, sharers.rank, sharers.count);
        // Each other instance is assumed to have sent as many requests here since its last report
        // as this one has.
        const auto sentByAll = endpoint.own * static_cast<int>(sharers.count);
        const bool belowThreshold = endpoint.others + sentByAll < slots * options_->quotaThreshold;
        return !reportsFull && (belowThreshold || endpoint.own < quota);
    }
    // The endpoint's own queue is the only one that all instances share.
    const auto objective = call.facts.objectiveAt - call.facts.arrivedAt;
    const auto perSlot =
        inMilliseconds(objective).count() * options_->plainQueueFraction
        / std::max(1.0, inMilliseconds(endpoint.holdTime).count() * endpoint.workFactor(now));
    const int queue = static_cast<int>(slots * std::min(perSlot, options_->plainQueuePerSlot));
    const bool reportsFull = sampled && sample.waiting >= queue && sample.running >= sample.slots;
    return !reportsFull && std::lround(endpoint.load()) < slots + queue;
}

bool Placement::available(const EndpointState &endpoint, std::size_t position,
                          const Catalog::Service &service, const Call &call, Time now) const
{
    if (endpoint.ejectedUntil && (now < *endpoint.ejectedUntil || endpoint.probing)) {
        return false;
    }
    if (!endpoint.rest.allows(now)) {
        return false;
    }
    const bool coldLimited = endpoint.cold(now) && service.coldRate > 0;
    // After a power failure a region's instances and endpoints start at the same time. Instances
    // that do not know their peers yet would each use the whole limit.
    const bool peersUnknown = now - startedAt_ < options_->peersKnownAfter;
    if (coldLimited && peersUnknown) {
        return false;
    }
    if (coldLimited && !endpoint.coldRateLimit.allows(coldQuota(endpoint, service), now)) {
        return false;
    }
    if (!endpoint.limit.allows(now)) {
        return false;
    }
    return hasSpareCapacity(endpoint, position, service, call, now)
           && !contains(call.attemptedEndpoints, endpoint.listed.record.id);
}

Duration Placement::engineWait(const EndpointState &endpoint, Time now) const
{
    const auto prefill = endpoint.prefillQueue.wait(now);
    const auto running = scaled(options_->delayPerRunning, endpoint.load());
    return scaled(prefill + running, endpoint.slowness * endpoint.workFactor(now));
}

Duration Placement::plainWait(const EndpointState &endpoint, Time now) const
{
    const int slots = endpoint.listed.record.slots;
    const double excess = std::max(0.0, endpoint.load() + 1 - slots);
    return scaled(endpoint.holdTime, (1 + excess / slots) * endpoint.workFactor(now));
}

Placement::CacheHolders Placement::cacheHolders(const Call &call, const Catalog::Service &service,
                                                Time now) const
{
    CacheHolders holders;
    const bool measured = TransferModel::knows(*service.engine);
    const auto add = [&](const CacheHolder &holder, std::int64_t atLeast) {
        if (holder.tokens >= atLeast) {
            holders.most = holder;
        }
        if (measured && holder.tokens >= options_->copyMinimumTokens) {
            holders.all.push_back(holder);
            holders.all.back().freeAt = table_->transfers().freeAt(shortId(holder.record->id), now);
        }
    };
    for (const auto *endpoint : table_->running(call.facts.service)) {
        const bool reachable = !endpoint->ejectedUntil && !endpoint->evacuated
                               && endpoint->rest.left(now) == Duration(0)
                               && (!endpoint->listed.endsAt || now < *endpoint->listed.endsAt);
        if (reachable) {
            const auto cached = endpoint->cache.cachedTokens(call.facts.parts);
            add({&endpoint->listed.record, endpoint, cached, now}, holders.most.tokens + 1);
        }
    }
    // A prompt that is restricted to certain regions may be cached only there.
    for (const auto *remote : table_->remote(call.facts.service)) {
        const auto cached = remote->cache.cachedTokens(call.facts.parts);
        add({&remote->listed.record, nullptr, cached, now},
            holders.most.tokens + options_->copyMinimumTokens);
    }
    return holders;
}

const EndpointState *Placement::preferredEndpoint(const Call &call) const
{
    const auto &parts = call.facts.parts;
    const auto large = std::find_if(parts.begin(), parts.end(), [this](const auto &part) {
        return part.tokens >= options_->copyMinimumTokens;
    });
    if (large == parts.end()) {
        return nullptr;
    }
    const auto key = std::to_string(large->id);
    const EndpointState *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto *endpoint : table_->usable(call.facts.service)) {
        const auto weight = Common::rendezvousWeight(key, endpoint->listed.record.id.text());
        if (!endpoint->ejectedUntil && (best == nullptr || weight > bestWeight)) {
            best = endpoint;
            bestWeight = weight;
        }
    }
    return best;
}

/// Cost of generating the answer on the endpoint and of delaying the answers generated there during
/// prefill. In milliseconds of waiting for the first event: delays of the rest of an answer are
/// relative to the deadline, delays of the first event to the objective, so the former are scaled
/// by the ratio of the objective to the deadline. Where answers are paused too long by the delays,
/// the cost of that replaces the cost of the delays.
double Placement::generationCost(const EndpointState &endpoint, const Call &call, Duration prefill,
                                 double pauses, Time now) const
{
    const auto &facts = call.facts;
    const auto totalTime = inMilliseconds(facts.deadline - facts.arrivedAt).count();
    const auto objective = inMilliseconds(facts.objectiveAt - facts.arrivedAt).count();
    const double objectiveRatio = std::min(1.0, objective / std::max(1.0, totalTime));
    const auto &engine = table_->engine(facts.service);
    const auto usualPause = endpoint.pace.pause(engine.fastestPause(), now);
    const auto pause = inMilliseconds(usualPause).count() * endpoint.workFactor(now);
    const auto generating = engine.expectedEvents(facts.outputTokens) * pause;
    const auto delayed = inMilliseconds(prefill).count() * endpoint.load();
    const double disturbance = objectiveRatio * options_->disturbanceWeight * delayed;
    return objectiveRatio
               * (options_->generationWeight * generating + options_->disturbanceWeight * delayed)
           + std::max(0.0, pauses - disturbance);
}

Placement::PauseFacts Placement::pauseFacts(const Call &call, Time now)
{
    const auto &facts = call.facts;
    const auto &engines = table_->usable(facts.service);
    auto &model = pauses_->of(facts.service);
    model.refresh(now);
    if (!model.active() || engines.empty()) {
        return {};
    }
    PauseFacts pauses;
    pauses.model = &model;
    if (isShortStream(facts, *options_)) {
        const auto streams = table_->loadEstimate().shortStreams(
            shortId(facts.service), grouping_->inProgress(facts.service));
        grouping_->resize(facts.service, streams, engines.size(),
                          engines.front()->listed.record.slots, now);
        auto group = grouping_->group(facts.service, engines, now);
        if (group.size() < engines.size()) {
            pauses.group = std::move(group);
        }
    }
    return pauses;
}

/// Load pattern: engines that prefill in large chunks. A stream that is paused too long counts as
/// much as a first event that is late.
double Placement::pauseCost(const Candidate &candidate, const Call &call)
{
    const auto objective = inMilliseconds(call.facts.objectiveAt - call.facts.arrivedAt).count();
    return candidate.endpoint->load() * candidate.pauseRisk * objective;
}

/// More than the load of a full group costs, so that engines of the group are preferred until they
/// are full, and the cost of the pauses that the stream is exposed to elsewhere.
double Placement::groupCost(const Candidate &candidate, const Call &call,
                            const PauseFacts &pauses) const
{
    if (candidate.grouped.value_or(true)) {
        return 0;
    }
    const int slots = candidate.endpoint->listed.record.slots;
    const auto objective = inMilliseconds(call.facts.objectiveAt - call.facts.arrivedAt).count();
    return slots * costOfRequest(*options_, slots).count() + pauses.model->meanShare() * objective;
}

/// Random cost that decides between endpoints with similar load. While no load is assumed,
/// instances that distribute their own requests evenly load all endpoints evenly without
/// coordination. Otherwise an endpoint is chosen more often the more of its load is assumed rather
/// than known, so that many instances do not all choose the one that was reported as the least
/// busy.
double Placement::tieBreak(const EndpointState &endpoint)
{
    if (endpoint.assumed <= 0) {
        std::uniform_real_distribution<double> distribution(0, 1);
        return distribution(random_);
    }
    const auto perRequest = costOfRequest(*options_, endpoint.listed.record.slots).count();
    const double assumedFraction = endpoint.assumed / (1 + endpoint.assumed);
    const double loadRatio = (1 + endpoint.load()) / (1 + endpoint.assumed);
    std::exponential_distribution<double> distribution(1);
    return OwnWeight * perRequest * endpoint.own
           + TieBreak * (1 + assumedFraction * loadRatio) * distribution(random_);
}

/// Load pattern: a popular prompt part of gigabytes is needed at several engines at once. Copies
/// from one holder would wait for each other, while other holders' links are free and some engines
/// would prefill the part sooner.
void Placement::planCopy(Candidate &candidate, const Catalog::Service &service, const Call &call,
                         const CacheHolders &holders, Time now)
{
    const auto &facts = call.facts;
    const auto &target = *candidate.endpoint;
    const auto cached = target.cache.cachedTokens(facts.parts);
    candidate.prefillTokens = std::max<std::int64_t>(0, facts.promptTokens - cached);
    const auto &traits = *service.engine;
    const auto &most = holders.most;
    const bool mayCopy = traits.supportsCacheTransfer && most.endpoint != &target
                         && most.tokens - cached >= options_->copyMinimumTokens;
    if (!mayCopy) {
        return;
    }
    if (!TransferModel::knows(traits)) {
        const auto time =
            most.endpoint != nullptr ? options_->copyTime : options_->copyTimeBetweenRegions;
        const auto bytes = static_cast<double>(most.tokens - cached) * traits.cacheBytesPerToken;
        candidate.copy = CacheCopy{most.record->id, most.tokens - cached, bytes, Duration(0), time};
        candidate.copyFrom = most.record->address;
        candidate.prefillTokens = std::max<std::int64_t>(0, facts.promptTokens - most.tokens);
        return;
    }
    const auto &engine = table_->engine(service.name);
    const auto &model = table_->transferModel(service.name);
    const auto targetFreeAt = table_->transfers().freeAt(shortId(target.listed.record.id), now);
    const double workFactor = target.workFactor(now);
    const auto again = scaled(engine.prefillTime(candidate.prefillTokens), workFactor);
    const auto beforePrefill = options_->firstEventFloor + candidate.wait;
    std::optional<Duration> soonest;
    for (const auto &holder : holders.all) {
        const auto tokens = holder.tokens - cached;
        if (holder.endpoint == &target || tokens < options_->copyMinimumTokens) {
            continue;
        }
        const auto path =
            holder.endpoint != nullptr ? TransferPath::WithinRegion : TransferPath::BetweenRegions;
        const auto time = model.time(traits, tokens, path, now);
        const auto wait = std::max(holder.freeAt, targetFreeAt) - now;
        const auto rest = std::max<std::int64_t>(0, facts.promptTokens - holder.tokens);
        const auto prefill = scaled(engine.prefillTime(rest), workFactor);
        const auto total = wait + time.expected + prefill;
        if (total + time.deviation >= again || (soonest && total >= *soonest)) {
            continue;
        }
        soonest = total;
        const auto bytes = static_cast<double>(tokens) * traits.cacheBytesPerToken;
        candidate.copy = CacheCopy{holder.record->id, tokens, bytes, wait, time.expected};
        candidate.copyFrom = holder.record->address;
        candidate.copyTime = time;
        candidate.prefillTokens = rest;
        candidate.measuredCopy = MeasuredCopy{holder.record->id,
                                              runId(*holder.record),
                                              path,
                                              tokens,
                                              wait,
                                              beforePrefill + wait + prefill,
                                              beforePrefill + again};
    }
    candidate.prefillsSooner = !soonest;
    // The wait for links is caused by other requests, like that for the engine.
    candidate.wait += candidate.copy ? candidate.copy->wait : Duration(0);
}

Candidate Placement::evaluate(EndpointState &endpoint, const Catalog::Service &service,
                              const Call &call, const CacheHolders &holders,
                              const PauseFacts &pauses, Time now)
{
    Candidate candidate;
    candidate.endpoint = &endpoint;
    double extraMs = 0;
    if (service.engine) {
        candidate.wait = engineWait(endpoint, now);
        planCopy(candidate, service, call, holders, now);
        const auto usual = table_->engine(service.name).prefillTime(candidate.prefillTokens);
        const auto prefill = scaled(usual, endpoint.workFactor(now));
        candidate.expected = options_->firstEventFloor + candidate.wait + prefill
                             + (candidate.copy ? candidate.copy->time : Duration(0));
        // To prefill a part again evicts another one as well.
        if (candidate.copy || candidate.prefillsSooner) {
            extraMs += inMilliseconds(options_->copyCost).count();
        }
        if (pauses.model != nullptr) {
            const auto tokens = static_cast<double>(candidate.prefillTokens);
            candidate.pausesKnown = true;
            candidate.pauseRisk = pauses.model->share(tokens * endpoint.workFactor(now));
        }
        if (pauses.group) {
            candidate.grouped = contains<const EndpointState *>(*pauses.group, &endpoint);
        }
        extraMs += generationCost(endpoint, call, prefill, pauseCost(candidate, call), now)
                   + groupCost(candidate, call, pauses);
    } else {
        candidate.expected = plainWait(endpoint, now);
        candidate.wait = candidate.expected - scaled(endpoint.holdTime, endpoint.workFactor(now));
    }
    const auto objective = inMilliseconds(call.facts.objectiveAt - call.facts.arrivedAt).count();
    const double slots = endpoint.listed.record.slots;
    const auto loadCost = scaled(options_->loadCost, endpoint.load() / slots);
    const auto missingCost = endpoint.listed.missing ? options_->missingCost : milliseconds(0);
    // While no request waits there, a new one finds out whether it is still silent.
    const bool mayFindOut = endpoint.own == 0 && call.attempts == 0;
    const auto silence = mayFindOut ? Duration(0) : endpoint.silence(now);
    candidate.cost = inMilliseconds(candidate.expected + loadCost + missingCost + silence).count()
                     + extraMs + endpoint.errorRate * objective + tieBreak(endpoint);
    return candidate;
}

std::optional<Candidate> Placement::choose(const Call &call, Time now)
{
    const auto *service = table_->service(call.facts.service);
    if (service == nullptr) {
        return std::nullopt;
    }
    // While none of the endpoints is reached, one probe at a time shows when that changes.
    if (table_->unreachable(service->name) && table_->probing(service->name)) {
        return std::nullopt;
    }
    const auto holders = service->engine ? cacheHolders(call, *service, now) : CacheHolders();
    const auto pauses = service->engine ? pauseFacts(call, now) : PauseFacts();
    const bool cachedHere =
        holders.most.endpoint != nullptr && holders.most.tokens >= options_->copyMinimumTokens;
    const auto *preferred = service->engine && !cachedHere ? preferredEndpoint(call) : nullptr;
    std::optional<Candidate> best;
    std::optional<Candidate> bestNow;
    std::optional<Candidate> atPreferred;
    const auto &usable = table_->usable(call.facts.service);
    for (std::size_t position = 0; position < usable.size(); ++position) {
        auto *endpoint = usable[position];
        if (!available(*endpoint, position, *service, call, now)) {
            continue;
        }
        const auto candidate = evaluate(*endpoint, *service, call, holders, pauses, now);
        if (endpoint == preferred) {
            atPreferred = candidate;
        }
        if (!best || candidate.cost < best->cost) {
            best = candidate;
        }
        if (candidate.pausesKnown && (!bestNow || candidate.cost < bestNow->cost)
            && shouldSend(call, candidate, now)) {
            bestNow = candidate;
        }
    }
    // To avoid pauses of others is no reason to let the request wait.
    if (bestNow && !shouldSend(call, *best, now)) {
        return bestNow;
    }
    const auto tolerance = inMilliseconds(options_->preferredTolerance).count();
    return atPreferred && atPreferred->cost <= best->cost + tolerance ? atPreferred : best;
}

bool Placement::shouldSend(const Call &call, const Candidate &candidate, Time now) const
{
    const auto objective = call.facts.objectiveAt - call.facts.arrivedAt;
    const auto left = call.facts.objectiveAt - now;
    // A request that may have run cannot be rejected for a retry. A late answer is better than an
    // error.
    if (call.runs > 0 && now + candidate.expected < call.facts.deadline) {
        return true;
    }
    const auto soon = scaled(objective, options_->objectiveFraction);
    // A prompt that would miss the objective even on an idle engine is judged by its wait for other
    // requests; otherwise the largest requests would never be sent.
    return candidate.expected <= std::min<Duration>(soon, left)
           || candidate.wait <= scaled(objective, options_->waitFraction);
}

} // namespace LaburnumChute::Dispatch
