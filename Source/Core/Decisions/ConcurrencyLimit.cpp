#include "Decisions/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace LaburnumChute::Decisions {

namespace {

/// The usual delay follows the recent one this many times more slowly when it rises, so that a
/// lasting overload is not soon taken for usual.
constexpr double UsualRisesSlower = 50;
constexpr double LargestCut = 0.5;
constexpr double UnstatedCeiling = 1024;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyOptions &options)
    : options_(options)
    , limit_(options.assumedLimit)
{
}

double ConcurrencyLimit::ceiling() const
{
    return stated_ > 0 ? stated_ + options_.slack : UnstatedCeiling;
}

void ConcurrencyLimit::setBatchLimit(std::int64_t batchLimit)
{
    if (batchLimit <= 0 || static_cast<double>(batchLimit) == stated_) {
        return;
    }
    stated_ = static_cast<double>(batchLimit);
    limit_ = ceiling();
}

void ConcurrencyLimit::sample(double observedRatio, double inFlight)
{
    // Faster than expected says nothing about load: a cached prefix that was not known, for
    // example.
    const double ratio = std::max(1.0, observedRatio);
    if (recent_ == 0) {
        recent_ = ratio;
        usual_ = ratio;
    }
    recent_ += options_.smoothing * (ratio - recent_);
    const double weight =
        recent_ < usual_ ? options_.smoothing : options_.smoothing / UsualRisesSlower;
    usual_ += weight * (recent_ - usual_);

    const double gradient =
        std::clamp(options_.tolerance * usual_ / std::max(recent_, 1e-9), LargestCut, 1.0);
    // A limit that nobody reaches says nothing about a higher one.
    if (gradient >= 1 && inFlight < limit_ / 2) {
        return;
    }
    const double target = limit_ * gradient + std::sqrt(limit_) * (gradient >= 1 ? 1 : 0);
    limit_ += options_.smoothing * (target - limit_);
    limit_ =
        std::clamp(limit_, std::max(options_.minimum, options_.floorShare * stated_), ceiling());
}

} // namespace LaburnumChute::Decisions
