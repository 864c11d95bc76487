#include "Relay/DirectoryAnswer.h"

#include <algorithm>
#include <functional>

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
    std::ptrdiff_t most = 0;
    for (const auto &candidate : candidates) {
        most = std::max(most, routesAllowing(candidate.region, homes));
    }
    const auto isOwn = [&](const DirectoryCandidate &candidate) {
        return candidate.region == callerRegion;
    };
    const auto isHome = [&](const DirectoryCandidate &candidate) {
        return homes.empty() || (most > 0 && routesAllowing(candidate.region, homes) == most);
    };
    using Rule = std::function<bool(const DirectoryCandidate &)>;
    const std::vector<Rule> rules = {
        [&](const auto &candidate) { return isOwn(candidate) && !candidate.leaving; },
        [&](const auto &candidate) { return isHome(candidate) && !candidate.leaving; },
        [&](const auto &candidate) { return isOwn(candidate); },
        [&](const auto &candidate) { return isHome(candidate); },
        [](const auto &candidate) { return !candidate.leaving; },
        [](const auto &) { return true; },
    };
    std::vector<std::string> chosen;
    for (const auto &rule : rules) {
        for (const auto &candidate : candidates) {
            if (rule(candidate) && chosen.size() < limit) {
                chosen.push_back(candidate.address);
            }
        }
        if (!chosen.empty()) {
            break;
        }
    }
    return chosen;
}

} // namespace LaburnumChute::Relay
