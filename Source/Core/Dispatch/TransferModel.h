#pragma once

#include <array>
#include <optional>
#include <vector>

#include "Dispatch/Options.h"
#include "Dispatch/TransferSamples.h"

namespace LaburnumChute::Dispatch {

/// Expected duration of a transfer.
struct TransferTime
{
    Duration expected{0};
    /// Mean deviation of such transfers from the expected time.
    Duration deviation{0};
};

/// Path between the endpoints of two records.
/// @param sameRegion they are in the same region
TransferPath transferPath(const Catalog::EndpointRecord &source,
                          const Catalog::EndpointRecord &target, bool sameRegion);

/// Time for which a service's endpoints copy parts of the KV cache from each other, learned from
/// answers that carried a copy.
///
/// Load pattern: a popular prompt part of gigabytes is needed at several engines, with so many
/// instances that each sees few transfers. The nominal time follows from the size and the link rate
/// that the configuration states; on longer paths it takes several times as long. The factor is
/// learned for each path from the samples of all instances of the region.
class TransferModel
{
public:
    explicit TransferModel(const DispatchOptions &options);

    /// Whether the configuration states what the time of a transfer depends on.
    static bool knows(const Catalog::EngineTraits &traits);

    TransferTime time(const Catalog::EngineTraits &traits, std::int64_t tokens, TransferPath path,
                      Time now) const;
    /// Records the time to the first event of an answer for which tokens were copied.
    /// @param others expected time of everything but the transfer
    void sample(const Catalog::EngineTraits &traits, std::int64_t tokens, TransferPath path,
                Duration firstEvent, Duration others, Time now);
    /// Records that an instance of the region has begun a copy. While its time is not known, other
    /// copies do not try the same path.
    void tried(TransferPath path, Time now);
    /// Estimate for the time on the link relative to the nominal one, as of now.
    TransferSample factor(TransferPath path, Time now) const;

    TransferSamples &samples(TransferPath path)
    {
        estimatedAt_.reset();
        return paths_.at(static_cast<std::size_t>(path)).samples;
    }
    const TransferSamples &samples(TransferPath path) const
    {
        return paths_.at(static_cast<std::size_t>(path)).samples;
    }

private:
    struct Path
    {
        TransferSamples samples;
        std::optional<Time> triedAt;
    };

    TransferSample estimate(TransferPath path, double factorOfShorter, Time now) const;
    Duration setup(TransferPath path) const;
    static Duration nominal(const Catalog::EngineTraits &traits, std::int64_t tokens);

    Duration setupBetweenRegions_;
    std::array<Path, TransferPaths.size()> paths_;
    /// Estimates by path, and for when they are. A decision compares all holders of a part with all
    /// endpoints, at the same time.
    mutable std::array<TransferSample, TransferPaths.size()> estimates_;
    mutable std::optional<Time> estimatedAt_;
};

} // namespace LaburnumChute::Dispatch
