#pragma once

#include <array>

#include "Dispatch/Options.h"

namespace LaburnumChute::Dispatch {

enum class TransferPath {
    WithinRegion,
    BetweenRegions,
};

/// Expected duration of a transfer.
struct TransferTime
{
    Duration expected{0};
    /// Mean deviation of such transfers from the expected time.
    Duration deviation{0};
};

/// Time for which a service's endpoints copy parts of the KV cache from each other, learned from
/// answers that carried a copy.
///
/// Load pattern: a popular prompt part of gigabytes is needed at several engines. The nominal time
/// follows from the size and the link rate that the configuration states; other traffic on the
/// links makes it longer.
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
    /// Mean ratio of measured to nominal times, and its mean deviation.
    double ratio(TransferPath path, Time now) const;
    double deviation(TransferPath path) const;

private:
    struct Learned
    {
        double ratio = 1;
        double deviation = 0;
        Time sampledAt{};
    };

    Duration nominal(const Catalog::EngineTraits &traits, std::int64_t tokens,
                     TransferPath path) const;
    const Learned &learned(TransferPath path) const;

    Duration setupBetweenRegions_;
    /// By path.
    std::array<Learned, 2> learned_;
};

} // namespace LaburnumChute::Dispatch
