#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include "Peers/Peers.h"

using namespace LaburnumChute;
namespace asio = boost::asio;

namespace {

const asio::ip::udp::endpoint AnyPort(asio::ip::address_v4::loopback(), 0);

TEST(GossipSocketTest, MessageReachesThePeerAndInvalidDatagramsAreDropped)
{
    asio::io_context context;
    std::vector<Common::InstanceId> senders;
    Peers::GossipSocket receiver(
        context.get_executor(),
        [&](const Cluster::Address &, const Cluster::GossipMessage &message) {
            senders.push_back(message.sender);
            context.stop();
        });
    Peers::GossipSocket sender(context.get_executor(), [](const auto &, auto) {});
    ASSERT_TRUE(receiver.open(AnyPort));
    ASSERT_TRUE(sender.open(AnyPort));
    asio::co_spawn(context, receiver.run(), asio::detached);

    asio::ip::udp::socket otherSocket(context, AnyPort);
    otherSocket.send_to(asio::buffer("hello", 5), receiver.localEndpoint());
    Cluster::GossipMessage message;
    message.sender = Common::InstanceId("north-1");
    const auto port = std::to_string(receiver.localEndpoint().port());
    sender.send({Cluster::Address("127.0.0.1:" + port), message});

    context.run_for(Common::seconds(10));
    EXPECT_EQ(senders, std::vector{Common::InstanceId("north-1")});
    EXPECT_EQ(receiver.droppedReceived(), 1u);
}

TEST(GossipSocketTest, OnlyNumericAddressesAreParsed)
{
    EXPECT_TRUE(Peers::parseUdpAddress(Cluster::Address("10.0.0.1:7000")));
    EXPECT_FALSE(Peers::parseUdpAddress(Cluster::Address("example:7000")));
    EXPECT_FALSE(Peers::parseUdpAddress(Cluster::Address("10.0.0.1")));
    EXPECT_FALSE(Peers::parseUdpAddress(Cluster::Address("10.0.0.1:70000")));
    EXPECT_FALSE(Peers::parseUdpAddress(Cluster::Address("10.0.0.1:70x")));
}

} // namespace
