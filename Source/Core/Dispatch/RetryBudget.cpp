#include "Dispatch/RetryBudget.h"

namespace LaburnumChute::Dispatch {

RetryBudget::RetryBudget(double ratio, double slack, Duration window)
    : ratio_(ratio)
    , slack_(slack)
    , window_(window)
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

void RetryBudget::request(Time now)
{
    forget(now);
    requests_.push_back(now);
}

bool RetryBudget::available(Time now)
{
    forget(now);
    const double allowed = ratio_ * static_cast<double>(requests_.size()) + slack_;
    return static_cast<double>(retries_.size()) + 1 <= allowed;
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
