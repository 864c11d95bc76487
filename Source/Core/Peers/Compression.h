#pragma once

#include <string>
#include <string_view>

#include "Common/Error.h"

namespace LaburnumChute::Peers {

/// Compresses bytes in the zlib format.
std::string compress(std::string_view bytes);

/// Fails with ProtocolViolation if the bytes are not in the zlib format or would exceed the maximum
/// size.
Common::Result<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

} // namespace LaburnumChute::Peers
