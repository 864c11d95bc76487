#include "Dispatch/EndpointTable.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>

namespace LaburnumChute::Dispatch {

namespace {

/// The expected load changes little in the time that a datagram takes.
constexpr milliseconds LoadRefreshInterval{10};
/// About the age of the load reports that contain the rates.
constexpr milliseconds RateAveragingTime{500};
/// Equal to the interval at which other instances report their demand.
constexpr milliseconds LimitDivisionInterval{250};

} // namespace

Milliseconds costOfRequest(const DispatchOptions &options, int slots)
{
    return inMilliseconds(options.delayPerRunning)
           + inMilliseconds(options.loadCost) / std::max(1, slots);
}

EndpointTable::EndpointTable(const DispatchOptions &options)
    : options_(&options)
    , transferReports_(options)
{
}

void EndpointTable::setServices(const std::map<ServiceName, Catalog::Service> &services)
{
    services_ = services;
    rebuild();
}

void EndpointTable::setEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints,
                                 const std::set<Common::FailureDomainName> &evacuated, Time now)
{
    evacuated_ = evacuated;
    for (auto &[id, state] : endpoints_) {
        state->removed = true;
    }
    for (const auto &endpoint : endpoints) {
        updateEndpoint(endpoint, now);
    }
    dropRemoved();
    rebuild();
}

void EndpointTable::updateEndpoints(const EndpointChanges &changes, Time now)
{
    bool changed = !changes.updated.empty();
    for (const auto &id : changes.removed) {
        if (auto *state = find(id)) {
            state->removed = true;
            changed = true;
        }
    }
    for (const auto &endpoint : changes.updated) {
        updateEndpoint(endpoint, now);
    }
    if (changed) {
        dropRemoved();
        rebuild();
    }
}

void EndpointTable::updateEndpoint(const Catalog::ListedEndpoint &endpoint, Time now)
{
    const auto &record = endpoint.record;
    auto &state = endpoints_[record.id];
    const bool isNew = !state;
    if (isNew) {
        state = std::make_unique<EndpointState>();
    }
    const bool sameIncarnation = !isNew && state->listed.record.startedAt == record.startedAt;
    if (!isNew && !sameIncarnation) {
        // The endpoint has restarted under its old id: nothing known about it applies any more.
        const int own = state->own;
        transfers_.discard(shortId(record.id), now);
        *state = EndpointState();
        state->own = own;
    }
    if (!sameIncarnation) {
        state->speed = EndpointSpeed(now);
    }
    state->speedModel = &speedModel(record.service);
    state->removed = false;
    state->coldUntil = std::max(state->coldUntil, endpoint.coldUntil);
    const bool wasEvacuated = state->evacuated;
    state->evacuated = evacuated_.count(record.failureDomain) > 0;
    if (wasEvacuated && !state->evacuated) {
        // It received no requests for a while and may be cold.
        const auto service = services_.find(record.service);
        const auto cold = service != services_.end() ? service->second.coldTime : Duration(0);
        state->coldUntil = std::max(state->coldUntil, now + cold);
    }
    state->listed = endpoint;
    state->listed.leaving = endpoint.leaving || state->saidLeaving;
    state->run = runId(record);
}

void EndpointTable::dropRemoved()
{
    std::erase_if(endpoints_,
                  [](const auto &item) { return item.second->removed && item.second->own == 0; });
    for (auto &[id, state] : endpoints_) {
        state->listed.leaving = state->listed.leaving || state->removed;
    }
}

void EndpointTable::rebuild()
{
    usable_.clear();
    running_.clear();
    byShortId_.clear();
    std::unordered_map<std::string_view, const EndpointState *> newestAt;
    for (const auto &[id, state] : endpoints_) {
        auto &newest = newestAt[state->listed.record.address];
        if (newest == nullptr || newest->listed.record.startedAt < state->listed.record.startedAt) {
            newest = state.get();
        }
    }
    for (const auto &[id, state] : endpoints_) {
        const auto &record = state->listed.record;
        const auto service = services_.find(record.service);
        // Addresses are reused: an earlier endpoint at the same address no longer exists.
        const bool current = newestAt[record.address] == state.get();
        if (service == services_.end() || !current) {
            continue;
        }
        byShortId_[shortId(id)] = state.get();
        state->cache.setCapacity(cacheCapacity(record.service));
        running_[record.service].push_back(state.get());
        if (!state->listed.leaving && !state->evacuated) {
            usable_[record.service].push_back(state.get());
        }
    }
}

std::int64_t EndpointTable::cacheCapacity(const ServiceName &name) const
{
    const auto service = services_.find(name);
    if (service == services_.end() || !service->second.engine) {
        return 0;
    }
    const auto tokens = static_cast<double>(service->second.engine->cacheTokens);
    return static_cast<std::int64_t>(tokens * options_->cacheFraction);
}

