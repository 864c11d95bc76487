#include "Relay/ShutdownPlan.h"

#include <algorithm>

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;

/// The steps below are those of this bound; a shorter one shortens them.
constexpr milliseconds UsualBound{8000};
/// Callers query the directory again after 1 s, some after 3 s, and then leave the instance on
/// their own.
constexpr milliseconds CloseAfter{2200};
/// A request accepted later than this could still be running when the process is killed: callers
/// wait for up to 8 s, and the shutdown time limit is 8 s as well. Its response would be lost and
/// the caller would see a broken connection, while a rejected request is retried at another
/// instance.
constexpr milliseconds RejectRequestsAfter{2800};
constexpr milliseconds RejectConnectionsAfter{3200};
/// A request that is sent later is not expected to end in time.
constexpr milliseconds EndWaitingAfter{5200};
/// Requests that are still running this long before the process would be killed are ended, which
/// leaves time for their last bytes.
constexpr milliseconds EndRequestsMargin{500};
/// The process exits by itself this long before it would be killed, so that the log states what it
/// left.
constexpr milliseconds ForcedExitMargin{300};

} // namespace

ShutdownPlan::ShutdownPlan(Common::Time requestedAt, Common::Duration bound)
    : requestedAt_(requestedAt)
    , bound_(bound)
{
}

Common::Time ShutdownPlan::requestsEndAt() const
{
    return requestedAt_ + bound_ - EndRequestsMargin;
}

ShutdownStep ShutdownPlan::step(const OpenWork &work, Common::Time now) const
{
    const auto since = now - requestedAt_;
    const auto factor = std::min(1.0, std::chrono::duration<double>(bound_) / UsualBound);
    const auto isAfter = [since, factor](milliseconds time) { return since >= time * factor; };
    ShutdownStep step;
    step.closeConnections = isAfter(CloseAfter);
    step.rejectRequests = isAfter(RejectRequestsAfter);
    step.endWaiting = isAfter(EndWaitingAfter);
    step.rejectConnections = isAfter(RejectConnectionsAfter);
    step.endRequests = now >= requestsEndAt();
    const bool mustExit = since >= bound_ - ForcedExitMargin;
    step.end = (step.rejectConnections && work.done()) || mustExit;
    step.timeLimitReached = mustExit && !work.done();
    return step;
}

} // namespace LaburnumChute::Relay
