#include <algorithm>
#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "Dispatch/Scheduler.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Prompt length for which the wait reported to other regions is computed.
constexpr std::int64_t NominalTokens = 400;

} // namespace

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

void Scheduler::setFleet(const std::vector<InstanceId> &ownRegion,
                         std::optional<std::size_t> sharers,
                         const std::vector<RegionName> &reachableRegions)
{
    instances_ = ownRegion;
    placement_.setSharers(instances_, instances_.size());
    reachability_.setInstances(instances_);
    sharers_ = sharers;
    table_.keepReports(instances_);
    pauses_.keep(instances_);
    spareCapacity_.setOwnInstances(instances_.size());
    spareCapacity_.setReachable(reachableRegions);
    updateRetryBudgets();
}

void Scheduler::setHeardInstances(std::size_t heard)
{
    auto hearing = Hearing::All;
    if (heard <= 1 && sharers_.value_or(2) > 1) {
        hearing = Hearing::None;
    } else if (sharers_ && heard * 4 < *sharers_ * 3) {
        // A quarter may be missing: a few instances that are restarted are no partition.
        hearing = Hearing::Some;
    }
    crashes_.setHearing(hearing);
}

void Scheduler::setRegionSharers(const std::vector<InstanceId> &known, std::size_t count)
{
    placement_.setSharers(known, count);
}

double Scheduler::retrySlack() const
{
    if (!sharers_) {
        return 0;
    }
    const auto sharers = static_cast<double>(std::max<std::size_t>(1, *sharers_));
    return bounds_.retrySlack * options_.sharedBoundFraction / sharers;
}

void Scheduler::updateRetryBudgets()
{
    const double ratio = bounds_.retryRatio * options_.sharedBoundFraction;
    for (auto &[service, budget] : budgets_) {
        budget.setBounds(ratio, retrySlack(), bounds_.retryWindow,
                         startedAt_ + bounds_.retryWindow);
    }
}

RetryBudget &Scheduler::budget(const ServiceName &service)
{
    const double ratio = bounds_.retryRatio * options_.sharedBoundFraction;
    return budgets_
        .try_emplace(service, ratio, retrySlack(), bounds_.retryWindow,
                     startedAt_ + bounds_.retryWindow,
                     Common::stableHash(service.text(), random_()))
        .first->second;
}

bool Scheduler::reserveRetry(Call &call, Time now)
{
    const auto &service = call.facts.service;
    auto &retryBudget = budget(service);
    const auto state = retryBudget.state(now);
    const bool allowed = retryBudget.reserve(now);
    call.retryCharge = allowed ? RetryCharge::Reserved : RetryCharge::None;
    retryDecisions_.push_back({call.facts.id, service, allowed, state.requests, state.retries,
                               state.limit, sharers_.value_or(0)});
    return allowed;
}

void Scheduler::chargeRetry(Call &call, Time now)
{
    if (call.retryCharge == RetryCharge::Reserved) {
        call.retryCharge = RetryCharge::Sent;
        budget(call.facts.service).sent(now);
    }
}

void Scheduler::forget(Call &call)
{
    if (call.retryCharge == RetryCharge::Reserved) {
        budget(call.facts.service).release();
    }
    calls_.erase(call.facts.id);
}

std::vector<RetryDecision> Scheduler::takeRetryDecisions()
{
    return std::exchange(retryDecisions_, {});
}

nlohmann::json Scheduler::dumpRetryBudgets(Time now)
{
    auto budgets = nlohmann::json::array();
    for (auto &[service, budget] : budgets_) {
        const auto state = budget.state(now);
        budgets.push_back({{"service", service.text()},
                           {"requests", state.requests},
                           {"retries", state.retries},
                           {"limit", state.limit},
                           {"instances", sharers_.value_or(0)}});
    }
    return budgets;
}

nlohmann::json Scheduler::dumpTransfers(Time now) const
{
    std::map<std::uint32_t, std::string> names;
    for (const auto *endpoint : table_.all()) {
        names[shortId(endpoint->listed.record.id)] = endpoint->listed.record.id.text();
    }
    const auto nameOf = [&](std::uint32_t id) {
        const auto found = names.find(id);
        return found == names.end() ? fmt::format("{:08x}", id) : found->second;
    };
    auto inProgress = nlohmann::json::array();
    for (const auto &transfer : table_.transfers().transfers()) {
        inProgress.push_back({{"source", nameOf(transfer.source)},
                              {"target", nameOf(transfer.target)},
                              {"own", transfer.call.has_value()},
                              {"starts_in", Common::toSeconds(transfer.startsAt - now)},
                              {"ends_in", Common::toSeconds(transfer.endsAt - now)}});
    }
    auto ratios = nlohmann::json::array();
    for (const auto &[name, model] : table_.transferModels()) {
        for (const auto path : {TransferPath::WithinRegion, TransferPath::BetweenRegions}) {
            ratios.push_back({{"service", name.text()},
                              {"between_regions", path == TransferPath::BetweenRegions},
                              {"ratio", model.ratio(path, now)},
                              {"deviation", model.deviation(path)}});
        }
    }
    return {{"in_progress", inProgress}, {"ratios", ratios}};
}

