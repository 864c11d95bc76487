#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Dispatch/Options.h"

namespace LaburnumChute::Dispatch {

/// Overrides options by name, for experiments that compare a mechanism with an alternative.
///
/// @param text "name=value,name=value" with times in milliseconds; empty for no change
/// @returns the changed options; InvalidArgument with the invalid entry and what was expected
///        instead
Common::Result<DispatchOptions> withOverrides(DispatchOptions options, std::string_view text);

/// Names accepted by withOverrides(), in the order of the options.
std::vector<std::string> overridableOptions();

} // namespace LaburnumChute::Dispatch
