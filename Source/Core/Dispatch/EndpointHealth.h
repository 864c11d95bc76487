#pragma once

#include "Dispatch/Call.h"
#include "Dispatch/CrashAttribution.h"
#include "Dispatch/EndpointTable.h"

namespace LaburnumChute::Dispatch {

/// Evaluates the outcomes of attempts: which endpoints fail, which are ejected, and what they show
/// about crashes.
class EndpointHealth
{
public:
    EndpointHealth(const DispatchOptions &options, const EndpointTable &table,
                   CrashAttribution &crashes);

    /// Readmits an ejected endpoint when the answer to a probe begins.
    void recordAnswer(EndpointState &endpoint, Call &call, Time now);
    /// @param took time from sending the request to its first event
    /// The answer has gone on for a while after its first event.
    void recordProgress(const Call &call, Time now);
    void recordFirstEvent(EndpointState &endpoint, const Call &call, Duration took);
    void recordOutcome(EndpointState &endpoint, const Call &call, AttemptOutcome outcome, Time now);

private:
    void recordEvidence(EndpointState &endpoint, const Call &call, AttemptOutcome outcome,
                        Time now);
    void eject(EndpointState &endpoint, Time now);
    /// Ends the ejection of an endpoint that has answered a probe.
    void readmit(EndpointState &endpoint, const ServiceName &service, Time now);
    /// Whether the request shows nothing of an ejected endpoint, since it was sent before.
    static bool precedesEjection(const EndpointState &endpoint, const Call &call);

    const DispatchOptions *options_;
    const EndpointTable *table_;
    CrashAttribution *crashes_;
};

} // namespace LaburnumChute::Dispatch
