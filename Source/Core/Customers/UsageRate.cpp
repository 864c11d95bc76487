#include "Customers/UsageRate.h"

#include <algorithm>
#include <cmath>

namespace LaburnumChute::Customers {

namespace {

/// A shorter time than the interval between two reports would hide peaks between them.
constexpr double AveragingSeconds = 0.25;

} // namespace

void UsageRate::add(double amount, Time now)
{
    perSecond_ = perSecond(now) + amount / AveragingSeconds;
    at_ = std::max(at_, now);
}

double UsageRate::perSecond(Time now) const
{
    if (perSecond_ == 0 || now <= at_) {
        return perSecond_;
    }
    return perSecond_ * std::exp(-Common::toSeconds(now - at_) / AveragingSeconds);
}

} // namespace LaburnumChute::Customers
