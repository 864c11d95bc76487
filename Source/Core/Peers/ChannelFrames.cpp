#include "Peers/ChannelFrames.h"

#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "Peers/FrameArchive.h"

namespace LaburnumChute::Peers {

std::string encodeFrame(const Frame &frame)
{
    std::ostringstream stream(std::ios::binary);
    stream << std::string(FrameLengthBytes, '\0');
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(frame);
    }
    auto bytes = stream.str();
    const auto length = bytes.size() - FrameLengthBytes;
    for (std::size_t index = 0; index < FrameLengthBytes; ++index) {
        const auto shift = 8 * (FrameLengthBytes - 1 - index);
        bytes[index] = static_cast<char>((length >> shift) & 0xff);
    }
    return bytes;
}

Common::Result<Frame> decodeFrame(std::string_view bytes)
{
    try {
        FrameInputArchive archive(bytes);
        Frame frame;
        archive(frame);
        return frame;
    } catch (const std::exception &error) {
        return Common::makeError(Common::ErrorCode::ProtocolViolation,
                                 std::string("a frame cannot be read: ") + error.what());
    }
}

std::size_t decodeFrameLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < FrameLengthBytes; ++index) {
        length = (length << 8) | static_cast<unsigned char>(bytes[index]);
    }
    return length;
}

} // namespace LaburnumChute::Peers
