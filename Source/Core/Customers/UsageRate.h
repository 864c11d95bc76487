#pragma once

#include "Customers/Customer.h"

namespace LaburnumChute::Customers {

/// Exponentially averaged rate of amounts. Its integral over time equals the sum of the amounts, so
/// a receiver that integrates reported rates counts every amount once, slightly late.
class UsageRate
{
public:
    void add(double amount, Time now);
    double perSecond(Time now) const;

private:
    double perSecond_ = 0;
    Time at_{};
};

} // namespace LaburnumChute::Customers
