#pragma once

#include "Configuration/Problem.h"
#include "Configuration/Tables.h"

namespace LaburnumChute::Configuration {

/// Finds dangling references, conflicting names, and routes without a runner in the regions that
/// their residency rule allows.
void checkReferences(const Tables &tables, Problems &problems);

/// Finds valid entries because of which some requests can never be served: home regions for which a
/// route has no allowed runner, and customers whose default rule has no region in common with that
/// of a route.
Problems findWarnings(const Tables &tables);

} // namespace LaburnumChute::Configuration
