#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Cluster/Types.h"

namespace LaburnumChute::Cluster {

/// Aggregates the load reports of a region's instances into the load of the region: the instances'
/// requests are summed, and their views of the same endpoints are averaged.
class LoadAggregator
{
public:
    void add(const LoadSummary &loads);
    /// Returns at most MaxServices entries, so that a summary fits into a datagram.
    LoadSummary result() const;

    static constexpr std::size_t MaxServices = 10;

private:
    struct Sum
    {
        ServiceLoad load;
        std::uint64_t reports = 0;
        std::uint64_t freeTokensPerSecond = 0;
        std::uint64_t expectedWaitMs = 0;
        std::uint64_t prefillTokensPerSecond = 0;
        std::uint64_t utilisationPercent = 0;
    };

    std::map<std::string, Sum> sums_;
};

} // namespace LaburnumChute::Cluster
