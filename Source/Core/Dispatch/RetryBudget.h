#pragma once

#include <deque>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// How many requests of one service may be sent once more.
///
/// Load pattern: endpoints fail a large share of what they get, and each failure is sent again.
/// Without a bound the tries multiply just when the endpoints can take least, and a short failure
/// becomes a long one. The bound is a share of the requests in a window and a fixed number, for all
/// instances together; each takes the share of its own requests and an equal part of the number.
class RetryBudget
{
public:
    RetryBudget(double ratio, double slack, Duration window);

    /// Bounds may change with the settings, the part of the slack with the fleet.
    void setBounds(double ratio, double slack, Duration window);
    void request(Time now);
    bool available(Time now);
    /// Takes one more send; false when none is left.
    bool take(Time now);

private:
    void forget(Time now);

    double ratio_;
    double slack_;
    Duration window_;
    std::deque<Time> requests_;
    std::deque<Time> retries_;
};

} // namespace LaburnumChute::Dispatch
