#include "Dispatch/EndpointSpeed.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Hold times that are compared. Shorter ones are of no use to requests of some hundred
/// milliseconds; longer ones are learned as the mean.
constexpr std::array<milliseconds, 11> PossibleHoldTimes = {
    milliseconds(50),   milliseconds(100),  milliseconds(150), milliseconds(200),
    milliseconds(300),  milliseconds(400),  milliseconds(600), milliseconds(800),
    milliseconds(1200), milliseconds(1600), milliseconds(2400)};
/// Hold time that is assumed until figures have shown another one.
constexpr milliseconds UsualHoldTime{400};
/// Weight of that assumption: half a pair of figures with a deviation of 100%.
constexpr double HoldTimePrior = 0.05;
/// Factor by which the sums over pairs of figures decay with each pair.
constexpr double PairDecay = 0.998;
/// Smaller deviations do not show how long a figure holds.
constexpr double MinPairDeviation = 0.05;

/// Factor by which the sums over answers decay with each answer.
constexpr double AnswerDecay = 0.999;
/// Changes of the expected time that are too small to be confirmed by an answer.
constexpr double MinChange = 0.02;
/// A larger ratio of actual to expected time has other causes than the machine.
constexpr double MaxRatio = 8;
/// Certainty that answers must have shown before figures are used, in standard deviations: false
/// figures seem to explain some times by chance.
constexpr double RequiredCertainty = 3;
constexpr double MinAnswers = 30;

/// The mean starts at the usual figure as if this many figures had stated it, and changes by at
/// least this fraction with each further one.
constexpr int UsualFigures = 8;
constexpr double MinMeanWeight = 0.01;
/// Bounds of the factor. A larger difference could direct all requests to one endpoint, or none.
constexpr double MinFactor = 0.25;
constexpr double MaxFactor = 6;
/// Deviations that are reported to other instances. Smaller ones change an expected time by less
/// than the wait for another request.
constexpr double ReportedDeviation = 0.25;

/// Part of a deviation that remains after the time.
double remaining(Duration age, Duration holdTime)
{
    return std::exp(-std::max(0.0, Common::toSeconds(age)) / Common::toSeconds(holdTime));
}

} // namespace

SpeedModel::SpeedModel()
{
    for (std::size_t index = 0; index < HoldTimes; ++index) {
        const double ratio = inMilliseconds(PossibleHoldTimes[index]).count()
                             / inMilliseconds(UsualHoldTime).count();
        holdErrors_[index] = HoldTimePrior * std::abs(std::log2(ratio));
    }
    bestHoldTime_ = static_cast<std::size_t>(
        std::min_element(holdErrors_.begin(), holdErrors_.end()) - holdErrors_.begin());
}

void SpeedModel::figuresSeen(double first, double second, Duration interval)
{
    if (std::abs(first) < MinPairDeviation) {
        return;
    }
    for (std::size_t index = 0; index < HoldTimes; ++index) {
        const double error = second - first * remaining(interval, PossibleHoldTimes[index]);
        holdErrors_[index] = holdErrors_[index] * PairDecay + error * error;
    }
    bestHoldTime_ = static_cast<std::size_t>(
        std::min_element(holdErrors_.begin(), holdErrors_.end()) - holdErrors_.begin());
}

void SpeedModel::answerSeen(Duration expected, Duration expectedWithFigure, Duration took)
{
    if (std::min({expected, expectedWithFigure, took}) <= Duration(0)) {
        return;
    }
    const double change = std::log(inMilliseconds(expectedWithFigure) / inMilliseconds(expected));
    if (std::abs(change) < MinChange) {
        return;
    }
    const double ratio =
        std::clamp(inMilliseconds(took) / inMilliseconds(expected), 1 / MaxRatio, MaxRatio);
    const double error = std::log(ratio);
    answers_ = answers_ * AnswerDecay + 1;
    errors_ = errors_ * AnswerDecay + error;
    squaredErrors_ = squaredErrors_ * AnswerDecay + error * error;
    changes_ = changes_ * AnswerDecay + change;
    products_ = products_ * AnswerDecay + error * change;
    squaredChanges_ = squaredChanges_ * AnswerDecay + change * change;
    // Expected times have a bias under load, which would count against all figures on one side of
    // the mean, so the errors are taken around their mean: the reduction of their variance by
    // subtracting the change is twice the covariance less the variance of the change.
    const double covariance = products_ - errors_ * changes_ / answers_;
    const double variance = squaredChanges_ - changes_ * changes_ / answers_;
    const double errorVariance = (squaredErrors_ - errors_ * errors_ / answers_) / answers_;
    const double chance = std::sqrt(std::max(0.0, errorVariance * variance));
    const bool certain = answers_ >= MinAnswers && covariance > RequiredCertainty * chance;
    explains_ = 2 * covariance > variance && (explains_ || certain);
}

Duration SpeedModel::holdTime() const
{
    return PossibleHoldTimes[bestHoldTime_];
}

double EndpointSpeed::deviation(int percent) const
{
    return percent / mean_ - 1;
}

void EndpointSpeed::record(const WorkFigure &figure, SpeedModel &model)
{
    const double stated = deviation(figure.percent);
    double expected = 0;
    if (last_) {
        const double known = deviation(last_->percent);
        const auto age = figure.at - last_->at;
        model.figuresSeen(known, stated, age);
        expected = known * remaining(age, model.holdTime());
    }
    const bool deviates = std::abs(stated) >= ReportedDeviation;
    const bool contradicts = std::abs(stated - expected) >= ReportedDeviation;
    toReport_ = deviates || contradicts ? std::optional(figure) : std::nullopt;
    last_ = figure;
    ++received_;
    mean_ += std::max(MinMeanWeight, 1.0 / (received_ + UsualFigures)) * (figure.percent - mean_);
}

void EndpointSpeed::learn(const WorkFigure &figure)
{
    if (figure.at >= since_ && (!last_ || figure.at > last_->at)) {
        last_ = figure;
    }
}

double EndpointSpeed::factor(const SpeedModel &model, Time now) const
{
    if (!last_) {
        return 1;
    }
    const double left = remaining(now - last_->at, model.holdTime());
    return std::clamp(1 + deviation(last_->percent) * left, MinFactor, MaxFactor);
}

std::optional<WorkFigure> EndpointSpeed::takeReport()
{
    return std::exchange(toReport_, std::nullopt);
}

Duration atUsualSpeed(Duration time, double factor, Duration fixed)
{
    return time <= fixed ? time : fixed + scaled(time - fixed, 1 / factor);
}

} // namespace LaburnumChute::Dispatch
