#include "Dispatch/TransferModel.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Connection setup and the request to the source. The learned ratio corrects it.
constexpr milliseconds Setup{10};
/// Longer than any request's deadline. Bounds what a wrong size or rate can lead to.
constexpr seconds MaxTime{60};
constexpr double SampleWeight = 0.1;
/// Bounds of the ratio. At the upper one, a large part takes longer to copy than to prefill.
constexpr double MinRatio = 0.25;
constexpr double MaxRatio = 8;
/// Mean deviation of the ratio until transfers have been measured.
constexpr double InitialDeviation = 0.25;
/// Fraction of the other components of a first event's time by which they are usually wrong.
constexpr double OthersUncertainty = 0.5;
/// After this time without samples, half of what was learned is taken back. Copies that seem too
/// slow are not made and so give no samples; with this time an instance tries one in about 30 s.
constexpr seconds HalfLife{30};

} // namespace

TransferModel::TransferModel(const DispatchOptions &options)
    : setupBetweenRegions_(options.copyTimeBetweenRegions)
{
    for (auto &learned : learned_) {
        learned.deviation = InitialDeviation;
    }
}

bool TransferModel::knows(const Catalog::EngineTraits &traits)
{
    return traits.supportsCacheTransfer && traits.cacheBytesPerToken > 0
           && traits.linkBitsPerSecond > 0;
}

const TransferModel::Learned &TransferModel::learned(TransferPath path) const
{
    return learned_.at(static_cast<std::size_t>(path));
}

Duration TransferModel::nominal(const Catalog::EngineTraits &traits, std::int64_t tokens,
                                TransferPath path) const
{
    constexpr double BitsInByte = 8;
    const double bits = static_cast<double>(tokens) * traits.cacheBytesPerToken * BitsInByte;
    const double limit = Common::toSeconds(MaxTime);
    const std::chrono::duration<double> onLink(std::min(bits / traits.linkBitsPerSecond, limit));
    const Duration setup =
        path == TransferPath::WithinRegion ? Duration(Setup) : setupBetweenRegions_;
    return std::min<Duration>(setup + std::chrono::duration_cast<Duration>(onLink), MaxTime);
}

TransferTime TransferModel::time(const Catalog::EngineTraits &traits, std::int64_t tokens,
                                 TransferPath path, Time now) const
{
    const auto nominalTime = nominal(traits, tokens, path);
    return {std::min<Duration>(scaled(nominalTime, ratio(path, now)), MaxTime),
            scaled(nominalTime, deviation(path))};
}

void TransferModel::sample(const Catalog::EngineTraits &traits, std::int64_t tokens,
                           TransferPath path, Duration firstEvent, Duration others, Time now)
{
    const auto nominalTime = inMilliseconds(nominal(traits, tokens, path)).count();
    const auto otherTime = inMilliseconds(std::max(Duration(0), others)).count();
    const double expected = nominalTime * ratio(path, now);
    const double error = inMilliseconds(firstEvent).count() - otherTime - expected;
    if (nominalTime <= 0) {
        return;
    }
    const double certain = std::max(0.0, std::abs(error) - otherTime * OthersUncertainty);
    const double measured =
        std::clamp((expected + std::copysign(certain, error)) / nominalTime, MinRatio, MaxRatio);
    const double weight = SampleWeight * nominalTime / (nominalTime + otherTime);
    auto &learned = learned_.at(static_cast<std::size_t>(path));
    const double before = ratio(path, now);
    learned.ratio = before + weight * (measured - before);
    learned.deviation += weight * (std::abs(measured - before) - learned.deviation);
    learned.sampledAt = now;
}

double TransferModel::ratio(TransferPath path, Time now) const
{
    const auto &known = learned(path);
    const double age = Common::toSeconds(now - known.sampledAt) / Common::toSeconds(HalfLife);
    return 1 + (known.ratio - 1) * std::exp2(-std::max(0.0, age));
}

double TransferModel::deviation(TransferPath path) const
{
    return learned(path).deviation;
}

} // namespace LaburnumChute::Dispatch