void EndpointTable::setRemoteEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints)
{
    std::set<EndpointId> listed;
    for (const auto &endpoint : endpoints) {
        listed.insert(endpoint.record.id);
        updateRemoteEndpoint(endpoint);
    }
    std::erase_if(remote_, [&](const auto &item) { return listed.count(item.first) == 0; });
    rebuildRemote();
}

void EndpointTable::updateRemoteEndpoints(const EndpointChanges &changes)
{
    bool changed = !changes.updated.empty();
    for (const auto &id : changes.removed) {
        changed = remote_.erase(id) > 0 || changed;
    }
    for (const auto &endpoint : changes.updated) {
        updateRemoteEndpoint(endpoint);
    }
    if (changed) {
        rebuildRemote();
    }
}

void EndpointTable::updateRemoteEndpoint(const Catalog::ListedEndpoint &endpoint)
{
    auto &remote = remote_[endpoint.record.id];
    if (remote.listed.record.startedAt != endpoint.record.startedAt) {
        remote.cache.clear();
    }
    remote.listed = endpoint;
    remote.cache.setCapacity(cacheCapacity(endpoint.record.service));
}

void EndpointTable::rebuildRemote()
{
    remoteByService_.clear();
    remoteByShortId_.clear();
    for (auto &[id, remote] : remote_) {
        remoteByShortId_[shortId(id)] = &remote;
        if (!remote.listed.leaving && !remote.listed.missing) {
            remoteByService_[remote.listed.record.service].push_back(&remote);
        }
    }
}

void EndpointTable::setRemotePlacements(const std::vector<PartPlacement> &placements)
{
    for (const auto &placement : placements) {
        const auto found = remoteByShortId_.find(placement.endpoint);
        if (found != remoteByShortId_.end()) {
            found->second->cache.use(Dialect::PromptPart{placement.part, placement.tokens});
        }
    }
}

const std::vector<const RemoteEndpoint *> &EndpointTable::remote(const ServiceName &name) const
{
    static const std::vector<const RemoteEndpoint *> none;
    const auto found = remoteByService_.find(name);
    return found == remoteByService_.end() ? none : found->second;
}

bool EndpointTable::limitSeen(const EndpointId &id, const LimitStatement &statement)
{
    auto *state = find(id);
    const bool changed = state != nullptr && state->limit.update(statement);
    limitsChanged_ = limitsChanged_ || changed;
    return changed;
}

bool EndpointTable::leavingSeen(const EndpointId &id)
{
    auto *state = find(id);
    if (state == nullptr || state->listed.leaving) {
        return false;
    }
    state->saidLeaving = true;
    state->listed.leaving = true;
    rebuild();
    return true;
}

void EndpointTable::divideLimits(const InstanceId &self, const std::vector<InstanceId> &instances,
                                 Time now)
{
    if (!limitsChanged_ && now - limitsDividedAt_ < LimitDivisionInterval) {
        return;
    }
    limitsChanged_ = false;
    limitsDividedAt_ = now;
    for (const auto &[id, state] : endpoints_) {
        if (!state->limit.limited()) {
            continue;
        }
        const auto &service = state->listed.record.service;
        std::vector<InstanceDemand> demands;
        demands.reserve(instances.size());
        for (const auto &instance : instances) {
            const double demand = instance == self
                                      ? sentPerSecond(service, now)
                                      : estimate_.sentPerSecond(instance, shortId(service));
            demands.push_back({instance, demand});
        }
        state->limit.setFraction(limitFraction(id, self, state->limit.perSecond(), demands), now);
    }
}

void EndpointTable::noticeTransfer(const EndpointState &target, const PromptNotice &notice,
                                   Time now)
{
    const auto &name = target.listed.record.service;
    const auto *traits = service(name);
    if (notice.source == 0 || traits == nullptr || !traits->engine
        || !TransferModel::knows(*traits->engine)) {
        return;
    }
    const auto source = byShortId_.find(notice.source);
    const auto path = source == byShortId_.end()
                          ? TransferPath::BetweenRegions
                          : transferPath(source->second->listed.record, target.listed.record, true);
    auto &model = transferReports_.model(name);
    transfers_.add(std::nullopt, notice.source, notice.endpoint,
                   model.time(*traits->engine, notice.copiedTokens, path, now), now);
    model.tried(path, now);
}

bool EndpointTable::couldCopyFrom(const EndpointId &source, RunId run, Time since) const
{
    if (const auto *state = find(source)) {
        const bool ejected = state->ejectedUntil || state->ejectedAt >= since;
        return state->run == run && !state->listed.leaving && !state->evacuated && !ejected;
    }
    const auto found = remote_.find(source);
    if (found == remote_.end()) {
        return false;
    }
    const auto &listed = found->second.listed;
    return runId(listed.record) == run && !listed.leaving && !listed.missing;
}

