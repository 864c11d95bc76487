#include "Dispatch/Reachability.h"

#include <algorithm>
#include <set>

#include "Dispatch/LoadReports.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

Reachability::Reachability(InstanceId self)
    : self_(std::move(self))
    , instances_({self_})
{
}

void Reachability::setInstances(const std::vector<InstanceId> &instances)
{
    instances_ = instances;
    all_.count = instances.size();
    all_.rank = static_cast<std::size_t>(
        std::count_if(instances.begin(), instances.end(),
                      [this](const InstanceId &instance) { return instance < self_; }));
    const std::set<InstanceId> live(instances.begin(), instances.end());
    std::erase_if(unreachable_, [&](const auto &entry) { return live.count(entry.first) == 0; });
    limitedInstances_ = std::count_if(unreachable_.begin(), unreachable_.end(),
                                      [](const auto &entry) { return !entry.second.empty(); });
}

void Reachability::reported(const InstanceId &instance, const std::vector<std::uint32_t> &services)
{
    auto &known = unreachable_[instance];
    limitedInstances_ += (services.empty() ? 0 : 1) - (known.empty() ? 0 : 1);
    known = services;
}

bool Reachability::reaches(const InstanceId &instance, std::uint32_t service) const
{
    const auto found = unreachable_.find(instance);
    return found == unreachable_.end() || !contains(found->second, service);
}

std::optional<InstanceId> Reachability::chooseNeighbor(const ServiceName &service,
                                                       const std::vector<InstanceId> &excluded,
                                                       std::mt19937_64 &random) const
{
    const auto id = shortId(service);
    std::vector<const InstanceId *> candidates;
    for (const auto &[instance, services] : unreachable_) {
        if (instance != self_ && !contains(services, id) && !contains(excluded, instance)) {
            candidates.push_back(&instance);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    return *candidates[index(random)];
}

Reachability::Sharers Reachability::sharers(const ServiceName &service) const
{
    if (limitedInstances_ == 0) {
        return all_;
    }
    const auto id = shortId(service);
    Sharers sharers{0, 0};
    for (const auto &instance : instances_) {
        if (instance == self_ || reaches(instance, id)) {
            ++sharers.count;
            sharers.rank += instance < self_ ? 1 : 0;
        }
    }
    return sharers;
}

} // namespace LaburnumChute::Dispatch
