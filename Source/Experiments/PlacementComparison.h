#pragma once

#include <cstdint>

namespace LaburnumChute::Experiments {

/// Plays a week of demand with a daily peak, noise and bursts against each placement policy and
/// prints the runners paid for, the work that found too few of them, and the changes ordered.
void comparePlacements(std::uint64_t seed);

} // namespace LaburnumChute::Experiments
