#include "Cluster/Rendezvous.h"

#include <algorithm>

#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

std::vector<Common::InstanceId> chooseByRendezvous(std::vector<Common::InstanceId> candidates,
                                                   std::string_view key, std::size_t count)
{
    const auto better = [key](const Common::InstanceId &a, const Common::InstanceId &b) {
        const auto weightA = Common::rendezvousWeight(key, a.text());
        const auto weightB = Common::rendezvousWeight(key, b.text());
        return weightA != weightB ? weightA > weightB : a < b;
    };
    const std::size_t chosen = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(chosen),
                      candidates.end(), better);
    candidates.resize(chosen);
    return candidates;
}

} // namespace LaburnumChute::Cluster
