#include "Dispatch/Placement.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/SlotQuota.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// An endpoint that says it is full is believed for this long.
constexpr milliseconds SampleLifetime{150};
/// Other instances act alike, so that one request more of this one stands for some of theirs.
constexpr double OwnWeight = 3;
/// Milliseconds that decide between endpoints known to be alike.
constexpr double TieBreak = 0.5;

} // namespace

Placement::Placement(const DispatchOptions &options, EndpointBook &book, InstanceId self,
                     std::uint64_t seed, Time startedAt)
    : options_(&options)
    , book_(&book)
    , self_(std::move(self))
    , random_(seed)
    , startedAt_(startedAt)
    , instances_({self_})
{
}

void Placement::setBounds(const Catalog::Bounds &bounds)
{
    bounds_ = bounds;
}

void Placement::setInstances(const std::vector<InstanceId> &instances)
{
    instances_ = instances;
    rank_ = static_cast<std::size_t>(
        std::count_if(instances.begin(), instances.end(),
                      [this](const InstanceId &instance) { return instance < self_; }));
}

int Placement::coldQuota(const EndpointState &endpoint, const Catalog::Service &service) const
{
    const double bound =
        (service.coldRate * bounds_.coldOvershoot + bounds_.coldSlack) * options_->sharedBoundUse;
    return ColdGate::quota(bound, endpoint.listed.record.id, self_, instances_);
}

bool Placement::hasRoom(const EndpointState &endpoint, std::size_t position,
                        const Catalog::Service &service, const Call &call, Time now) const
{
    const int slots = endpoint.listed.record.slots;
    const auto &sample = endpoint.sample;
    const bool sampled = now - endpoint.sampledAt < SampleLifetime;
    if (service.engine) {
        const bool saysFull = sampled && sample.waiting > 0 && sample.running >= sample.slots;
        const int quota = slotQuota(position, slots, rank_, instances_.size());
        // The others are taken to have sent as much here since their last report as this one has.
        const auto sentByAll = endpoint.own * static_cast<int>(instances_.size());
        const bool calm = endpoint.others + sentByAll < slots * options_->calmShare;
        return !saysFull && (calm || endpoint.own < quota);
    }
    // The endpoint's own queue is the only one that all instances share.
    const auto objective = call.facts.objectiveAt - call.facts.arrivedAt;
    const auto rounds = inMilliseconds(objective).count() * options_->plainQueueShare
                        / std::max(1.0, inMilliseconds(endpoint.hold).count());
    const int queue = static_cast<int>(slots * std::min(rounds, options_->plainQueueRounds));
    const bool saysFull = sampled && sample.waiting >= queue && sample.running >= sample.slots;
    return !saysFull && std::lround(endpoint.load()) < slots + queue;
}

bool Placement::available(const EndpointState &endpoint, std::size_t position,
                          const Catalog::Service &service, const Call &call, Time now) const
{
    if (endpoint.restsUntil && (now < *endpoint.restsUntil || endpoint.trial)) {
        return false;
    }
    const bool limited = endpoint.cold(now) && service.coldRate > 0;
    // A region's instances and endpoints come back together after a loss of power. An instance that
    // has not heard of its neighbours yet would take the whole bound for itself, as would they.
    const bool alone = now - startedAt_ < options_->neighboursKnownAfter;
    if (limited && alone) {
        return false;
    }
    if (limited && !endpoint.coldGate.allows(coldQuota(endpoint, service), now)) {
        return false;
    }
    if (!endpoint.limit.allows(now)) {
        return false;
    }
    return hasRoom(endpoint, position, service, call, now)
           && !contains(call.tried, endpoint.listed.record.id);
}

Duration Placement::engineWait(const EndpointState &endpoint, Time now) const
{
    const auto reading = endpoint.reading.wait(now);
    const auto running = scaled(options_->delayPerRunning, endpoint.load());
    return scaled(reading + running, endpoint.slowness);
}

Duration Placement::plainWait(const EndpointState &endpoint) const
{
    const int slots = endpoint.listed.record.slots;
    const double excess = std::max(0.0, endpoint.load() + 1 - slots);
    return scaled(endpoint.hold, 1 + excess / slots);
}

Placement::Holder Placement::holderOf(const Call &call, Time now) const
{
    Holder holder;
    for (const auto *endpoint : book_->running(call.facts.service)) {
        const bool reachable = !endpoint->restsUntil && !endpoint->evacuated
                               && (!endpoint->listed.endsAt || now < *endpoint->listed.endsAt);
        const auto held = reachable ? endpoint->cache.cachedTokens(call.facts.parts) : 0;
        if (held > holder.tokens) {
            holder = {endpoint->listed.record.address, endpoint, held};
        }
    }
    // A prompt that is bound to its homes may have been read only there.
    for (const auto *remote : book_->remote(call.facts.service)) {
        const auto held = remote->cache.cachedTokens(call.facts.parts);
        if (held >= holder.tokens + options_->copyMinimumTokens) {
            holder = {remote->listed.record.address, nullptr, held};
        }
    }
    return holder;
}

const EndpointState *Placement::homeEndpoint(const Call &call) const
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
    for (const auto *endpoint : book_->usable(call.facts.service)) {
        const auto weight = Common::rendezvousWeight(key, endpoint->listed.record.id.text());
        if (!endpoint->restsUntil && (best == nullptr || weight > bestWeight)) {
            best = endpoint;
            bestWeight = weight;
        }
    }
    return best;
}

