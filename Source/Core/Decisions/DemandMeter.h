#pragma once

#include <deque>
#include <map>
#include <vector>

#include "Decisions/Facts.h"

namespace LaburnumChute::Decisions {

/// Work that callers requested, per target with its adapter, in windows: the input of placement.
/// Rejected work counts as well, since it is still demand.
class DemandMeter
{
public:
    /// @param window length of one window
    /// @param windows number of windows kept
    DemandMeter(Duration window, std::size_t windows);

    void add(const Target &target, double workTokens, Time now);
    /// Mean and standard deviation over the complete windows.
    std::vector<TargetDemand> demand(Time now) const;

private:
    struct Series
    {
        std::deque<double> complete;
        double current = 0;
        Time start{};
    };

    void advance(Series &series, Time now) const;

    Duration window_;
    std::size_t windows_;
    std::map<Target, Series> series_;
};

} // namespace LaburnumChute::Decisions
