#include "Decisions/EndpointTable.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

/// Fraction of its limit that an endpoint has at the beginning of its slow start.
constexpr double SlowStartInitialFraction = 0.25;

} // namespace

bool EndpointState::hasAdapter(const AdapterName &adapter) const
{
    return adapter.empty()
           || std::find(facts.adapters.begin(), facts.adapters.end(), adapter)
                  != facts.adapters.end();
}

EndpointTable::EndpointTable(const RoutingOptions &routing, const ConcurrencyOptions &concurrency,
                             InstanceId self, RegionName home)
    : routing_(&routing)
    , concurrency_(&concurrency)
    , self_(std::move(self))
    , home_(std::move(home))
{
}

std::vector<EndpointHandle> EndpointTable::update(const std::vector<EndpointFacts> &endpoints,
                                                  Time now)
{
    for (const auto &[id, handle] : byId_) {
        states_[handle]->listed = false;
    }
    for (const auto &facts : endpoints) {
        if (facts.region != home_) {
            continue;
        }
        const auto known = byId_.find(facts.id);
        if (known != byId_.end()) {
            states_[known->second]->facts = facts;
            states_[known->second]->listed = true;
            continue;
        }
        auto state = std::make_unique<EndpointState>(facts, *routing_, *concurrency_);
        if (!awaitingFirstList_) {
            state->slowStartAt = now;
        }
        const EndpointHandle handle = freeHandles_.empty()
                                          ? static_cast<EndpointHandle>(states_.size())
                                          : freeHandles_.back();
        if (freeHandles_.empty()) {
            states_.push_back(std::move(state));
        } else {
            freeHandles_.pop_back();
            states_[handle] = std::move(state);
        }
        byId_[facts.id] = handle;
    }
    awaitingFirstList_ = awaitingFirstList_ && byId_.empty();

    std::vector<EndpointHandle> removed;
    for (auto entry = byId_.begin(); entry != byId_.end();) {
        const EndpointHandle handle = entry->second;
        const bool unused = !states_[handle]->listed && states_[handle]->load.ownInFlight() == 0;
        entry = unused ? byId_.erase(entry) : std::next(entry);
        if (unused) {
            removed.push_back(handle);
            freeHandles_.push_back(handle);
        }
    }
    rebuildSubsets();
    return removed;
}

void EndpointTable::setInstances(std::size_t instances)
{
    instances_ = std::max<std::size_t>(1, instances);
    updateSharingInstances();
}

void EndpointTable::updateSharingInstances()
{
    for (const auto &[target, subset] : subsets_) {
        const double sharingInstances =
            static_cast<double>(instances_) / regionToSubsetRatio(target);
        for (const auto handle : subset) {
            states_[handle]->sharingInstances = std::max(1.0, sharingInstances);
            states_[handle]->load.setSharingInstances(states_[handle]->sharingInstances);
        }
    }
}

void EndpointTable::rebuildSubsets()
{
    subsets_.clear();
    endpointsInRegion_.clear();
    for (const auto &[id, handle] : byId_) {
        const auto &state = *states_[handle];
        if (!state.listed || state.facts.leaving) {
            continue;
        }
        for (const auto &target : state.facts.targets) {
            subsets_[target.base()].push_back(handle);
        }
    }
    for (auto &[target, subset] : subsets_) {
        endpointsInRegion_[target] = subset.size();
        std::vector<std::pair<std::uint64_t, EndpointHandle>> weighted;
        weighted.reserve(subset.size());
        for (const auto handle : subset) {
            weighted.emplace_back(
                Common::rendezvousWeight(self_.text(), states_[handle]->facts.id.text()), handle);
        }
        std::sort(weighted.rbegin(), weighted.rend());
        weighted.resize(std::min(weighted.size(), routing_->subsetSize));
        subset.clear();
        for (const auto &[weight, handle] : weighted) {
            subset.push_back(handle);
        }
    }
    updateSharingInstances();
}

