#include <gtest/gtest.h>

#include <cereal/types/string.hpp>

#include "Peers/FrameArchive.h"

namespace LaburnumChute::Peers {

namespace {

/// The byte order mark, then a string with the given length field and the given bytes.
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

TEST(FrameArchiveTest, ReadsCompleteFramesAndRejectsOthers)
{
    EXPECT_EQ(readText(textFrame(3, "abc")), "abc");
    EXPECT_THROW(readText(""), cereal::Exception);
    EXPECT_THROW(readText(std::string(1, '\0') + "abc"), cereal::Exception);
}

TEST(FrameArchiveTest, LengthPastTheEndIsRejectedBeforeAllocation)
{
    // A corrupt frame, or data from a process that is not an instance, can contain any length field
    // in eight of its first nine bytes. An instance that allocates that much memory is killed, and
    // the requests of all its callers are lost.
    constexpr std::uint64_t Petabyte = 1ULL << 50;
    EXPECT_THROW(readText(textFrame(Petabyte, "abc")), cereal::Exception);
    EXPECT_THROW(readText(textFrame(4, "abc")), cereal::Exception);
}

TEST(FrameArchiveTest, ByteOtherThanZeroOrOneReadsAsTrue)
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
