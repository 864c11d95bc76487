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
    /// It is about to stop, but still serves who comes.
    bool leaving = false;
};

/// The addresses for a caller of the region, by the first of these that yields any: instances of
/// that region; those of the other regions that most routes with homes allow; the region's own that
/// are about to stop, and such ones of the homes; any.
///
/// What goes wrong otherwise: the instances of a region are replaced one after the other, and for a
/// moment none is left that stays. Its callers would be spread over all other regions, where an
/// instance outside the homes of a request must not even read it, and stay there for the lifetime
/// of the answer.
///
/// @param homes the homes of each route that has some
std::vector<std::string> chooseAddresses(const std::vector<DirectoryCandidate> &candidates,
                                         const Common::RegionName &callerRegion,
                                         const std::vector<std::vector<Common::RegionName>> &homes,
                                         std::size_t limit);

} // namespace LaburnumChute::Relay
