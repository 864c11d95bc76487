#pragma once

#include "Configuration/Model.h"
#include "Configuration/Problem.h"

namespace LaburnumChute::Configuration {

/// Finds models, adapters and services that are reachable under the old version and that the new
/// version leaves without an entry or without a runner. Requests for them would fail as soon as it
/// is in force. To retire one, operators remove its routes first, so that requests are answered
/// with "not found", and its placement in a second change. Pointers are positions in the new
/// document.
Problems checkChange(const Configuration &before, const Configuration &after);

} // namespace LaburnumChute::Configuration
