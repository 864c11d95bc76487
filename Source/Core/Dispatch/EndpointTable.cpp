#include "Dispatch/EndpointTable.h"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>

namespace LaburnumChute::Dispatch {

namespace {

/// Placements are repeated in every report for this long, so that losing one does no harm.
constexpr milliseconds PlacementLifetime{1000};
constexpr milliseconds PlacementLifetimeOtherRegions{4000};
constexpr std::size_t MaxPlacements = 64;
/// Interval between the batches in which a new process reports the placements that it learned at
/// once: each batch is in two heartbeats within the region and in one to other regions.
constexpr milliseconds BatchInterval{500};
/// Bounds the size of a heartbeat. With more than a few instances, each has requests on fewer
/// endpoints.
constexpr std::size_t MaxUses = 512;
/// The expected load changes little in the time that a datagram takes.
constexpr milliseconds LoadRefreshInterval{10};
/// About the age of the load reports that contain the rates.
constexpr milliseconds RateAveragingTime{500};
/// Equal to the interval at which other instances report their demand.
constexpr milliseconds LimitDivisionInterval{250};
/// How long the end of a limit is reported, so that it reaches every instance of the region.
constexpr milliseconds EndedLimitLifetime{3000};
constexpr std::size_t MaxReportedLimits = 128;
/// More machines than this are not slow within one interval of reports.
constexpr std::size_t MaxReportedSpeeds = 64;
/// The age has two bytes in a report. An older figure has lost its value.
constexpr std::int64_t MaxSpeedAgeMs = 60000;

} // namespace

Milliseconds costOfRequest(const DispatchOptions &options, int slots)
{
    return inMilliseconds(options.delayPerRunning)
           + inMilliseconds(options.loadCost) / std::max(1, slots);
}

EndpointTable::EndpointTable(const DispatchOptions &options)
    : options_(&options)
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

void EndpointTable::setLoadReport(const InstanceId &instance, const RegionLoadReport &report,
                                  Time now)
{
    estimate_.reported(instance, report, now);
    loadIsStale_ = true;
    learn(report.placements);
    brittleness_.learn(report.brittle, now);
    learn(report.speeds, now);
    for (const auto &reported : report.limits) {
        const auto found = byShortId_.find(reported.endpoint);
        if (found != byShortId_.end()) {
            const auto limit = reported.limited ? std::optional(reported.perSecond) : std::nullopt;
            const auto at = now - milliseconds(reported.ageMs);
            limitsChanged_ = found->second->limit.update({limit, at}) || limitsChanged_;
        }
    }
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

std::vector<LimitReport> EndpointTable::limits(Time now) const
{
    std::vector<LimitReport> reports;
    for (const auto &[id, state] : endpoints_) {
        const auto &statement = state->limit.statement();
        const auto age = std::chrono::duration_cast<milliseconds>(now - statement.at);
        const auto ended = state->limit.endedAt();
        const bool reported =
            state->limit.limited() || (ended && now - *ended <= EndedLimitLifetime);
        if (reported && reports.size() < MaxReportedLimits) {
            reports.push_back({shortId(id), state->limit.limited(), statement.perSecond.value_or(0),
                               static_cast<std::uint32_t>(age.count())});
        }
    }
    return reports;
}

std::vector<SpeedReport> EndpointTable::takeSpeeds(Time now)
{
    std::vector<std::pair<Duration, SpeedReport>> byAge;
    for (const auto &[id, state] : endpoints_) {
        if (const auto figure = state->speed.takeReport()) {
            const auto age = now - figure->at;
            const auto ageMs = std::chrono::duration_cast<milliseconds>(age).count();
            byAge.emplace_back(age,
                               SpeedReport{shortId(id), static_cast<std::uint16_t>(figure->percent),
                                           static_cast<std::uint16_t>(
                                               std::clamp<std::int64_t>(ageMs, 0, MaxSpeedAgeMs))});
        }
    }
    std::sort(byAge.begin(), byAge.end(),
              [](const auto &left, const auto &right) { return left.first < right.first; });
    byAge.resize(std::min(byAge.size(), MaxReportedSpeeds));
    std::vector<SpeedReport> reports;
    for (const auto &[age, report] : byAge) {
        reports.push_back(report);
    }
    return reports;
}

void EndpointTable::learn(const std::vector<SpeedReport> &speeds, Time now)
{
    for (const auto &report : speeds) {
        const auto found = byShortId_.find(report.endpoint);
        if (found != byShortId_.end() && report.percent > 0) {
            found->second->speed.learn({report.percent, now - milliseconds(report.ageMs)});
        }
    }
}

void EndpointTable::learn(const std::vector<PartPlacement> &placements)
{
    for (const auto &placement : placements) {
        const auto found = byShortId_.find(placement.endpoint);
        if (found != byShortId_.end()) {
            found->second->cache.use(Dialect::PromptPart{placement.part, placement.tokens});
        }
    }
}

void EndpointTable::learn(const InstanceId &sender, const PromptNotice &notice, Time now)
{
    const auto found = byShortId_.find(notice.endpoint);
    if (found == byShortId_.end()) {
        return;
    }
    auto &state = *found->second;
    const auto &model = engine(state.listed.record.service);
    state.prefillQueue.add(now, model.busyPrefillTime(notice.prefillTokens));
    state.prompts.began(notice.prefillTokens, now, now + state.prefillQueue.wait(now));
    noticeTransfer(state, notice, now);
    estimate_.noticed(sender, notice.endpoint, now);
    loadIsStale_ = true;
    for (const auto &part : notice.parts) {
        state.cache.use(Dialect::PromptPart{part.id, part.tokens});
        addPlacement({now, {notice.endpoint, part.id, part.tokens}, true}, now);
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
    const auto path = byShortId_.count(notice.source) > 0 ? TransferPath::WithinRegion
                                                          : TransferPath::BetweenRegions;
    transfers_.add(std::nullopt, notice.source, notice.endpoint,
                   transferModel(name).time(*traits->engine, notice.copiedTokens, path, now), now);
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

TransferModel &EndpointTable::transferModel(const ServiceName &name)
{
    return transferModels_.try_emplace(name, *options_).first->second;
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

void EndpointTable::placed(const EndpointState &endpoint,
                           const std::vector<Dialect::PromptPart> &parts, bool noticed, Time now)
{
    std::size_t count = 0;
    for (const auto &part : parts) {
        if (part.tokens < options_->copyMinimumTokens) {
            continue;
        }
        PartPlacement placement;
        placement.endpoint = shortId(endpoint.listed.record.id);
        placement.part = part.id;
        placement.tokens = static_cast<std::uint32_t>(part.tokens);
        const auto batch = static_cast<int>(count / MaxPlacements);
        addPlacement({now + batch * BatchInterval, placement, noticed}, now);
        ++count;
    }
}

void EndpointTable::addPlacement(const RecentPlacement &placement, Time now)
{
    placements_.push_back(placement);
    while (!placements_.empty() && now - placements_.front().at > PlacementLifetimeOtherRegions) {
        placements_.pop_front();
    }
}

WaitingWork EndpointTable::waitingAtOthers(const ServiceName &name) const
{
    return estimate_.waitingAtOthers(shortId(name));
}

RegionLoadReport EndpointTable::loadReport(Time now)
{
    RegionLoadReport report;
    for (const auto &[id, state] : endpoints_) {
        state->reportedOwn = state->own;
        if (state->own > 0 && report.uses.size() < MaxUses) {
            report.uses.push_back({shortId(id), static_cast<std::uint16_t>(state->own)});
        }
    }
    report.placements = recentPlacements(PlacementLifetime, false, now);
    report.limits = limits(now);
    report.brittle = brittleness_.reports(now);
    report.speeds = takeSpeeds(now);
    return report;
}

std::vector<PartPlacement> EndpointTable::placementsForOtherRegions(Time now) const
{
    return recentPlacements(PlacementLifetimeOtherRegions, true, now);
}

/// The most recent placements, each endpoint's part once.
std::vector<PartPlacement> EndpointTable::recentPlacements(Duration age, bool includeNoticed,
                                                           Time now) const
{
    std::vector<PartPlacement> result;
    std::set<std::pair<std::uint32_t, std::uint64_t>> included;
    for (auto left = placements_.size(); left > 0 && result.size() < MaxPlacements; --left) {
        const auto &recent = placements_[left - 1];
        const auto &placement = recent.placement;
        const bool due =
            recent.at <= now && now - recent.at <= age && (includeNoticed || !recent.noticed);
        if (due && included.insert({placement.endpoint, placement.part}).second) {
            result.push_back(placement);
        }
    }
    return result;
}

} // namespace LaburnumChute::Dispatch
