#pragma once

#include <string>
#include <string_view>

#include "Common/Common.h"

namespace LaburnumChute::Configuration {

/// Applies a patch to a document: an array is a JSON Patch (RFC 6902), an object a JSON Merge Patch
/// (RFC 7396). The result is indented JSON and is not validated; see check().
/// Errors: InvalidArgument for a patch that is neither or does not parse, Conflict for one that
/// does not fit the document (a failed "test", a path that is not there).
Common::Result<std::string> applyPatch(std::string_view base, std::string_view patch);

} // namespace LaburnumChute::Configuration
