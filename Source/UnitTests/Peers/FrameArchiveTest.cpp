#include <gtest/gtest.h>

#include <cereal/types/string.hpp>

#include "Peers/FrameArchive.h"

namespace LaburnumChute::Peers {

namespace {

/// The mark of the byte order, then a text that claims the given length and has the given bytes.
std::string textFrame(std::uint64_t length, const std::string &bytes)
{
    std::string frame(1, '\x01');
    for (int index = 0; index < 8; ++index) {
        frame.push_back(static_cast<char>(length >> (8 * index)));
    }
    return frame + bytes;
}

std::string readText(const std::string &frame)
{
    FrameInputArchive archive(frame);
    std::string text;
    archive(text);
    return text;
}

TEST(FrameArchiveTest, ReadsWhatIsThere)
{
    EXPECT_EQ(readText(textFrame(3, "abc")), "abc");
    EXPECT_THROW(readText(""), cereal::Exception);
    EXPECT_THROW(readText(std::string(1, '\0') + "abc"), cereal::Exception);
}

TEST(FrameArchiveTest, LengthPastTheEndIsRefusedBeforeMemoryIsAsked)
{
    // A frame is damaged on its way, or a process that is no instance talks to the channel's port.
    // Of its nine bytes eight are a length. The instance that trusts it asks for that much memory
    // and is killed, with the requests of all its callers.
    constexpr std::uint64_t Petabyte = 1ULL << 50;
    EXPECT_THROW(readText(textFrame(Petabyte, "abc")), cereal::Exception);
    EXPECT_THROW(readText(textFrame(4, "abc")), cereal::Exception);
}

TEST(FrameArchiveTest, ByteThatIsNoBoolReadsAsTrue)
{
    FrameInputArchive archive(std::string_view("\x01\x72", 2));
    bool value = false;
    archive(value);
    unsigned char byte = 0;
    std::memcpy(&byte, &value, 1);
    EXPECT_EQ(byte, 1);
}

} // namespace

} // namespace LaburnumChute::Peers