std::optional<EndpointHandle> EndpointTable::find(const EndpointId &endpoint) const
{
    const auto found = byId_.find(endpoint);
    return found == byId_.end() ? std::nullopt : std::optional(found->second);
}

const std::vector<EndpointHandle> &EndpointTable::candidates(const Target &base) const
{
    static const std::vector<EndpointHandle> none;
    const auto found = subsets_.find(base);
    return found == subsets_.end() ? none : found->second;
}

bool EndpointTable::anyReachable(const Target &base) const
{
    const auto &handles = candidates(base);
    return std::any_of(handles.begin(), handles.end(),
                       [this](EndpointHandle handle) { return states_[handle]->reachable; });
}

std::vector<EndpointHandle> EndpointTable::handles() const
{
    std::vector<EndpointHandle> result;
    for (const auto &[id, handle] : byId_) {
        result.push_back(handle);
    }
    std::sort(result.begin(), result.end());
    return result;
}

double EndpointTable::limit(EndpointHandle handle, Time now) const
{
    const auto &state = *states_[handle];
    const double full = state.limit.value() + estimatedUnreportedEnds(state, now);
    if (!state.slowStartAt) {
        return full;
    }
    const double progress = Common::toSeconds(now - *state.slowStartAt)
                            / Common::toSeconds(routing_->endpointSlowStart);
    return std::max(1.0, full * std::clamp(progress, SlowStartInitialFraction, 1.0));
}

double EndpointTable::estimatedUnreportedEnds(const EndpointState &state, Time now)
{
    const auto batch = static_cast<double>(state.load.lastReport().batchLimit);
    const double peerFraction = 1 - 1 / state.sharingInstances;
    const double age = Common::toSeconds(state.load.age(now));
    return batch * peerFraction * std::min(1.0, age / std::max(0.01, state.meanServiceSeconds));
}

bool EndpointTable::hasSpareCapacity(EndpointHandle handle, Time now) const
{
    const auto &state = *states_[handle];
    const double maxInFlight = limit(handle, now);
    const auto own = static_cast<double>(state.load.ownInFlight());
    const bool withinOwnPart = state.sharingInstances > 1
                               && own + 1 <= std::max(1.0, maxInFlight / state.sharingInstances);
    return withinOwnPart || state.load.inFlight(now) + 1 <= maxInFlight;
}

double EndpointTable::tokensPerSecond(EndpointHandle handle) const
{
    const auto &state = *states_[handle];
    const auto &report = state.load.lastReport();
    const double step = Common::toSeconds(report.stepTime);
    if (step > 0) {
        return static_cast<double>(report.batchLimit) / step;
    }
    // A plain service has no decode steps, and a call of it counts as one token of work. With a
    // capacity of 0 no other region would send work here.
    constexpr double MinServiceSeconds = 0.001;
    return std::max(1.0, static_cast<double>(report.batchLimit))
           / std::max(MinServiceSeconds, state.meanServiceSeconds);
}

double EndpointTable::subsetCapacity(const Target &base) const
{
    double sum = 0;
    for (const auto handle : candidates(base)) {
        sum += tokensPerSecond(handle);
    }
    return sum;
}

double EndpointTable::regionToSubsetRatio(const Target &base) const
{
    const auto found = endpointsInRegion_.find(base);
    if (found == endpointsInRegion_.end()) {
        return 0;
    }
    return static_cast<double>(found->second) / static_cast<double>(candidates(base).size());
}

double EndpointTable::capacity(const Target &base) const
{
    return regionCapacity(base) / static_cast<double>(instances_);
}

double EndpointTable::regionCapacity(const Target &base) const
{
    return subsetCapacity(base) * regionToSubsetRatio(base);
}

double EndpointTable::freeCapacity(const Target &base, Time now) const
{
    double sum = 0;
    for (const auto handle : candidates(base)) {
        const double free =
            1 - states_[handle]->load.inFlight(now) / std::max(1.0, limit(handle, now));
        sum += tokensPerSecond(handle) * std::clamp(free, 0.0, 1.0);
    }
    return sum * regionToSubsetRatio(base);
}

} // namespace LaburnumChute::Decisions
