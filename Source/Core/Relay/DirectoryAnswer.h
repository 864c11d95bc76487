#pragma once

#include <string>
#include <vector>

#include "Common/Common.h"
#include "Fleet/Fleet.h"

namespace LaburnumChute::Relay {

/// An instance that a caller may be told of.
struct DirectoryCandidate
{
    std::string address;
    Common::RegionName region;
};

/// The addresses for a caller of the region: instances of that region; when there are none, those
/// in the region that most of the routes bound to homes allow, of the regions that have an instance.
///
/// What goes wrong otherwise: callers of a region whose instances have all gone are spread over the
/// others, and an instance outside the homes of a request must not even read it.
///
/// @param homes the homes of each route that has some
std::vector<std::string> chooseAddresses(const std::vector<DirectoryCandidate> &candidates,
                                         const Common::RegionName &callerRegion,
                                         const std::vector<std::vector<Common::RegionName>> &homes,
                                         std::size_t limit);

} // namespace LaburnumChute::Relay
