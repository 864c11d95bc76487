#pragma once

#include <string_view>
#include <vector>

#include "Common/Ids.h"

namespace LaburnumChute::Cluster {

/// Returns the candidates with the highest rendezvous weights for the key, best first. Instances
/// with the same candidates make the same choice, and removing a candidate does not affect the
/// order of the others.
std::vector<Common::InstanceId> chooseByRendezvous(std::vector<Common::InstanceId> candidates,
                                                   std::string_view key, std::size_t count);

} // namespace LaburnumChute::Cluster
