#pragma once

#include <deque>
#include <map>
#include <vector>

#include "Decisions/Facts.h"

namespace LaburnumChute::Decisions {

/// Work that callers asked for, per target with its adapter, in windows: the input of placement.
/// Refused work counts as well, since demand that is turned away is still demand.
class DemandMeter
{
public:
    /// @param window  length of one window
    /// @param windows number of windows kept
    DemandMeter(Duration window, std::size_t windows);

    void add(const Target &target, double workTokens, Time now);
    /// Mean and deviation over the windows that are complete.
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
