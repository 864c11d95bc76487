#include "Customers/UsageWindow.h"

#include <algorithm>

namespace LaburnumChute::Customers {

namespace {

constexpr Duration ShortestSlot = milliseconds(10);

} // namespace

UsageWindow::UsageWindow(Duration window, double initialPerSecond, Time now)
    : slotLength_(std::max(ShortestSlot, window / static_cast<int>(SlotsInWindow)))
    , slotStart_(now)
    , advancedTo_(now)
{
    slots_.fill(initialPerSecond * Common::toSeconds(slotLength_));
    slots_[current_] = 0;
    sum_ = initialPerSecond * Common::toSeconds(slotLength_) * SlotsInWindow;
}

void UsageWindow::startNextSlot()
{
    slotStart_ += slotLength_;
    current_ = (current_ + 1) % slots_.size();
    sum_ -= slots_[current_];
    slots_[current_] = 0;
}

void UsageWindow::advance(double perSecond, Time now)
{
    while (advancedTo_ < now) {
        const auto until = std::min(now, endOfSlot());
        add(perSecond * Common::toSeconds(until - advancedTo_));
        advancedTo_ = until;
        if (until == endOfSlot()) {
            startNextSlot();
        }
    }
}

void UsageWindow::add(double usage)
{
    slots_[current_] += usage;
    sum_ += usage;
}

Duration UsageWindow::timeUntilLeft(double usage, Time now) const
{
    Duration wait = std::max<Duration>(endOfSlot() - now, Duration(0));
    double left = 0;
    for (std::size_t age = 1; age < slots_.size(); ++age) {
        left += slots_[(current_ + age) % slots_.size()];
        if (left >= usage) {
            return wait;
        }
        wait += slotLength_;
    }
    return wait;
}

} // namespace LaburnumChute::Customers
