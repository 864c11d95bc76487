#pragma once

#include <deque>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Limits how many requests of one service are retried.
///
/// Load pattern: endpoints fail a large fraction of their requests, and each failure is retried.
/// Without a limit the number of attempts multiplies just when the endpoints can handle the fewest,
/// and a short failure becomes a long one. The limit is a ratio to the requests in a time window
/// plus a fixed number (the slack), for all instances together; each instance applies the ratio to
/// its own requests and gets an equal part of the slack.
class RetryBudget
{
public:
    RetryBudget(double ratio, double slack, Duration window);

    /// The limits change with the settings, and this instance's part of the slack changes with the
    /// number of instances.
    void setBounds(double ratio, double slack, Duration window);
    void request(Time now);
    bool available(Time now);
    /// Uses one retry of the budget; false if none is left.
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
