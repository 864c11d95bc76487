#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Cluster/Cluster.h"

using namespace LaburnumChute;
using namespace LaburnumChute::Cluster;

namespace {

GossipMessage sampleMessage()
{
    GossipMessage message;
    message.sender = Common::InstanceId("sapporo-1");
    message.incarnation = 1'700'000'000'000;
    message.region = Common::RegionName("sapporo");
    message.configuration = {7, 42};
    MemberInfo info;
    info.id = message.sender;
    info.gossipAddress = Address("127.0.0.1:4000");
    message.updates.push_back({info.id, message.incarnation, 3, Health::Suspect, true, info});
    Notice notice{NoticeKind::EndpointLeaving, "engine-3", "", 9, true, Common::milliseconds(500)};
    message.notices.push_back(notice);
    message.body = ConfigurationChunk{{7, 42}, {6, 41}, 100, 20, std::string(30, 'x')};
    return message;
}

TEST(CodecTest, MessageRoundTrips)
{
    const GossipMessage message = sampleMessage();
    const auto decoded = decode(encode(message));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->sender, message.sender);
    EXPECT_EQ(decoded->configuration, message.configuration);
    ASSERT_EQ(decoded->updates.size(), 1u);
    EXPECT_EQ(decoded->updates[0].health, Health::Suspect);
    ASSERT_TRUE(decoded->updates[0].info);
    EXPECT_EQ(decoded->updates[0].info->gossipAddress, Address("127.0.0.1:4000"));
    ASSERT_EQ(decoded->notices.size(), 1u);
    EXPECT_EQ(decoded->notices[0].lifetime, Common::milliseconds(500));
    EXPECT_EQ(std::get<ConfigurationChunk>(decoded->body).bytes, std::string(30, 'x'));
}

// A datagram is corrupted in a way that the UDP checksum misses, or another program sends to this
// port. An instance that accepted it could consider a member dead or try to fetch a configuration
// number that does not exist, and reject requests without a reason.
RC_GTEST_PROP(CodecTest, DamagedDatagramIsRejected, ())
{
    std::string datagram = encode(sampleMessage());
    const auto position = *rc::gen::inRange<std::size_t>(0, datagram.size());
    const auto change = *rc::gen::inRange(1, 256);
    datagram[position] = static_cast<char>(datagram[position] ^ change);
    RC_ASSERT(!decode(datagram));
}

RC_GTEST_PROP(CodecTest, ForeignBytesAreRejected, (const std::string &bytes))
{
    RC_ASSERT(!decode(bytes));
    RC_ASSERT(!decode("LCG1" + bytes));
}

} // namespace
