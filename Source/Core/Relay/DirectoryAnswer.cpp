#include "Relay/DirectoryAnswer.h"

#include <algorithm>

namespace LaburnumChute::Relay {

std::vector<std::string> chooseAddresses(const std::vector<DirectoryCandidate> &candidates,
                                         const Common::RegionName &callerRegion,
                                         const std::vector<Common::RegionName> &homes,
                                         std::size_t limit)
{
    std::vector<std::string> own;
    std::vector<std::string> atHome;
    std::vector<std::string> all;
    for (const auto &candidate : candidates) {
        all.push_back(candidate.address);
        if (candidate.region == callerRegion) {
            own.push_back(candidate.address);
        }
        if (std::find(homes.begin(), homes.end(), candidate.region) != homes.end()) {
            atHome.push_back(candidate.address);
        }
    }
    auto &chosen = !own.empty() ? own : !atHome.empty() ? atHome : all;
    chosen.resize(std::min(chosen.size(), limit));
    return chosen;
}

} // namespace LaburnumChute::Relay
