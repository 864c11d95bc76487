#include "Decisions/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace LaburnumChute::Decisions {

namespace {

/// The baseline rises this many times more slowly than it falls, so that a lasting overload does
/// not soon become the baseline.
constexpr double BaselineRiseDivisor = 50;
constexpr double MinGradient = 0.5;
constexpr double DefaultCeiling = 1024;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyOptions &options)
    : options_(options)
    , limit_(options.initialLimit)
{
}

double ConcurrencyLimit::ceiling() const
{
    return batchLimit_ > 0 ? batchLimit_ + options_.slack : DefaultCeiling;
}

void ConcurrencyLimit::setBatchLimit(std::int64_t batchLimit)
{
    if (batchLimit <= 0 || static_cast<double>(batchLimit) == batchLimit_) {
        return;
    }
    batchLimit_ = static_cast<double>(batchLimit);
    limit_ = ceiling();
}

void ConcurrencyLimit::sample(double observedRatio, double inFlight)
{
    // A delay shorter than expected is no information about load; for example, a prefix was cached
    // without the index knowing.
    const double ratio = std::max(1.0, observedRatio);
    if (recent_ == 0) {
        recent_ = ratio;
        baseline_ = ratio;
    }
    recent_ += options_.smoothing * (ratio - recent_);
    const double weight =
        recent_ < baseline_ ? options_.smoothing : options_.smoothing / BaselineRiseDivisor;
    baseline_ += weight * (recent_ - baseline_);

    const double gradient =
        std::clamp(options_.tolerance * baseline_ / std::max(recent_, 1e-9), MinGradient, 1.0);
    // A limit that is not reached gives no evidence for a higher one.
    if (gradient >= 1 && inFlight < limit_ / 2) {
        return;
    }
    const double target = limit_ * gradient + std::sqrt(limit_) * (gradient >= 1 ? 1 : 0);
    limit_ += options_.smoothing * (target - limit_);
    limit_ = std::clamp(
        limit_, std::max(options_.minimum, options_.minimumBatchRatio * batchLimit_), ceiling());
}

} // namespace LaburnumChute::Decisions
