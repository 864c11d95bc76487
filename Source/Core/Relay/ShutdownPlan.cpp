#include "Relay/ShutdownPlan.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;

/// Callers ask the directory again after a second, some after three times that, and then leave the
/// instance by themselves.
constexpr milliseconds CloseAfter{2200};
/// A request that is taken later than this may still run when the process is ended by force: a
/// caller waits up to eight seconds, and so long is the time to stop. It would lose its answer.
/// Callers see a connection that broke in the midst of an answer. Refused, they try another
/// instance.
constexpr milliseconds RejectRequestsAfter{2800};
constexpr milliseconds RejectConnectionsAfter{3200};
/// A process that ends while a caller's bytes are unread resets that connection, and an answer that
/// is still on its way is lost with it: connections get this long to end in order. It is a little
/// more than the time for which a closing connection is read on.
constexpr milliseconds ConnectionCloseTime{1700};
/// What is still under way this long before the end by force is cut off here, so that the log says
/// which requests these were.
constexpr milliseconds ForcedExitMargin{300};

} // namespace

ShutdownPlan::ShutdownPlan(Common::Time requestedAt, Common::Duration bound)
    : requestedAt_(requestedAt)
    , bound_(bound)
{
}

ShutdownStep ShutdownPlan::step(std::size_t requests, std::size_t connections,
                                Common::Time now) const
{
    const auto since = now - requestedAt_;
    const bool closeTimeElapsed = since >= RejectConnectionsAfter + ConnectionCloseTime;
    const bool idle = requests == 0 && (connections == 0 || closeTimeElapsed);
    ShutdownStep step;
    step.closeConnections = since >= CloseAfter;
    step.rejectRequests = since >= RejectRequestsAfter;
    step.rejectConnections = since >= RejectConnectionsAfter;
    step.end = (step.rejectConnections && idle) || since >= bound_ - ForcedExitMargin;
    return step;
}

} // namespace LaburnumChute::Relay
