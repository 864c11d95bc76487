#pragma once

#include <string>
#include <string_view>

#include "Common/Error.h"

namespace LaburnumChute::Cluster {

/// Computes a binary delta: ranges copied from the base, and inserted bytes. It operates on bytes,
/// not on JSON, since the hash of a version covers the bytes that the service returned, and
/// serializing patched JSON need not reproduce them.
std::string makeDelta(std::string_view base, std::string_view target);

/// Fails with ProtocolViolation if the delta does not match the base or yields more than maxBytes.
Common::Result<std::string> applyDelta(std::string_view base, std::string_view delta,
                                       std::size_t maxBytes);

} // namespace LaburnumChute::Cluster
