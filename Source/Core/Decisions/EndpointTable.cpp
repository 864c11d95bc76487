#include "Decisions/EndpointTable.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

/// Share of its limit with which an endpoint begins its slow start.
constexpr double RampStart = 0.25;

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

std::vector<Slot> EndpointTable::update(const std::vector<EndpointFacts> &endpoints, Time now)
{
    for (const auto &[id, slot] : byId_) {
        states_[slot]->listed = false;
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
        if (!first_) {
            state->rampFrom = now;
        }
        const Slot slot = free_.empty() ? static_cast<Slot>(states_.size()) : free_.back();
        if (free_.empty()) {
            states_.push_back(std::move(state));
        } else {
            free_.pop_back();
            states_[slot] = std::move(state);
        }
        byId_[facts.id] = slot;
    }
    first_ = first_ && byId_.empty();

    std::vector<Slot> gone;
    for (auto entry = byId_.begin(); entry != byId_.end();) {
        const Slot slot = entry->second;
        const bool unused = !states_[slot]->listed && states_[slot]->load.ownInFlight() == 0;
        entry = unused ? byId_.erase(entry) : std::next(entry);
        if (unused) {
            gone.push_back(slot);
            free_.push_back(slot);
        }
    }
    rebuildSubsets();
    return gone;
}

void EndpointTable::setInstances(std::size_t instances)
{
    instances_ = std::max<std::size_t>(1, instances);
    countUsers();
}

void EndpointTable::countUsers()
{
    for (const auto &[target, subset] : subsets_) {
        const double users = static_cast<double>(instances_) / regionPerSubset(target);
        for (const auto slot : subset) {
            states_[slot]->users = std::max(1.0, users);
            states_[slot]->load.setUsers(states_[slot]->users);
        }
    }
}

void EndpointTable::rebuildSubsets()
{
    subsets_.clear();
    inRegion_.clear();
    for (const auto &[id, slot] : byId_) {
        const auto &state = *states_[slot];
        if (!state.listed || state.facts.leaving) {
            continue;
        }
        for (const auto &target : state.facts.targets) {
            subsets_[target.base()].push_back(slot);
        }
    }
    for (auto &[target, subset] : subsets_) {
        inRegion_[target] = subset.size();
        std::vector<std::pair<std::uint64_t, Slot>> weighted;
        weighted.reserve(subset.size());
        for (const auto slot : subset) {
            weighted.emplace_back(
                Common::rendezvousWeight(self_.text(), states_[slot]->facts.id.text()), slot);
        }
        std::sort(weighted.rbegin(), weighted.rend());
        weighted.resize(std::min(weighted.size(), routing_->subsetSize));
        subset.clear();
        for (const auto &[weight, slot] : weighted) {
            subset.push_back(slot);
        }
    }
    countUsers();
}

std::optional<Slot> EndpointTable::find(const EndpointId &endpoint) const
{
    const auto found = byId_.find(endpoint);
    return found == byId_.end() ? std::nullopt : std::optional(found->second);
}

const std::vector<Slot> &EndpointTable::candidates(const Target &base) const
{
    static const std::vector<Slot> none;
    const auto found = subsets_.find(base);
    return found == subsets_.end() ? none : found->second;
}

bool EndpointTable::anyReachable(const Target &base) const
{
    const auto &slots = candidates(base);
    return std::any_of(slots.begin(), slots.end(),
                       [this](Slot slot) { return states_[slot]->reachable; });
}

std::vector<Slot> EndpointTable::slots() const
{
    std::vector<Slot> result;
    for (const auto &[id, slot] : byId_) {
        result.push_back(slot);
    }
    std::sort(result.begin(), result.end());
    return result;
}

double EndpointTable::limit(Slot slot, Time now) const
{
    const auto &state = *states_[slot];
    const double full = state.limit.value() + unseenTurnover(state, now);
    if (!state.rampFrom) {
        return full;
    }
    const double progress =
        Common::toSeconds(now - *state.rampFrom) / Common::toSeconds(routing_->endpointSlowStart);
    return std::max(1.0, full * std::clamp(progress, RampStart, 1.0));
}

double EndpointTable::unseenTurnover(const EndpointState &state, Time now)
{
    const auto batch = static_cast<double>(state.load.lastReport().batchLimit);
    const double others = 1 - 1 / state.users;
    const double age = Common::toSeconds(state.load.age(now));
    return batch * others * std::min(1.0, age / std::max(0.01, state.holdSeconds));
}

bool EndpointTable::hasRoom(Slot slot, Time now) const
{
    const auto &state = *states_[slot];
    const double most = limit(slot, now);
    const auto own = static_cast<double>(state.load.ownInFlight());
    const bool ownPart = state.users > 1 && own + 1 <= std::max(1.0, most / state.users);
    return ownPart || state.load.inFlight(now) + 1 <= most;
}

double EndpointTable::tokensPerSecond(Slot slot) const
{
    const auto &state = *states_[slot];
    const auto &report = state.load.lastReport();
    const double step = Common::toSeconds(report.stepTime);
    if (step > 0) {
        return static_cast<double>(report.batchLimit) / step;
    }
    // A plain service has no steps, and a call of it counts as one token of work. Taken for
    // nothing, its capacity would keep every other region from sending work here.
    constexpr double ShortestHold = 0.001;
    return std::max(1.0, static_cast<double>(report.batchLimit))
           / std::max(ShortestHold, state.holdSeconds);
}

double EndpointTable::subsetCapacity(const Target &base) const
{
    double sum = 0;
    for (const auto slot : candidates(base)) {
        sum += tokensPerSecond(slot);
    }
    return sum;
}

double EndpointTable::regionPerSubset(const Target &base) const
{
    const auto found = inRegion_.find(base);
    if (found == inRegion_.end()) {
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
    return subsetCapacity(base) * regionPerSubset(base);
}

double EndpointTable::freeCapacity(const Target &base, Time now) const
{
    double sum = 0;
    for (const auto slot : candidates(base)) {
        const double free = 1 - states_[slot]->load.inFlight(now) / std::max(1.0, limit(slot, now));
        sum += tokensPerSecond(slot) * std::clamp(free, 0.0, 1.0);
    }
    return sum * regionPerSubset(base);
}

} // namespace LaburnumChute::Decisions
