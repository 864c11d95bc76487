#include <array>

#include <gtest/gtest.h>

#include "StandIns/UdpRelay.h"

namespace LaburnumChute::StandIns {

namespace {

Udp::endpoint loopback(unsigned short port = 0)
{
    return {asio::ip::make_address("127.0.0.1"), port};
}

} // namespace

// Guards against a datagram that reaches a relay after another one has taken its place.
TEST(UdpRelayTest, ADatagramForAClosedRelayIsDropped)
{
    asio::io_context context;
    Udp::socket target(context, loopback());
    Udp::socket client(context, loopback());
    const auto targetAddress = "127.0.0.1:" + std::to_string(target.local_endpoint().port());
    auto relay = std::make_shared<UdpRelay>(context, LinkEnd(std::make_shared<Link>(), false),
                                            nlohmann::json{{"target", targetAddress}});
    relay->start();
    const auto relayAddress = relay->address();
    const auto port = std::stoi(relayAddress.substr(relayAddress.find(':') + 1));
    client.send_to(asio::buffer("ask", 3), loopback(static_cast<unsigned short>(port)));
    std::array<char, 16> buffer{};
    Udp::endpoint upstream;
    std::size_t received = 0;
    target.async_receive_from(asio::buffer(buffer), upstream,
                              [&](const auto &, std::size_t size) { received = size; });
    context.run_for(Common::milliseconds(200));
    ASSERT_EQ(received, 3U);

    // The datagram has arrived when the relay is closed, and nobody has read it yet.
    target.send_to(asio::buffer("tell", 4), upstream);
    relay->close();
    relay.reset();
    context.restart();
    context.run_for(Common::milliseconds(50));
    EXPECT_EQ(client.available(), 0U);
}

} // namespace LaburnumChute::StandIns
