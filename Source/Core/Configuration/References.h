#pragma once

#include "Configuration/Problem.h"
#include "Configuration/Tables.h"

namespace LaburnumChute::Configuration {

/// Dangling references, names that clash, and routes whose residency rule leaves them no runner.
void checkReferences(const Tables &tables, Problems &problems);

/// What is valid but refuses some callers always: a home region where a route has no runner that
/// its rule allows, or a customer whose default rule and the route's have no region in common.
Problems findWarnings(const Tables &tables);

} // namespace LaburnumChute::Configuration