/// What it costs to make the answer there, and to hold up the answers that are made there already
/// while the prompt is read. In milliseconds of waiting for the first event: what delays the rest
/// of an answer counts by its part of the deadline, what delays the first event by its part of the
/// objective.
double Placement::generationCost(const EndpointState &endpoint, const Call &call, Duration reading,
                                 Time now) const
{
    const auto &facts = call.facts;
    const auto patience = inMilliseconds(facts.deadline - facts.arrivedAt).count();
    const auto objective = inMilliseconds(facts.objectiveAt - facts.arrivedAt).count();
    const double share = std::min(1.0, objective / std::max(1.0, patience));
    const auto &engine = book_->engine(facts.service);
    const auto pause = inMilliseconds(endpoint.pace.pause(engine.fastestPause(), now)).count();
    const auto generating = engine.expectedEvents(facts.outputTokens) * pause;
    const auto heldUp = inMilliseconds(reading).count() * endpoint.load();
    return share * (options_->generationWeight * generating + options_->disturbanceWeight * heldUp);
}

/// Chooses among endpoints that look alike. Instances that spread their own requests evenly load
/// all endpoints evenly, without a word between them. Beyond that, one is chosen the more often the
/// more of its load is assumed and not known, so that many instances do not meet at the one that
/// was told to be the least busy.
double Placement::tieBreak(const EndpointState &endpoint)
{
    if (endpoint.assumed <= 0) {
        std::uniform_real_distribution<double> drawn(0, 1);
        return drawn(random_);
    }
    const auto perRequest = costOfRequest(*options_, endpoint.listed.record.slots).count();
    const double unknown = endpoint.assumed / (1 + endpoint.assumed);
    const double rarity = (1 + endpoint.load()) / (1 + endpoint.assumed);
    std::exponential_distribution<double> drawn(1);
    return OwnWeight * perRequest * endpoint.own
           + TieBreak * (1 + unknown * rarity) * drawn(random_);
}

Candidate Placement::evaluate(EndpointState &endpoint, const Catalog::Service &service,
                              const Call &call, const Holder &holder, Time now)
{
    Candidate candidate;
    candidate.endpoint = &endpoint;
    double extraMs = 0;
    if (service.engine) {
        auto cached = endpoint.cache.cachedTokens(call.facts.parts);
        const bool copies = service.engine->supportsCacheTransfer && holder.endpoint != &endpoint
                            && holder.tokens - cached >= options_->copyMinimumTokens;
        Duration copying{0};
        if (copies) {
            cached = holder.tokens;
            candidate.copyFrom = holder.address;
            copying =
                holder.endpoint != nullptr ? options_->copyTime : options_->copyTimeBetweenRegions;
            extraMs += inMilliseconds(options_->copyCost).count();
        }
        candidate.tokensToRead = std::max<std::int64_t>(0, call.facts.promptTokens - cached);
        const auto reading = book_->engine(service.name).readTime(candidate.tokensToRead);
        candidate.wait = engineWait(endpoint, now);
        candidate.expected = options_->firstEventFloor + copying + candidate.wait + reading;
        extraMs += generationCost(endpoint, call, reading, now);
    } else {
        candidate.expected = plainWait(endpoint);
        candidate.wait = candidate.expected - endpoint.hold;
    }
    const auto objective = inMilliseconds(call.facts.objectiveAt - call.facts.arrivedAt).count();
    const double slots = endpoint.listed.record.slots;
    const auto loadCost = scaled(options_->loadCost, endpoint.load() / slots);
    const auto missingCost = endpoint.listed.missing ? options_->missingCost : milliseconds(0);
    candidate.cost = inMilliseconds(candidate.expected + loadCost + missingCost).count() + extraMs
                     + endpoint.errorShare * objective + tieBreak(endpoint);
    return candidate;
}

std::optional<Candidate> Placement::choose(const Call &call, Time now)
{
    const auto *service = book_->service(call.facts.service);
    if (service == nullptr) {
        return std::nullopt;
    }
    const auto holder = service->engine ? holderOf(call, now) : Holder();
    const bool heldHere =
        holder.endpoint != nullptr && holder.tokens >= options_->copyMinimumTokens;
    const auto *home = service->engine && !heldHere ? homeEndpoint(call) : nullptr;
    std::optional<Candidate> best;
    std::optional<Candidate> atHome;
    const auto &usable = book_->usable(call.facts.service);
    for (std::size_t position = 0; position < usable.size(); ++position) {
        auto *endpoint = usable[position];
        if (!available(*endpoint, position, *service, call, now)) {
            continue;
        }
        const auto candidate = evaluate(*endpoint, *service, call, holder, now);
        if (endpoint == home) {
            atHome = candidate;
        }
        if (!best || candidate.cost < best->cost) {
            best = candidate;
        }
    }
    const auto tolerance = inMilliseconds(options_->homeTolerance).count();
    return atHome && atHome->cost <= best->cost + tolerance ? atHome : best;
}

bool Placement::fits(const Call &call, const Candidate &candidate, Time now) const
{
    const auto objective = call.facts.objectiveAt - call.facts.arrivedAt;
    const auto left = call.facts.objectiveAt - now;
    // Whoever may have run can't be told to come back. Late is better than an error.
    if (call.runs > 0 && now + candidate.expected < call.facts.deadline) {
        return true;
    }
    const auto soon = scaled(objective, options_->objectiveShare);
    // A prompt that takes longer than the objective even on an idle engine is judged by what it has
    // to wait for others; else the largest requests would never be sent.
    return candidate.expected <= std::min<Duration>(soon, left)
           || candidate.wait <= scaled(objective, options_->waitShare);
}

} // namespace LaburnumChute::Dispatch
