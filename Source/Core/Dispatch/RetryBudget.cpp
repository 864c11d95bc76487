#include "Dispatch/RetryBudget.h"

#include <cmath>

namespace LaburnumChute::Dispatch {

RetryBudget::RetryBudget(double ratio, double slack, Duration window, std::uint64_t seed)
    : ratio_(ratio)
    , slack_(slack)
    , window_(window)
    , random_(seed)
{
}

void RetryBudget::setBounds(double ratio, double slack, Duration window)
{
    ratio_ = ratio;
    slack_ = slack;
    window_ = window;
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

double RetryBudget::limit() const
{
    return std::floor(ratio_ * static_cast<double>(requests_.size()) + slack_ + rounding_);
}

bool RetryBudget::available(Time now)
{
    forget(now);
    drawRounding(now);
    return static_cast<double>(retries_.size()) + 1 <= limit();
}

RetryBudget::State RetryBudget::state(Time now)
{
    forget(now);
    drawRounding(now);
    return {requests_.size(), retries_.size(), limit()};
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
