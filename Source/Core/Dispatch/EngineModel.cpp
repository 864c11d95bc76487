#include "Dispatch/EngineModel.h"

#include <algorithm>

namespace LaburnumChute::Dispatch {

namespace {

/// Shorter prompts say more of the way there than of the engine.
constexpr std::int64_t SampleMinimumTokens = 1000;
constexpr double SampleWeight = 0.1;
/// Bounds of what is believed: a tenth of the slowest and ten times the fastest engine in use.
constexpr double SlowestRate = 4;
constexpr double FastestRate = 600;

} // namespace

EngineModel::EngineModel(const DispatchOptions &options)
    : floor_(options.firstEventFloor)
    , rate_(options.prefillRate)
{
}

Duration EngineModel::readTime(std::int64_t tokens) const
{
    const std::chrono::duration<double, std::milli> time(static_cast<double>(tokens) / rate_);
    return std::chrono::duration_cast<Duration>(time);
}

void EngineModel::sample(std::int64_t tokens, Duration firstEvent)
{
    if (tokens < SampleMinimumTokens || firstEvent <= floor_) {
        return;
    }
    const std::chrono::duration<double, std::milli> reading(firstEvent - floor_);
    const auto seen =
        std::clamp(static_cast<double>(tokens) / reading.count(), SlowestRate, FastestRate);
    rate_ += SampleWeight * (seen - rate_);
}

} // namespace LaburnumChute::Dispatch
