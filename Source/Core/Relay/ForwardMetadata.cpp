#include "Relay/ForwardMetadata.h"

#include <charconv>

#include "Peers/ValueCodec.h"

namespace LaburnumChute::Relay {

std::string encodeForwardMetadata(const ForwardMetadata &metadata)
{
    std::string text;
    for (const auto byte : Peers::encodeValue(metadata)) {
        text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    }
    return text;
}

Common::Result<ForwardMetadata> decodeForwardMetadata(const std::string &text)
{
    constexpr std::size_t DigitsPerByte = 2;
    constexpr int HexBase = 16;
    const auto invalid = [] {
        return Common::makeError(Common::ErrorCode::ProtocolViolation,
                                 std::string(ForwardHeader)
                                     + ": expected an even number of hexadecimal digits");
    };
    if (text.size() % DigitsPerByte != 0) {
        return invalid();
    }
    std::string bytes;
    for (std::size_t index = 0; index < text.size(); index += DigitsPerByte) {
        unsigned byte = 0;
        const auto *first = text.data() + index;
        const auto *last = first + DigitsPerByte;
        const auto parsed = std::from_chars(first, last, byte, HexBase);
        if (parsed.ec != std::errc() || parsed.ptr != last) {
            return invalid();
        }
        bytes += static_cast<char>(byte);
    }
    return Peers::decodeValue<ForwardMetadata>(bytes);
}

} // namespace LaburnumChute::Relay
