#pragma once

#include "Dispatch/Call.h"
#include "Dispatch/Options.h"

namespace LaburnumChute::Dispatch {

// How long an attempt may wait for its endpoint.
//
// Load pattern: endpoints that work stand still for a second or two, with all of their requests,
// and go on; others are gone without closing their connections. Until an endpoint is heard again,
// the two cannot be told apart.

/// Time at which another attempt has to begin for the caller still to be served if this one stays
/// silent. Before that, replacing the attempt gains nothing that waiting could not gain as well.
/// @param workFactor EndpointState::workFactor() of its endpoint: a slow machine is no fault
Time replacementTime(const Call &call, const DispatchOptions &options, double workFactor);

/// Time after which an attempt takes longer than expected.
Duration overdueAfter(const Call &call, const DispatchOptions &options, double workFactor);

} // namespace LaburnumChute::Dispatch