void EndpointTable::forgetParts(const EndpointId &id, const std::vector<Dialect::PromptPart> &parts)
{
    const auto found = remote_.find(id);
    if (auto *state = find(id)) {
        state->cache.forget(parts);
    } else if (found != remote_.end()) {
        found->second.cache.forget(parts);
    }
}

std::vector<PartPlacement> EndpointTable::caches() const
{
    std::vector<PartPlacement> placements;
    for (const auto &[id, state] : byShortId_) {
        for (const auto &part : state->cache.parts()) {
            if (part.tokens >= options_->copyMinimumTokens) {
                placements.push_back({id, part.id, static_cast<std::uint32_t>(part.tokens)});
            }
        }
    }
    return placements;
}

void EndpointTable::keepReports(const std::vector<InstanceId> &instances)
{
    estimate_.keep(instances);
    loadIsStale_ = true;
}

void EndpointTable::refreshLoad(Time now)
{
    if (!loadIsStale_ && now - loadAt_ < LoadRefreshInterval) {
        return;
    }
    loadIsStale_ = false;
    loadAt_ = now;
    for (auto &[id, state] : byShortId_) {
        state->others = 0;
        state->assumed = 0;
        state->prefillQueue.setWorkFactor(state->workFactor(now), now);
    }
    for (const auto &[name, service] : services_) {
        estimateLoad(name, now);
    }
}

void EndpointTable::estimateLoad(const ServiceName &name, Time now)
{
    std::vector<EndpointLoad> loads;
    std::vector<EndpointState *> states;
    for (auto *state : running(name)) {
        const auto &record = state->listed.record;
        const bool acceptsRequests = !state->listed.leaving && !state->evacuated
                                     && !state->ejectedUntil && !state->cold(now);
        loads.push_back({shortId(record.id), record.slots, state->reportedOwn, acceptsRequests});
        states.push_back(state);
    }
    // Engines are divided by slot quotas, so reports about them are used at full weight.
    const bool decayWithAge = !services_.at(name).engine;
    estimate_.estimate(shortId(name), loads, decayWithAge, now);
    for (std::size_t index = 0; index < loads.size(); ++index) {
        states[index]->others = loads[index].known + loads[index].assumed;
        states[index]->assumed = loads[index].assumed;
    }
}

void EndpointTable::sent(const ServiceName &name, Time now)
{
    auto &rate = sendRates_[name];
    rate.perSecond = rate.at(now) + 1 / Common::toSeconds(RateAveragingTime);
    rate.updatedAt = now;
}

double EndpointTable::sentPerSecond(const ServiceName &name, Time now) const
{
    const auto found = sendRates_.find(name);
    return found == sendRates_.end() ? 0 : found->second.at(now);
}

double EndpointTable::SendRate::at(Time now) const
{
    return perSecond
           * std::exp(-Common::toSeconds(now - updatedAt) / Common::toSeconds(RateAveragingTime));
}

const Catalog::Service *EndpointTable::service(const ServiceName &name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const std::vector<EndpointState *> &EndpointTable::usable(const ServiceName &name) const
{
    static const std::vector<EndpointState *> none;
    const auto found = usable_.find(name);
    return found == usable_.end() ? none : found->second;
}

bool EndpointTable::unreachable(const ServiceName &name) const
{
    const auto &endpoints = usable(name);
    return !endpoints.empty()
           && std::all_of(endpoints.begin(), endpoints.end(),
                          [](const auto *endpoint) { return endpoint->ejectedUntil.has_value(); });
}

bool EndpointTable::probing(const ServiceName &name) const
{
    const auto &endpoints = usable(name);
    return std::any_of(endpoints.begin(), endpoints.end(),
                       [](const auto *endpoint) { return endpoint->probing; });
}

const std::vector<EndpointState *> &EndpointTable::running(const ServiceName &name) const
{
    static const std::vector<EndpointState *> none;
    const auto found = running_.find(name);
    return found == running_.end() ? none : found->second;
}

EndpointState *EndpointTable::find(const EndpointId &id)
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : found->second.get();
}

const EndpointState *EndpointTable::find(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : found->second.get();
}

EngineModel &EndpointTable::engine(const ServiceName &name)
{
    return engines_.try_emplace(name, *options_).first->second;
}

SpeedModel &EndpointTable::speedModel(const ServiceName &name)
{
    return speedModels_.try_emplace(name).first->second;
}

std::vector<const EndpointState *> EndpointTable::all() const
{
    std::vector<const EndpointState *> states;
    for (const auto &[id, state] : endpoints_) {
        states.push_back(state.get());
    }
    return states;
}

std::set<RunId> EndpointTable::listedRuns() const
{
    std::set<RunId> runs;
    for (const auto &[id, state] : byShortId_) {
        if (!state->removed && !state->listed.missing) {
            runs.insert(state->run);
        }
    }
    for (const auto &[id, remote] : remote_) {
        if (!remote.listed.missing) {
            runs.insert(runId(remote.listed.record));
        }
    }
    return runs;
}

} // namespace LaburnumChute::Dispatch
