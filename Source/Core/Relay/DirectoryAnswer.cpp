#include "Relay/DirectoryAnswer.h"

#include <algorithm>

namespace LaburnumChute::Relay {

namespace {

using Homes = std::vector<std::vector<Common::RegionName>>;

std::ptrdiff_t routesAllowing(const Common::RegionName &region, const Homes &homes)
{
    return std::count_if(homes.begin(), homes.end(), [&](const auto &allowed) {
        return std::find(allowed.begin(), allowed.end(), region) != allowed.end();
    });
}

} // namespace

std::vector<std::string> chooseAddresses(const std::vector<DirectoryCandidate> &candidates,
                                         const Common::RegionName &callerRegion, const Homes &homes,
                                         std::size_t limit)
{
    std::vector<std::string> own;
    std::vector<std::string> elsewhere;
    std::ptrdiff_t most = 0;
    for (const auto &candidate : candidates) {
        if (candidate.region == callerRegion) {
            own.push_back(candidate.address);
            continue;
        }
        const auto allowing = routesAllowing(candidate.region, homes);
        if (allowing > most) {
            most = allowing;
            elsewhere.clear();
        }
        if (allowing == most) {
            elsewhere.push_back(candidate.address);
        }
    }
    auto &chosen = own.empty() ? elsewhere : own;
    chosen.resize(std::min(chosen.size(), limit));
    return chosen;
}

} // namespace LaburnumChute::Relay
