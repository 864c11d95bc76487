#pragma once

#include <cstddef>

namespace LaburnumChute::Dispatch {

/// Number of an engine's slots that one instance may fill.
///
/// Load pattern: a peak with many instances in front of the same engines. The load reports of other
/// instances are a quarter of a second old, and in that time an engine receives as many requests as
/// it has slots. Without a quota all instances see the same engine as idle and fill it at once, and
/// their requests wait there while other engines have free slots.
///
/// The slots of all engines of a service are assigned round-robin, so that over all engines the
/// quotas of two instances differ by at most one slot. Instances that temporarily see different
/// sets of instances or engines assign slots differently, and their quotas then overlap by a few
/// slots.
///
/// @param engine position of the engine among those of its service, ordered by id
/// @param instance position among the live instances of the region, ordered by id
int slotQuota(std::size_t engine, int slots, std::size_t instance, std::size_t instances);

} // namespace LaburnumChute::Dispatch
