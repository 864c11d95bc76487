#pragma once

#include "Decisions/Decisions.h"
#include "Dispatch/Call.h"
#include "Dispatch/EndpointBook.h"

namespace LaburnumChute::Dispatch {

/// What the ends of tries tell of endpoints: which fail, which rest, and which requests took them
/// down.
class EndpointHealth
{
public:
    EndpointHealth(const DispatchOptions &options, const EndpointBook &book,
                   Decisions::Quarantine &quarantine);

    /// @param took from sending the request to its first event
    void noteFirstEvent(EndpointState &endpoint, const Call &call, Duration took);
    void noteOutcome(EndpointState &endpoint, const Call &call, AttemptOutcome outcome, Time now);

private:
    void rest(EndpointState &endpoint, Time now);

    const DispatchOptions *options_;
    const EndpointBook *book_;
    Decisions::Quarantine *quarantine_;
};

} // namespace LaburnumChute::Dispatch
