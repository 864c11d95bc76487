#include <gtest/gtest.h>

#include "Cluster/Cluster.h"
#include "Common/Common.h"

namespace LaburnumChute::Cluster {

namespace {

constexpr std::size_t TagBytes = 4;
constexpr std::size_t ChecksumBytes = 8;

/// Replaces the last byte of a datagram and updates its checksum.
std::string withLastByte(std::string datagram, char byte)
{
    datagram.back() = byte;
    const auto checksum =
        Common::stableHash(std::string_view(datagram).substr(TagBytes + ChecksumBytes));
    for (std::size_t index = 0; index < ChecksumBytes; ++index) {
        datagram[TagBytes + index] = static_cast<char>(checksum >> (8 * index));
    }
    return datagram;
}

TEST(CodecDamageTest, ByteThatIsNoBoolReadsAsTrue)
{
    // An instance of another release may write a flag byte other than 0 and 1. Copied unchecked
    // into a bool, it is neither true nor false, and branches on it are unpredictable.
    GossipMessage message;
    message.sender = Common::InstanceId("otaru-1");
    message.body = RegionsDigest{{}, true};
    const auto datagram = encode(message);
    const auto read = decode(withLastByte(datagram, '\x72'));
    ASSERT_TRUE(read);
    EXPECT_EQ(encode(*read), datagram);
}

} // namespace

} // namespace LaburnumChute::Cluster
