#include "Dispatch/TransferModel.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Connection setup and the request to the source.
constexpr milliseconds Setup{10};
/// Longer than any request's deadline. Bounds what a wrong size or rate can lead to.
constexpr seconds MaxTime{60};
/// Fraction of the other components of a first event's time by which they are usually wrong.
constexpr double OthersUncertainty = 0.5;
/// After this time without samples, half of what was learned is taken back. Copies that seem too
/// slow are not made and so give no samples; with this time a region tries one in about 30 s.
constexpr seconds HalfLife{30};
/// Time after which the sample of a copy is not expected any more. A transfer of gigabytes between
/// regions takes 1.3 s, and the next report of its instance reaches all others within half a
/// second.
constexpr seconds TryTime{3};

/// What is assumed about a path before it has been measured.
TransferSample priorOf(TransferPath path)
{
    switch (path) {
    case TransferPath::WithinDomain:
        // The configuration states the rate of this path. Two samples outweigh it.
        return {1, 1, 0.25};
    case TransferPath::BetweenDomains:
        // The rate may be half of the stated one; a copy has to be worth it at that rate too.
        return {0.5, 1, 1};
    case TransferPath::BetweenRegions:
        break;
    }
    // The rate may be a tenth of the stated one. The deviation covers half of that: a first copy of
    // gigabytes is made where prefilling again is several times slower than at the nominal rate.
    return {0.5, 1, 4};
}

} // namespace

std::string_view toString(TransferPath path)
{
    switch (path) {
    case TransferPath::WithinDomain:
        return "within_domain";
    case TransferPath::BetweenDomains:
        return "between_domains";
    case TransferPath::BetweenRegions:
        break;
    }
    return "between_regions";
}

TransferPath transferPath(const Catalog::EndpointRecord &source,
                          const Catalog::EndpointRecord &target, bool sameRegion)
{
    if (!sameRegion) {
        return TransferPath::BetweenRegions;
    }
    return source.failureDomain == target.failureDomain ? TransferPath::WithinDomain
                                                        : TransferPath::BetweenDomains;
}

TransferModel::TransferModel(const DispatchOptions &options)
    : setupBetweenRegions_(options.copyTimeBetweenRegions)
{
}

bool TransferModel::knows(const Catalog::EngineTraits &traits)
{
    return traits.supportsCacheTransfer && traits.cacheBytesPerToken > 0
           && traits.linkBitsPerSecond > 0;
}

Duration TransferModel::setup(TransferPath path) const
{
    return path == TransferPath::BetweenRegions ? setupBetweenRegions_ : Duration(Setup);
}

Duration TransferModel::nominal(const Catalog::EngineTraits &traits, std::int64_t tokens)
{
    constexpr double BitsInByte = 8;
    const double bits = static_cast<double>(tokens) * traits.cacheBytesPerToken * BitsInByte;
    const double limit = Common::toSeconds(MaxTime);
    const std::chrono::duration<double> onLink(std::min(bits / traits.linkBitsPerSecond, limit));
    return std::chrono::duration_cast<Duration>(onLink);
}

TransferTime TransferModel::time(const Catalog::EngineTraits &traits, std::int64_t tokens,
                                 TransferPath path, Time now) const
{
    const auto onLink = nominal(traits, tokens);
    const auto known = factor(path, now);
    return {std::min<Duration>(setup(path) + scaled(onLink, known.factor), MaxTime),
            std::min<Duration>(scaled(onLink, known.deviation), MaxTime)};
}

void TransferModel::sample(const Catalog::EngineTraits &traits, std::int64_t tokens,
                           TransferPath path, Duration firstEvent, Duration others, Time now)
{
    const auto onLink = inMilliseconds(nominal(traits, tokens)).count();
    if (onLink <= 0) {
        return;
    }
    const auto otherTime = inMilliseconds(std::max(Duration(0), others)).count();
    const double uncertain = otherTime * OthersUncertainty;
    const double expected = onLink * factor(path, now).factor;
    const double error = inMilliseconds(firstEvent - setup(path)).count() - otherTime - expected;
    // For a transfer that is short in comparison, an error is that of the other components.
    const double certain = std::max(0.0, std::abs(error) - std::max(0.0, uncertain - onLink));
    const double measured = std::clamp((expected + std::copysign(certain, error)) / onLink,
                                       MinTransferFactor, MaxTransferFactor);
    const double weight = 1 / (1 + std::pow(uncertain / onLink, 2));
    samples(path).add({weight, measured, 0, now});
}

void TransferModel::tried(TransferPath path, Time now)
{
    paths_.at(static_cast<std::size_t>(path)).triedAt = now;
    estimatedAt_.reset();
}

TransferSample TransferModel::factor(TransferPath path, Time now) const
{
    if (estimatedAt_ != now) {
        double factorOfShorter = 0;
        for (const auto each : TransferPaths) {
            auto &estimated = estimates_.at(static_cast<std::size_t>(each));
            estimated = estimate(each, factorOfShorter, now);
            factorOfShorter = estimated.factor;
        }
        estimatedAt_ = now;
    }
    return estimates_.at(static_cast<std::size_t>(path));
}

TransferSample TransferModel::estimate(TransferPath path, double factorOfShorter, Time now) const
{
    auto prior = priorOf(path);
    prior.factor = std::max(prior.factor, factorOfShorter);
    const auto &known = paths_.at(static_cast<std::size_t>(path));
    const auto latest = known.samples.latest();
    const bool trying =
        known.triedAt && now - *known.triedAt < TryTime && (!latest || *latest < *known.triedAt);
    if (!latest) {
        // Until the first copy is measured, only those are made that cannot take too long.
        const bool unsure = trying && path != TransferPath::WithinDomain;
        const double deviation = unsure ? MaxTransferFactor - prior.factor : prior.deviation;
        return {0, prior.factor, deviation, Time()};
    }
    auto estimate = known.samples.estimate(prior);
    const double age = trying ? 0 : std::max(0.0, Common::toSeconds(now - *latest));
    const double valid = std::exp2(-age / Common::toSeconds(HalfLife));
    estimate.weight *= valid;
    estimate.factor = prior.factor + (estimate.factor - prior.factor) * valid;
    estimate.deviation = prior.deviation + (estimate.deviation - prior.deviation) * valid;
    return estimate;
}

} // namespace LaburnumChute::Dispatch
