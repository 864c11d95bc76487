#include "Dispatch/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace LaburnumChute::Dispatch {

namespace {

/// Counts of a request, in halves.
constexpr int Whole = 2;
constexpr int Half = 1;

} // namespace

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
    while (!counts_.empty() && now - counts_.front().at > window_) {
        halves_ -= counts_.front().halves;
        counts_.pop_front();
    }
    while (!retries_.empty() && now - retries_.front() > window_) {
        retries_.pop_front();
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

void RetryBudget::count(int halves, Time now)
{
    forget(now);
    counts_.push_back({now, halves});
    halves_ += halves;
}

void RetryBudget::request(Time now)
{
    count(Whole, now);
}

void RetryBudget::requestForwarded(Time now)
{
    count(-Half, now);
}

void RetryBudget::undoForwarded(Time now)
{
    count(Half, now);
}

void RetryBudget::requestFromPeer(Time now)
{
    count(Half, now);
}

double RetryBudget::requests() const
{
    // A request may be forwarded after its own count has expired.
    return std::max(0, halves_) / static_cast<double>(Whole);
}

double RetryBudget::limit(Time now) const
{
    const double slack = now >= slackFrom_ ? slack_ : 0;
    return std::floor(ratio_ * requests() + slack + rounding_);
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
    return {requests(), retries_.size() + reserved_, limit(now)};
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
