#pragma once

#include <cstddef>

namespace LaburnumChute::Dispatch {

/// How many of an engine's slots one instance may fill by itself.
///
/// Load pattern: a peak, with many instances before the same engines. What the others have there is
/// known by reports that are a quarter of a second old, in which an engine gets as many requests as
/// it has slots. Without a quota all instances see the same engine idle and fill it at once, and
/// their requests wait there while other engines have free slots.
///
/// The slots of all engines of a service are dealt out in turn, so that instances differ by one
/// slot at most over all engines together. Instances that see different fleets for a moment deal
/// differently, and then overlap by a few slots.
///
/// @param engine position of the engine among those of its service, in the order of their ids
/// @param instance position among the live instances of the region, in the order of their ids
int slotQuota(std::size_t engine, int slots, std::size_t instance, std::size_t instances);

} // namespace LaburnumChute::Dispatch
