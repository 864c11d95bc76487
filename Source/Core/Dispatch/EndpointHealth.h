#pragma once

#include "Decisions/Decisions.h"
#include "Dispatch/Call.h"
#include "Dispatch/EndpointTable.h"

namespace LaburnumChute::Dispatch {

/// Evaluates the outcomes of attempts: which endpoints fail, which are ejected, and which requests
/// crashed them.
class EndpointHealth
{
public:
    EndpointHealth(const DispatchOptions &options, const EndpointTable &table,
                   Decisions::Quarantine &quarantine);

    /// @param took time from sending the request to its first event
    void recordFirstEvent(EndpointState &endpoint, const Call &call, Duration took);
    void recordOutcome(EndpointState &endpoint, const Call &call, AttemptOutcome outcome, Time now);
    /// Crashes and quarantines since the last call.
    std::vector<CrashEvent> takeCrashEvents();

private:
    void recordCrash(EndpointState &endpoint, Time now);
    void eject(EndpointState &endpoint, Time now);

    const DispatchOptions *options_;
    const EndpointTable *table_;
    Decisions::Quarantine *quarantine_;
    std::vector<CrashEvent> crashEvents_;
};

} // namespace LaburnumChute::Dispatch
