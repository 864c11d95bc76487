#include <gtest/gtest.h>

#include "Relay/ConnectionCheck.h"
#include "Relay/SteadyNow.h"
#include "Sockets.h"

namespace LaburnumChute::Relay {

class ConnectionCheckTest : public testing::Test
{
protected:
    std::optional<ConnectionState> check(const std::string &address, Common::Duration timeout)
    {
        std::optional<ConnectionState> result;
        const auto check = std::make_shared<ConnectionCheck>(
            pool_, address, timeout, [&](ConnectionState state) { result = state; });
        check->start(steadyNow());
        const auto end = steadyNow() + Common::seconds(2);
        while (!result && steadyNow() < end) {
            context_.restart();
            context_.run_for(Common::milliseconds(5));
            check->tick(steadyNow());
        }
        check->cancel();
        return result;
    }

    asio::io_context context_;
    std::shared_ptr<OutboundPool> pool_ = std::make_shared<OutboundPool>(context_);
};

TEST_F(ConnectionCheckTest, AnEstablishedConnectionIsKeptForTheNextRequest)
{
    ScriptedServer server({[](tcp::socket &socket) { ScriptedServer::readHead(socket); }});
    EXPECT_EQ(check(server.address(), Common::seconds(1)), ConnectionState::Established);
    EXPECT_EQ(pool_->idleCount(), 1U);
    // Closes the connection, which the script of the server waits for.
    pool_.reset();
}

TEST_F(ConnectionCheckTest, AClosedPortIsRefused)
{
    std::string address;
    {
        ScriptedServer server({});
        address = server.address();
    }
    EXPECT_EQ(check(address, Common::seconds(1)), ConnectionState::Refused);
}

// A path that drops packets must neither pass for a crash nor hold up the response for long.
TEST_F(ConnectionCheckTest, NoAnswerInTimeIsUnknown)
{
    // The kernel drops connection attempts while the queue of pending ones is full.
    tcp::acceptor acceptor(context_, tcp::v4());
    acceptor.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    acceptor.listen(0);
    constexpr std::size_t MoreThanTheQueueHolds = 3;
    std::vector<tcp::socket> pending;
    pending.reserve(MoreThanTheQueueHolds);
    for (std::size_t index = 0; index < MoreThanTheQueueHolds; ++index) {
        pending.emplace_back(context_, tcp::v4())
            .async_connect(acceptor.local_endpoint(), [](const auto &) {});
    }
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    EXPECT_EQ(check(address, Common::milliseconds(100)), ConnectionState::Unknown);
    EXPECT_EQ(check("not an address", Common::seconds(1)), ConnectionState::Unknown);
}

} // namespace LaburnumChute::Relay
