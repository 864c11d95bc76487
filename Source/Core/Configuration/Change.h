#pragma once

#include "Configuration/Model.h"
#include "Configuration/Problem.h"

namespace LaburnumChute::Configuration {

/// What a change would strand: a model, adapter or service that requests reach under the old
/// version and that the new one leaves without an entry or without a runner. Callers that hold its
/// name would be refused from one second to the next. The way out is two changes: first take away
/// the routes (callers are told "not found" by a rule that an operator wrote), then the placement.
/// Pointers are positions in the new document.
Problems checkChange(const Configuration &before, const Configuration &after);

} // namespace LaburnumChute::Configuration
