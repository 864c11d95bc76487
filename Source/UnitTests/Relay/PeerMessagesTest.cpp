#include <gtest/gtest.h>

#include "Relay/ForwardMetadata.h"
#include "Relay/GossipMessage.h"
#include "Relay/PeerSync.h"

namespace LaburnumChute::Relay {

TEST(ForwardMetadataTest, EncodesAndDecodes)
{
    ForwardMetadata metadata;
    metadata.service = "desk";
    metadata.attempts = 2;
    metadata.objectiveLeftMs = -40;
    metadata.fingerprint = 0xfedcba9876543210ULL;
    metadata.contentFingerprint = 0x0123456789abcdefULL;
    metadata.fromRegion = "north";
    const auto read = decodeForwardMetadata(encodeForwardMetadata(metadata));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->service, "desk");
    EXPECT_EQ(read->objectiveLeftMs, -40);
    EXPECT_EQ(read->fingerprint, metadata.fingerprint);
    EXPECT_EQ(read->contentFingerprint, metadata.contentFingerprint);
    EXPECT_EQ(read->fromRegion, "north");
}

// Invalid text, or corrupt metadata with wrong lengths, must not cause large allocations or a
// crash.
TEST(ForwardMetadataTest, InvalidTextIsAnError)
{
    EXPECT_FALSE(decodeForwardMetadata(""));
    EXPECT_FALSE(decodeForwardMetadata("zz"));
    EXPECT_FALSE(decodeForwardMetadata("01ffffffffffffffff"));
    const auto whole = encodeForwardMetadata(ForwardMetadata());
    EXPECT_FALSE(decodeForwardMetadata(whole.substr(0, whole.size() / 2)));
}

// A digit at the end, or a byte with only one digit, was ignored.
TEST(ForwardMetadataTest, EveryByteNeedsTwoDigits)
{
    auto whole = encodeForwardMetadata(ForwardMetadata());
    EXPECT_TRUE(decodeForwardMetadata(whole));
    EXPECT_FALSE(decodeForwardMetadata(whole + "0"));
    whole[whole.size() - 1] = 'g';
    EXPECT_FALSE(decodeForwardMetadata(whole));
}

// A notice of each long prompt is sent immediately to every peer in the region. It must be small,
// or the notices during a load peak would use up the bandwidth that requests need.
TEST(GossipMessageTest, PromptNoticeIsSmall)
{
    Dispatch::PromptNotices notices;
    notices.sender = Common::InstanceId("edge-asahikawa-a-2");
    notices.prompts = {{7, 4100, {{0xfedcba98U, 13000}}, 0xfedcba98U, 13000}};
    const auto bytes = Peers::encodeValue(GossipMessage(notices));
    constexpr std::size_t SmallDatagram = 100;
    EXPECT_LT(bytes.size(), SmallDatagram);
    const auto read = Peers::decodeValue<GossipMessage>(bytes);
    ASSERT_TRUE(read);
    const auto *decodedNotices = std::get_if<Dispatch::PromptNotices>(&*read);
    ASSERT_NE(decodedNotices, nullptr);
    ASSERT_EQ(decodedNotices->prompts.size(), 1U);
    EXPECT_EQ(decodedNotices->prompts[0].prefillTokens, 4100U);
    EXPECT_EQ(decodedNotices->prompts[0].parts[0].tokens, 13000U);
}

// A corrupt datagram, or one from an older version, must not cause large allocations or a crash.
TEST(GossipMessageTest, InvalidBytesAreAnError)
{
    EXPECT_FALSE(Peers::decodeValue<GossipMessage>(""));
    EXPECT_FALSE(Peers::decodeValue<GossipMessage>("what is this"));
    const auto whole = Peers::encodeValue(GossipMessage(Fleet::Heartbeat()));
    EXPECT_FALSE(Peers::decodeValue<GossipMessage>(whole.substr(0, whole.size() / 2)));
}

TEST(PeerSyncTest, ParsesTheRevisionInATarget)
{
    const auto items = parsePeerTarget(peerTarget({7, 42}));
    ASSERT_TRUE(items);
    EXPECT_EQ(items->receiver, 7U);
    EXPECT_EQ(items->itemsAfter, 42U);
    const auto caches = parsePeerTarget(peerTarget({7, std::nullopt}));
    ASSERT_TRUE(caches);
    EXPECT_EQ(caches->receiver, 7U);
    EXPECT_FALSE(caches->itemsAfter);
    for (const std::string target :
         {"/laburnumchute/items", "/other?process=7&after=3", "/laburnumchute/items?after=3",
          "/laburnumchute/items?process=7", "/laburnumchute/items?process=7&after=x",
          "/laburnumchute/items?process=7&after=3x", "/laburnumchute/caches"}) {
        EXPECT_FALSE(parsePeerTarget(target)) << target;
    }
}

} // namespace LaburnumChute::Relay