nlohmann::json Scheduler::dumpPauses()
{
    auto services = nlohmann::json::array();
    for (const auto &[name, service] : table_.services()) {
        if (service.engine) {
            auto model = pauses_.of(name).dump();
            model["service"] = name.text();
            model["group_size"] = grouping_.size(name);
            model["own_short_streams"] = grouping_.inProgress(name);
            services.push_back(std::move(model));
        }
    }
    return services;
}

std::vector<CrashEvent> Scheduler::takeCrashEvents()
{
    return crashes_.takeEvents();
}

Effects Scheduler::setRegionLoadReport(const InstanceId &instance, const RegionLoadReport &report,
                                       Time now)
{
    table_.setLoadReport(instance, report, now);
    pauses_.learn(instance, report.pauses, now);
    reachability_.reported(instance, report.unreachableServices);
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
        call.prefillTokens >= options_.noticeTokens || !notice.parts.empty() || call.copy;
    if (!worthReporting || instances_.size() < 2) {
        return;
    }
    notice.endpoint = shortId(endpoint.listed.record.id);
    notice.prefillTokens =
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, call.prefillTokens));
    if (call.copy) {
        notice.source = shortId(call.copy->source);
        notice.copiedTokens = static_cast<std::uint32_t>(call.copy->tokens);
    }
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
        work.shortStreams = static_cast<std::uint16_t>(grouping_.inProgress(name));
        if (work.waiting > 0 || work.sentPerSecond > 0 || work.shortStreams > 0) {
            report.services.push_back(work);
        }
    }
    report.suspects = crashes_.reports(CrashAttribution::Audience::OwnRegion, now);
    report.pauses = pauses_.reports(now);
    for (const auto &name : unreachableServices()) {
        report.unreachableServices.push_back(shortId(name));
    }
    return report;
}

CrossRegionLoadReport Scheduler::crossRegionLoadReport(Time now)
{
    CrossRegionLoadReport report;
    table_.refreshLoad(now);
    report.suspects = crashes_.reports(CrashAttribution::Audience::OtherRegions, now);
    report.placements = table_.placementsForOtherRegions(now);
    for (const auto &[name, service] : table_.services()) {
        // The region's other instances have room for them, which this one cannot measure.
        if (table_.unreachable(name) && reachability_.chooseNeighbor(name, {}, random_)) {
            continue;
        }
        ServiceSpareCapacity spare;
        spare.service = shortId(name);
        std::optional<Duration> best;
        double freePerSecond = 0;
        for (const auto *endpoint : table_.usable(name)) {
            const bool resting = endpoint->rest.left(now) > Duration(0);
            if (endpoint->ejectedUntil || endpoint->cold(now) || resting) {
                continue;
            }
            ++spare.endpoints;
            const double free = std::max(0.0, endpoint->listed.record.slots - endpoint->load());
            const double freeRate = endpoint->cappedRate(free / endpoint->holdSeconds());
            freePerSecond += freeRate;
            const auto wait = service.engine
                                  ? placement_.engineWait(*endpoint, now) + options_.firstEventFloor
                                        + table_.engine(name).prefillTime(NominalTokens)
                                  : placement_.plainWait(*endpoint, now);
            const auto startDelay = std::max(wait, endpoint->limit.wait(now));
            best = best ? std::min(*best, startDelay) : startDelay;
        }
        spare.freePerSecond = static_cast<std::uint32_t>(freePerSecond);
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
        if (sample.workPercent) {
            state->speed.record({*sample.workPercent, now},
                                table_.speedModel(state->listed.record.service));
        }
    }
}

bool Scheduler::limitSeen(const EndpointId &endpoint, std::optional<double> perSecond, Time now)
{
    const bool changed = table_.limitSeen(endpoint, {perSecond, now});
    table_.divideLimits(self_, instances_, now);
    return changed;
}

bool Scheduler::brittleSeen(const EndpointId &endpoint,
                            std::optional<std::int64_t> toleratedRejections, Time now)
{
    const auto *state = table_.find(endpoint);
    return state != nullptr
           && table_.brittleness().update(shortId(state->listed.record.service),
                                          toleratedRejections.has_value(), now);
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

} // namespace LaburnumChute::Dispatch
