#include <gtest/gtest.h>

#include "Peers/Compression.h"

namespace LaburnumChute::Peers {

namespace {

constexpr std::size_t MaxBytes = 1 << 20;

std::string repeated(std::size_t size)
{
    std::string text;
    while (text.size() < size) {
        text +=
            "{\"service\":\"model\",\"slots\":16,\"id\":\"" + std::to_string(text.size()) + "\"}";
    }
    text.resize(size);
    return text;
}

} // namespace

TEST(CompressionTest, BytesAreRestored)
{
    for (const std::size_t size : {0U, 1U, 1000U, 500'000U}) {
        const auto bytes = repeated(size);
        const auto restored = decompress(compress(bytes), MaxBytes);
        ASSERT_TRUE(restored) << size;
        EXPECT_EQ(*restored, bytes);
    }
}

TEST(CompressionTest, RecordsTakeAQuarterOrLess)
{
    EXPECT_LT(compress(repeated(500'000)).size(), 125'000U);
}

// Guards against memory for an answer of any size: a few bytes may stand for gigabytes.
TEST(CompressionTest, MoreThanTheMaximumIsRejected)
{
    const auto compressed = compress(repeated(MaxBytes + 1));
    EXPECT_FALSE(decompress(compressed, MaxBytes));
    EXPECT_TRUE(decompress(compressed, MaxBytes + 1));
}

TEST(CompressionTest, InvalidBytesAreRejected)
{
    EXPECT_FALSE(decompress("", MaxBytes));
    EXPECT_FALSE(decompress("not compressed", MaxBytes));
    const auto compressed = compress(repeated(1000));
    EXPECT_FALSE(
        decompress(std::string_view(compressed).substr(0, compressed.size() / 2), MaxBytes));
}

} // namespace LaburnumChute::Peers
