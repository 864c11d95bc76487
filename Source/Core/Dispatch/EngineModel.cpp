#include "Dispatch/EngineModel.h"

#include <algorithm>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// The time to the first event of shorter prompts depends more on the network than on the engine.
constexpr std::int64_t SampleMinimumTokens = 1000;
constexpr double SampleWeight = 0.1;
/// Bounds of the estimate, in tokens per millisecond. They limit the effect of a wrong sample.
constexpr double MinPrefillRate = 4;
constexpr double MaxPrefillRate = 600;
/// Bounds of the fraction of an engine's time that prefill gets.
constexpr double MinPrefillFraction = 0.1;
constexpr double MaxPrefillFraction = 1;
/// Factor by which the sums over answers decay with each answer.
constexpr double AnswerDecay = 0.999;
/// Factor by which the shortest pause grows with each event, in case all engines become slower.
constexpr double FastestPauseGrowth = 1.0001;

} // namespace

EngineModel::EngineModel(const DispatchOptions &options)
    : floor_(options.firstEventFloor)
    , rate_(options.prefillRate)
    , prefillFraction_(options.prefillFraction)
{
}

Duration EngineModel::prefillTime(std::int64_t tokens) const
{
    const std::chrono::duration<double, std::milli> time(static_cast<double>(tokens) / rate_);
    return std::chrono::duration_cast<Duration>(time);
}

void EngineModel::samplePrefill(std::int64_t tokens, Duration firstEvent)
{
    if (tokens < SampleMinimumTokens || firstEvent <= floor_) {
        return;
    }
    const std::chrono::duration<double, std::milli> reading(firstEvent - floor_);
    const auto measured =
        std::clamp(static_cast<double>(tokens) / reading.count(), MinPrefillRate, MaxPrefillRate);
    ++rateSamples_;
    // The first samples replace the default.
    rate_ += std::max(SampleWeight, 1.0 / rateSamples_) * (measured - rate_);
}

void EngineModel::sampleBusyPrefill(Duration expected, Duration took)
{
    constexpr double MaxRatio = 4;
    if (expected <= Duration(0) || took <= Duration(0)) {
        return;
    }
    const double ratio =
        std::clamp(inMilliseconds(expected) / inMilliseconds(took), 1 / MaxRatio, MaxRatio);
    const double factor = 1 + SampleWeight * (ratio - 1);
    if (rateSamples_ > 0) {
        prefillFraction_ =
            std::clamp(prefillFraction_ * factor, MinPrefillFraction, MaxPrefillFraction);
    } else {
        // No engine has been idle so far, so the prefill rate is unknown too.
        rate_ = std::clamp(rate_ * factor, MinPrefillRate, MaxPrefillRate);
    }
}

Duration EngineModel::busyPrefillTime(std::int64_t tokens) const
{
    return scaled(prefillTime(tokens), 1 / prefillFraction_);
}

void EngineModel::holdSeen(Duration held)
{
    ++holdSamples_;
    holdTime_ += scaled(held - holdTime_, std::max(SampleWeight, 1.0 / holdSamples_));
}

void EngineModel::answerSeen(std::int64_t expectedTokens, int events)
{
    if (expectedTokens <= 0 || events <= 0) {
        return;
    }
    expectedTokens_ = expectedTokens_ * AnswerDecay + static_cast<double>(expectedTokens);
    events_ = events_ * AnswerDecay + events;
}

double EngineModel::expectedEvents(std::int64_t expectedTokens) const
{
    return expectedTokens_ > 0 ? static_cast<double>(expectedTokens) * events_ / expectedTokens_
                               : 0;
}

void EngineModel::paceSeen(Duration pause)
{
    const bool none = fastestPause_ == Duration(0);
    fastestPause_ = none ? pause : std::min(scaled(fastestPause_, FastestPauseGrowth), pause);
}

} // namespace LaburnumChute::Dispatch
