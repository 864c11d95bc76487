#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// Formats a status line such as "HTTP/1.1 503 Service Unavailable\r\n", the header lines and the
/// empty line that ends them.
std::string responseHead(unsigned status, const Common::Headers &headers);
std::string requestHead(std::string_view method, std::string_view target,
                        const Common::Headers &headers);
/// Formats one chunk of the chunked transfer coding.
std::string encodeChunk(std::string_view bytes);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Returns the headers without the hop-by-hop ones: framing headers and those that "Connection"
/// lists.
Common::Headers endToEndHeaders(const Common::Headers &headers);
/// Returns true if a comma-separated header contains the token, ignoring case.
bool hasToken(const Common::Headers &headers, std::string_view name, std::string_view token);
/// Returns N of "Keep-Alive: timeout=N".
std::optional<Common::seconds> keepAliveTimeout(const Common::Headers &headers);

} // namespace LaburnumChute::Relay
