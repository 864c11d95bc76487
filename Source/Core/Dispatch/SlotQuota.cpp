#include "Dispatch/SlotQuota.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Slots below the number that are dealt to the instance.
std::size_t dealtBelow(std::size_t number, std::size_t instance, std::size_t instances)
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
    return static_cast<int>(dealtBelow(end, instance, instances)
                            - dealtBelow(first, instance, instances));
}

} // namespace LaburnumChute::Dispatch
