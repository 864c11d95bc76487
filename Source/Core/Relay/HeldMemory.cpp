#include "Relay/HeldMemory.h"

#include <algorithm>

namespace LaburnumChute::Relay {

void HeldMemory::set(Holder holder, std::size_t bytes)
{
    const auto found = held_.find(holder);
    const std::size_t before = found == held_.end() ? 0 : found->second;
    total_ = total_ - before + bytes;
    if (bytes == 0) {
        held_.erase(holder);
    } else {
        held_[holder] = bytes;
    }
}

std::optional<HeldMemory::Holder> HeldMemory::excess() const
{
    return total_ <= limit_ ? std::nullopt : largest();
}

std::optional<HeldMemory::Holder> HeldMemory::largest() const
{
    const auto largest =
        std::max_element(held_.begin(), held_.end(), [](const auto &one, const auto &other) {
            return one.second < other.second;
        });
    return largest == held_.end() ? std::nullopt : std::optional(largest->first);
}

} // namespace LaburnumChute::Relay
