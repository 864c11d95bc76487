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
    std::ptrdiff_t maxAllowing = 0;
    for (const auto &candidate : candidates) {
        maxAllowing = std::max(maxAllowing, routesAllowing(candidate.region, homes));
    }
    const auto inCallerRegion = [&](const DirectoryCandidate &candidate) {
        return candidate.region == callerRegion;
    };
    const auto inHomeRegion = [&](const DirectoryCandidate &candidate) {
        return homes.empty()
               || (maxAllowing > 0 && routesAllowing(candidate.region, homes) == maxAllowing);
    };
    using Predicate = std::function<bool(const DirectoryCandidate &)>;
    const std::vector<Predicate> predicates = {
        [&](const auto &candidate) { return inCallerRegion(candidate) && !candidate.leaving; },
        [&](const auto &candidate) { return inHomeRegion(candidate) && !candidate.leaving; },
        [&](const auto &candidate) { return inCallerRegion(candidate); },
        [&](const auto &candidate) { return inHomeRegion(candidate); },
        [](const auto &candidate) { return !candidate.leaving; },
        [](const auto &) { return true; },
    };
    std::vector<std::string> chosen;
    for (const auto &predicate : predicates) {
        for (const auto &candidate : candidates) {
            if (predicate(candidate) && chosen.size() < limit) {
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
