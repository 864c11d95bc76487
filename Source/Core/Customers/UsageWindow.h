#pragma once

#include <array>

#include "Customers/Customer.h"

namespace LaburnumChute::Customers {

/// Sum of the usage in a sliding window, kept in slots of equal length. Covers the window and up to
/// one slot more, so that the sum is never too low.
class UsageWindow
{
public:
    /// @param initialPerSecond usage that is assumed for the window before now
    UsageWindow(Duration window, double initialPerSecond, Time now);

    /// Adds usage at a rate for the time since the last call.
    void advance(double perSecond, Time now);
    /// Adds usage at the time of the last advance; negative if usage is returned.
    void add(double usage);
    double sum() const
    {
        return sum_;
    }
    /// Time until usage of at least this amount has left the window.
    Duration timeUntilLeft(double usage, Time now) const;

private:
    static constexpr std::size_t SlotsInWindow = 32;

    Time endOfSlot() const
    {
        return slotStart_ + slotLength_;
    }
    void startNextSlot();

    Duration slotLength_{0};
    Time slotStart_{};
    Time advancedTo_{};
    /// The current slot and those before it, in a ring.
    std::array<double, SlotsInWindow + 1> slots_{};
    std::size_t current_ = 0;
    double sum_ = 0;
};

} // namespace LaburnumChute::Customers
