#pragma once

#include <string>
#include <string_view>

#include "Common/Error.h"

namespace LaburnumChute::Cluster {

/// Bytes that make one text out of another: copies of stretches of the base and inserted bytes. It
/// works on bytes, not on JSON, since the hash of a version is that of the bytes which the service
/// gave, and rendering patched JSON need not give the same bytes.
std::string makeDelta(std::string_view base, std::string_view target);

/// Fails with ProtocolViolation for a delta that does not fit the base or makes more than maxBytes.
Common::Result<std::string> applyDelta(std::string_view base, std::string_view delta,
                                       std::size_t maxBytes);

} // namespace LaburnumChute::Cluster
