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
    std::string bytes;
    for (std::size_t index = 0; index + 1 < text.size(); index += DigitsPerByte) {
        unsigned byte = 0;
        const auto *first = text.data() + index;
        const auto parsed = std::from_chars(first, first + DigitsPerByte, byte, HexBase);
        if (parsed.ec != std::errc()) {
            return Common::makeError(Common::ErrorCode::ProtocolViolation,
                                     std::string(ForwardHeader) + ": expected hexadecimal digits");
        }
        bytes += static_cast<char>(byte);
    }
    return Peers::decodeValue<ForwardMetadata>(bytes);
}

} // namespace LaburnumChute::Relay
