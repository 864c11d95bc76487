#pragma once

#include <deque>
#include <random>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Limits how many requests of one service are retried.
///
/// Load pattern: endpoints fail a large fraction of their requests, and each failure is retried.
/// Without a limit the number of attempts multiplies just when the endpoints can handle the fewest,
/// and a short failure becomes a long one. The limit is a ratio to the requests in a time window
/// plus a fixed number (the slack), for all instances together; each instance applies the ratio to
/// its own requests and gets an equal part of the slack. The first needs no knowledge of other
/// instances or of the time before a restart; the second does, and is not used without it.
///
/// A forwarded request counts as one half at each of the two instances: the first retries when the
/// other one or its region is lost, the second when an endpoint fails.
///
/// With hundreds of instances, the limit of each is a fraction that is mostly below one retry. It
/// is therefore rounded up or down at random, once per window: all instances together still keep to
/// the limit on average, and by the law of large numbers closely, where rounding down would leave
/// most of it unused.
class RetryBudget
{
public:
    /// @param slackFrom when this process has run for a window: an earlier process of the instance
    ///        may have used its part of the slack just before, and keeps no record of that
    RetryBudget(double ratio, double slack, Duration window, Time slackFrom, std::uint64_t seed);

    /// The limits change with the settings, and this instance's part of the slack changes with the
    /// number of instances.
    void setBounds(double ratio, double slack, Duration window, Time slackFrom);
    void request(Time now);
    /// A request that was counted here is forwarded.
    void requestForwarded(Time now);
    /// The forwarded request has not reached the other instance.
    void undoForwarded(Time now);
    /// Another instance forwarded a request here.
    void requestFromPeer(Time now);
    bool available(Time now);
    /// Reserves one retry of the budget; false if none is left. The retry may be sent much later,
    /// and counts in the window in which endpoints get it.
    bool reserve(Time now);
    /// A reserved retry is not made.
    void release();
    /// A reserved retry is sent.
    void sent(Time now);
    /// Nothing of the retry that was sent then has reached an endpoint; it is reserved again.
    void undoSent(Time sentAt);

    struct State
    {
        double requests = 0;
        /// Reserved and sent ones.
        std::size_t retries = 0;
        double limit = 0;
    };
    State state(Time now);

private:
    struct Count
    {
        Time at;
        /// In halves of a request; negative where one was forwarded.
        int halves = 0;
    };

    void count(int halves, Time now);
    double requests() const;
    void forget(Time now);
    void drawRounding(Time now);
    double limit(Time now) const;

    double ratio_;
    double slack_;
    Duration window_;
    Time slackFrom_;
    std::mt19937_64 random_;
    /// Added to the limit before it is rounded down; from 0 to 1.
    double rounding_ = 0;
    Time roundingDrawnAt_{};
    std::deque<Count> counts_;
    /// Sum of the counts.
    int halves_ = 0;
    std::deque<Time> retries_;
    std::size_t reserved_ = 0;
};

} // namespace LaburnumChute::Dispatch
