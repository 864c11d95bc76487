#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Dispatch/Options.h"

namespace LaburnumChute::Dispatch {

/// Sets options by name, for trials that compare a mechanism with its alternative.
///
/// @param text "name=value,name=value"; times in milliseconds; empty changes nothing
/// @returns the options so changed; InvalidArgument names the entry that cannot be used and what
///          was expected
Common::Result<DispatchOptions> withOverrides(DispatchOptions options, std::string_view text);

/// Names that withOverrides() knows, in the order of the options.
std::vector<std::string> overridableOptions();

} // namespace LaburnumChute::Dispatch
