#include "Relay/ResponseBounds.h"

namespace LaburnumChute::Relay {

namespace {

/// A head, a chunk's size with its extension, or all trailers.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;
/// A response to an earlier request may arrive first, with its body.
constexpr std::size_t MaxSkippedBytes = 1024 * 1024;
/// Chunks of one byte have six bytes of framing.
constexpr std::size_t MaxFramingPerBodyByte = 16;
constexpr std::size_t MaxFramingBytes = 128 * 1024;

} // namespace

std::string_view ResponseBounds::violation(std::size_t unparsed) const
{
    if (unparsed > MaxUnparsedBytes) {
        return "a head, chunk extension or trailer is too large";
    }
    if (skippedBytes_ > MaxSkippedBytes) {
        return "too many bytes that belong to no response to this request";
    }
    if (framingBytes_ > MaxFramingBytes + MaxFramingPerBodyByte * bodyBytes_) {
        return "too many bytes of framing";
    }
    return {};
}

} // namespace LaburnumChute::Relay
