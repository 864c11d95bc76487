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
constexpr milliseconds RefuseRequestsAfter{2800};
constexpr milliseconds RefuseConnectionsAfter{3200};
/// A process that ends while a caller's bytes are unread resets that connection, and an answer that
/// is still on its way is lost with it: connections get this long to end in order. It is a little
/// more than the time for which a closing connection is read on.
constexpr milliseconds ConnectionsEndWithin{1700};
/// What is still under way this long before the end by force is cut off here, so that the log says
/// which requests these were.
constexpr milliseconds LastAnswersBefore{300};

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
    const bool connectionsHadTime = since >= RefuseConnectionsAfter + ConnectionsEndWithin;
    const bool quiet = requests == 0 && (connections == 0 || connectionsHadTime);
    ShutdownStep step;
    step.closeConnections = since >= CloseAfter;
    step.refuseRequests = since >= RefuseRequestsAfter;
    step.refuseConnections = since >= RefuseConnectionsAfter;
    step.end = (step.refuseConnections && quiet) || since >= bound_ - LastAnswersBefore;
    return step;
}

} // namespace LaburnumChute::Relay
