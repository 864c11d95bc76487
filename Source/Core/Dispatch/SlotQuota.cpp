#include "Dispatch/SlotQuota.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Number of slots with an index below the given one that are assigned to the instance.
std::size_t slotsAssignedBelow(std::size_t number, std::size_t instance, std::size_t instances)
{
    return number <= instance ? 0 : (number - instance - 1) / instances + 1;
}

} // namespace

int slotQuota(std::size_t engine, int slots, std::size_t instance, std::size_t instances)
{
    if (slots <= 0 || instances == 0) {
        return 0;
    }
    const auto first = engine * static_cast<std::size_t>(slots);
    const auto end = first + static_cast<std::size_t>(slots);
    return static_cast<int>(slotsAssignedBelow(end, instance, instances)
                            - slotsAssignedBelow(first, instance, instances));
}

} // namespace LaburnumChute::Dispatch
