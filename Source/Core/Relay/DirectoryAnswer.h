#pragma once

#include <string>
#include <vector>

#include "Common/Common.h"
#include "Fleet/Fleet.h"

namespace LaburnumChute::Relay {

/// An instance that a directory response may list.
struct DirectoryCandidate
{
    std::string address;
    Common::RegionName region;
    /// The instance is shutting down but still serves requests.
    bool leaving = false;
};

/// Returns the addresses to list for a caller in `callerRegion`. The first of these groups that is
/// not empty is used:
/// 1. instances in the caller's region that are not shutting down
/// 2. such instances in the home regions: the regions that the largest number of routes with home
///    regions allow, or all regions if no route has home regions
/// 3. all instances in the caller's region
/// 4. all instances in the home regions
/// 5. instances in any region that are not shutting down
/// 6. all instances
///
/// During a rolling replacement, all instances of a region may be shutting down at the same time.
/// If its callers were then sent to arbitrary regions, their requests would reach instances outside
/// the home regions, which must not even read them, until the directory response expires.
///
/// @param homes the home regions of each route that has any
std::vector<std::string> chooseAddresses(const std::vector<DirectoryCandidate> &candidates,
                                         const Common::RegionName &callerRegion,
                                         const std::vector<std::vector<Common::RegionName>> &homes,
                                         std::size_t limit);

} // namespace LaburnumChute::Relay
