#pragma once

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Time for which an endpoint has asked this instance to send it nothing.
///
/// Load pattern: an endpoint beyond its capacity rejects most requests. Rejections are faster than
/// answers, so it looks like the least busy one and is sent even more. After the rest, a single
/// request is sent first: if the endpoint is still beyond its capacity, the requests that have
/// waited would all be rejected again.
class EndpointRest
{
public:
    void begin(Duration rest, Time now);
    bool allows(Time now) const;
    /// Remaining time of the rest; zero if there is none.
    Duration left(Time now) const;
    void sent(Time now);
    /// The endpoint has accepted a request.
    void accepted(Time sentAt);
    /// An attempt has ended, whatever its outcome.
    void ended(Time sentAt);

private:
    Time until_{};
    /// No request has been accepted since the rest.
    bool untested_ = false;
    /// The first request since the rest is running.
    bool testing_ = false;
    Time testSentAt_{};
};

} // namespace LaburnumChute::Dispatch
