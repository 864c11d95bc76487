#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// "HTTP/1.1 503 Service Unavailable\r\n" and the header lines, with the empty line at the end.
std::string responseHead(unsigned status, const Common::Headers &headers);
std::string requestHead(std::string_view method, std::string_view target,
                        const Common::Headers &headers);
/// One chunk of the chunked transfer coding.
std::string encodeChunk(std::string_view bytes);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// The headers without those that concern one connection: the framing, and what "Connection" names.
Common::Headers endToEndHeaders(const Common::Headers &headers);
/// True when a comma-separated header has the token, in any case.
bool hasToken(const Common::Headers &headers, std::string_view name, std::string_view token);
/// The time in "Keep-Alive: timeout=N".
std::optional<Common::seconds> keepAliveTimeout(const Common::Headers &headers);

} // namespace LaburnumChute::Relay
