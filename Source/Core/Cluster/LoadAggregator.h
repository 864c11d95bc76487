#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Cluster/Types.h"

namespace LaburnumChute::Cluster {

/// Adds the loads that the instances of a region report up to the load of the region: work of the
/// instances is summed, views of the same endpoints are averaged.
class LoadAggregator
{
public:
    void add(const LoadSummary &loads);
    /// At most MaxServices, so that a summary fits a datagram.
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
