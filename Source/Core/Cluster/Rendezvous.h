#pragma once

#include <string_view>
#include <vector>

#include "Common/Ids.h"

namespace LaburnumChute::Cluster {

/// The candidates with the highest rendezvous weights for the key, best first. Two instances that
/// agree on the candidates agree on the choice, and the loss of one candidate changes nothing about
/// the others.
std::vector<Common::InstanceId> chooseByRendezvous(std::vector<Common::InstanceId> candidates,
                                                   std::string_view key, std::size_t count);

} // namespace LaburnumChute::Cluster
