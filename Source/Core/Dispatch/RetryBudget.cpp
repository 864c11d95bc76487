#include "Dispatch/RetryBudget.h"

#include <algorithm>
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
    return static_cast<double>(retries_.size() + reserved_) + 1 <= limit(now);
}

RetryBudget::State RetryBudget::state(Time now)
{
    forget(now);
    drawRounding(now);
    return {requests_.size(), retries_.size() + reserved_, limit(now)};
}

bool RetryBudget::reserve(Time now)
{
    if (!available(now)) {
        return false;
    }
    ++reserved_;
    return true;
}

void RetryBudget::release()
{
    --reserved_;
}

void RetryBudget::sent(Time now)
{
    --reserved_;
    retries_.push_back(now);
}

void RetryBudget::undoSent(Time sentAt)
{
    ++reserved_;
    const auto found = std::find(retries_.rbegin(), retries_.rend(), sentAt);
    if (found != retries_.rend()) {
        retries_.erase(std::prev(found.base()));
    }
}

} // namespace LaburnumChute::Dispatch
