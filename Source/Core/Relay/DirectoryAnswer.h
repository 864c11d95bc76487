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
/// of the regions that may serve what it asks for; when there are none either, all.
///
/// What goes wrong otherwise: callers of a region that has lost its instances are spread over all
/// others, where requests that are bound to their homes must not be read.
std::vector<std::string> chooseAddresses(const std::vector<DirectoryCandidate> &candidates,
                                         const Common::RegionName &callerRegion,
                                         const std::vector<Common::RegionName> &homes,
                                         std::size_t limit);

} // namespace LaburnumChute::Relay
