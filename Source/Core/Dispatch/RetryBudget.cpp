#include "Dispatch/RetryBudget.h"

#include <cmath>

namespace LaburnumChute::Dispatch {

RetryBudget::RetryBudget(double ratio, double slack, Duration window, Time slackFrom,
                         std::uint64_t seed)
    : ratio_(ratio)
    , slack_(slack)
    , window_(window)
    , slackFrom_(slackFrom)
    , random_(seed)
{
}

void RetryBudget::setBounds(double ratio, double slack, Duration window, Time slackFrom)
{
    ratio_ = ratio;
    slack_ = slack;
    window_ = window;
    slackFrom_ = slackFrom;
}

void RetryBudget::forget(Time now)
{
    for (auto *times : {&requests_, &retries_}) {
        while (!times->empty() && now - times->front() > window_) {
            times->pop_front();
        }
    }
}

void RetryBudget::drawRounding(Time now)
{
    if (roundingDrawnAt_ != Time() && now - roundingDrawnAt_ <= window_) {
        return;
    }
    roundingDrawnAt_ = now;
    rounding_ = std::uniform_real_distribution<double>(0, 1)(random_);
}

void RetryBudget::request(Time now)
{
    forget(now);
    requests_.push_back(now);
}

double RetryBudget::limit(Time now) const
{
    const double slack = now >= slackFrom_ ? slack_ : 0;
    return std::floor(ratio_ * static_cast<double>(requests_.size()) + slack + rounding_);
}

bool RetryBudget::available(Time now)
{
    forget(now);
    drawRounding(now);
    return static_cast<double>(retries_.size()) + 1 <= limit(now);
}

RetryBudget::State RetryBudget::state(Time now)
{
    forget(now);
    drawRounding(now);
    return {requests_.size(), retries_.size(), limit(now)};
}

bool RetryBudget::take(Time now)
{
    if (!available(now)) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

} // namespace LaburnumChute::Dispatch
