#pragma once

#include <algorithm>
#include <cmath>

#include "Common/Time.h"

namespace LaburnumChute::Decisions {

/// A sum with exponential decay: after averagingTime a value counts for 1/e.
class DecayingSum
{
public:
    explicit DecayingSum(Common::Duration averagingTime)
        : seconds_(Common::toSeconds(averagingTime))
    {
    }

    void add(double amount, Common::Time now)
    {
        value_ = value(now) + amount;
        at_ = std::max(at_, now);
    }
    double value(Common::Time now) const
    {
        if (value_ == 0 || now <= at_) {
            return value_;
        }
        return value_ * std::exp(-Common::toSeconds(now - at_) / seconds_);
    }

private:
    double seconds_;
    double value_ = 0;
    Common::Time at_{};
};

} // namespace LaburnumChute::Decisions
