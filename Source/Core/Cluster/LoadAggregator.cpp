#include "Cluster/LoadAggregator.h"

#include <algorithm>

namespace LaburnumChute::Cluster {

void LoadAggregator::add(const LoadSummary &loads)
{
    for (const ServiceLoad &load : loads) {
        Sum &sum = sums_[load.name];
        sum.load.name = load.name;
        sum.load.running += load.running;
        sum.load.waiting += load.waiting;
        sum.load.limit = std::max(sum.load.limit, load.limit);
        ++sum.reports;
        sum.freeTokensPerSecond += load.freeTokensPerSecond;
        sum.expectedWaitMs += load.expectedWaitMs;
        sum.prefillTokensPerSecond += load.prefillTokensPerSecond;
        sum.utilisationPercent += load.utilisationPercent;
    }
}

LoadSummary LoadAggregator::result() const
{
    LoadSummary loads;
    for (const auto &[name, sum] : sums_) {
        if (loads.size() == MaxServices) {
            break;
        }
        const auto mean = [&sum = sum](std::uint64_t total) {
            return static_cast<std::uint32_t>(total / sum.reports);
        };
        ServiceLoad load = sum.load;
        load.freeTokensPerSecond = mean(sum.freeTokensPerSecond);
        load.expectedWaitMs = mean(sum.expectedWaitMs);
        load.prefillTokensPerSecond = mean(sum.prefillTokensPerSecond);
        load.utilisationPercent = mean(sum.utilisationPercent);
        loads.push_back(std::move(load));
    }
    return loads;
}

} // namespace LaburnumChute::Cluster
