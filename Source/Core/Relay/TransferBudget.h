#pragma once

#include <algorithm>
#include <cstddef>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// Limits the bytes per second that an instance sends to peers that catch up with the store.
///
/// Load pattern: all instances are restarted at once, and hundreds ask the few that already have
/// the items. If these served all of them together, no transfer would end in time. Each serves as
/// many as its link carries; the others are told to ask again and then find more instances that
/// have the items.
class TransferBudget
{
public:
    explicit TransferBudget(double bytesPerSecond)
        : bytesPerSecond_(bytesPerSecond)
    {
    }

    /// Returns false if transfers already fill the link for some time.
    bool admit(std::size_t bytes, Common::Time now)
    {
        if (freeAt_ > now + MaxBacklog) {
            return false;
        }
        const std::chrono::duration<double> time(static_cast<double>(bytes) / bytesPerSecond_);
        freeAt_ = std::max(freeAt_, now) + std::chrono::duration_cast<Common::Duration>(time);
        return true;
    }

private:
    static constexpr Common::milliseconds MaxBacklog{100};

    double bytesPerSecond_;
    Common::Time freeAt_{};
};

} // namespace LaburnumChute::Relay
