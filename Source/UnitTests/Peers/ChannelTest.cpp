#include <functional>
#include <memory>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "Async/Async.h"
#include "Peers/Peers.h"

namespace LaburnumChute::Peers {

namespace {

using asio::ip::tcp;

constexpr Common::seconds TestTimeout{30};

/// Forwards bytes between two sockets and can stop forwarding on a connection without closing it.
class Relay
{
public:
    Relay(asio::io_context &context, std::string target)
        : context_(context)
        , target_(std::move(target))
        , acceptor_(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(context_, accept(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// Discards all further traffic on the connections open now; new ones work.
    void dropTrafficOnOpenConnections()
    {
        ++epoch_;
    }
    int accepted() const
    {
        return accepted_;
    }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto client =
                std::make_shared<tcp::socket>(co_await acceptor_.async_accept(asio::use_awaitable));
            ++accepted_;
            auto server = std::make_shared<tcp::socket>(context_);
            const auto colon = target_.rfind(':');
            const auto port = static_cast<unsigned short>(std::stoi(target_.substr(colon + 1)));
            co_await server->async_connect({asio::ip::make_address("127.0.0.1"), port},
                                           asio::use_awaitable);
            asio::co_spawn(context_, pass(client, server, epoch_), asio::detached);
            asio::co_spawn(context_, pass(server, client, epoch_), asio::detached);
        }
    }

    asio::awaitable<void> pass(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to,
                               int epoch)
    {
        std::string bytes(4096, '\0');
        while (true) {
            boost::system::error_code error;
            const auto size = co_await from->async_read_some(
                asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                to->close(error);
                co_return;
            }
            if (epoch == epoch_) {
                co_await asio::async_write(*to, asio::buffer(bytes.data(), size),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
        }
    }

    asio::io_context &context_;
    std::string target_;
    tcp::acceptor acceptor_;
    int epoch_ = 0;
    int accepted_ = 0;
};

class ChannelTest : public ::testing::Test
{
protected:
    ChannelTest()
    {
        options_.pingAfter = Common::milliseconds(20);
        options_.silenceTimeout = Common::milliseconds(100);
        options_.windowBytes = 1000;
    }

    std::string serve(ChannelServer::Handler handler)
    {
        server_ = std::make_unique<ChannelServer>(
            context_, options_, Hello{Common::InstanceId("server"), 1}, std::move(handler));
        return server_->listen("127.0.0.1:0").value();
    }

    std::shared_ptr<ChannelClient> clientOf(const std::string &address)
    {
        return std::make_shared<ChannelClient>(context_, options_,
                                               Hello{Common::InstanceId("client"), 1},
                                               PeerAddress{Common::InstanceId("server"), address});
    }

    /// Runs the coroutine to its end.
    void run(const std::function<asio::awaitable<void>()> &body)
    {
        bool done = false;
        auto wrapped = [&]() -> asio::awaitable<void> {
            co_await body();
            done = true;
            context_.stop();
        };
        asio::co_spawn(context_, wrapped, asio::detached);
        context_.run_for(TestTimeout);
        ASSERT_TRUE(done);
    }

    asio::io_context context_{1};
    ChannelOptions options_;
    std::unique_ptr<ChannelServer> server_;
};

CallRequest request(const std::string &target)
{
    ForwardedRequest forwarded;
    forwarded.target = target;
    return forwarded;
}

/// Answers with numbered pieces whose bytes name the call's target.
asio::awaitable<void> answerInPieces(std::shared_ptr<IncomingCall> call)
{
    const auto target = std::get<ForwardedRequest>(call->request()).target;
    AnswerHead head;
    head.status = 200;
    co_await call->send(head);
    for (int number = 0; number < 50; ++number) {
        AnswerPiece piece;
        piece.bytes = target + std::to_string(number) + " " + std::string(100, '.');
        co_await call->send(std::move(piece));
        co_await Async::sleepFor(Common::milliseconds(2));
    }
    co_await call->send(AnswerEnd());
}

std::string expectedAnswer(const std::string &target)
{
    std::string text;
    for (int number = 0; number < 50; ++number) {
        text += target + std::to_string(number) + " " + std::string(100, '.');
    }
    return text;
}

asio::awaitable<std::string> readWhole(OutgoingCall &call)
{
    std::string text;
    while (true) {
        const auto item = co_await call.next();
        if (const auto *piece = std::get_if<AnswerPiece>(&*item)) {
            text += piece->bytes;
        } else if (std::holds_alternative<AnswerFailure>(*item)) {
            co_return "failed: " + std::get<AnswerFailure>(*item).detail;
        } else if (std::holds_alternative<AnswerEnd>(*item)) {
            co_return text;
        }
    }
}

TEST_F(ChannelTest, TwoCallsAtOnceGetTheirOwnAnswers)
{
    const auto client = clientOf(serve(&answerInPieces));
    run([&]() -> asio::awaitable<void> {
        const auto first = client->open(request("a"), context_.get_executor());
        const auto second = client->open(request("b"), context_.get_executor());
        EXPECT_EQ(co_await readWhole(*second), expectedAnswer("b"));
        EXPECT_EQ(co_await readWhole(*first), expectedAnswer("a"));
    });
}

// A device between two regions silently drops all traffic of an open connection while new
// connections work, so a caller would see its answer stop half-way. The channel must detect the
// silence, reconnect and resume the answer where it stopped.
TEST_F(ChannelTest, AnswerGoesOnOverANewConnectionWhenTheOldOneFallsSilent)
{
    Relay relay(context_, serve(&answerInPieces));
    const auto client = clientOf(relay.address());
    run([&]() -> asio::awaitable<void> {
        const auto call = client->open(request("a"), context_.get_executor());
        std::string text;
        int pieces = 0;
        while (true) {
            const auto item = co_await call->next();
            if (const auto *piece = std::get_if<AnswerPiece>(&*item)) {
                text += piece->bytes;
                if (++pieces == 5) {
                    relay.dropTrafficOnOpenConnections();
                }
            } else if (!std::holds_alternative<AnswerHead>(*item)) {
                EXPECT_TRUE(std::holds_alternative<AnswerEnd>(*item));
                break;
            }
        }
        EXPECT_EQ(text, expectedAnswer("a"));
        EXPECT_EQ(relay.accepted(), 2);
    });
}

// The peer cannot be reached. Nothing has been sent, so the request is reported as not run and can
// be served elsewhere immediately.
TEST_F(ChannelTest, CallThatCouldNotBeSentIsNotRun)
{
    options_.connectTimeout = Common::milliseconds(200);
    const auto client = clientOf("127.0.0.1:1");
    run([&]() -> asio::awaitable<void> {
        const auto call = client->open(request("a"), context_.get_executor());
        const auto item = co_await call->next();
        EXPECT_EQ(std::get<AnswerFailure>(*item).run, Common::RunState::NotRun);
    });
}

// A relay between two regions accepts connections for an instance that is down. If a request were
// sent to it, its run state could only be reported as unknown.
TEST_F(ChannelTest, CallThroughARelayToAStoppedInstanceIsNotRun)
{
    tcp::acceptor relay(context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    auto acceptAndClose = [&]() -> asio::awaitable<void> {
        while (true) {
            auto socket = co_await relay.async_accept(asio::use_awaitable);
        }
    };
    asio::co_spawn(context_, acceptAndClose, asio::detached);
    const auto client = clientOf("127.0.0.1:" + std::to_string(relay.local_endpoint().port()));
    run([&]() -> asio::awaitable<void> {
        const auto call = client->open(request("a"), context_.get_executor());
        const auto item = co_await call->next();
        EXPECT_EQ(std::get<AnswerFailure>(*item).run, Common::RunState::NotRun);
    });
}

TEST_F(ChannelTest, CancelReachesTheServer)
{
    bool cancelled = false;
    const auto client =
        clientOf(serve([&](std::shared_ptr<IncomingCall> call) -> asio::awaitable<void> {
            call->onGone([&] { cancelled = true; });
            co_await call->send(AnswerHead());
            while (!cancelled) {
                co_await Async::sleepFor(Common::milliseconds(1));
            }
        }));
    run([&]() -> asio::awaitable<void> {
        const auto call = client->open(request("a"), context_.get_executor());
        co_await call->next();
        call->cancel();
        while (!cancelled) {
            co_await Async::sleepFor(Common::milliseconds(1));
        }
    });
}

// Guards against a withdrawn request whose outcome does not reach the instance that forwarded it.
TEST_F(ChannelTest, AWithdrawnCallStillGetsItsOutcome)
{
    bool withdrawn = false;
    const auto client =
        clientOf(serve([&](std::shared_ptr<IncomingCall> call) -> asio::awaitable<void> {
            call->onWithdrawn([&] { withdrawn = true; });
            while (!withdrawn) {
                co_await Async::sleepFor(Common::milliseconds(1));
            }
            AnswerFailure failure;
            failure.run = Common::RunState::NotRun;
            co_await call->send(failure);
        }));
    run([&]() -> asio::awaitable<void> {
        const auto call = client->open(request("a"), context_.get_executor());
        co_await Async::sleepFor(Common::milliseconds(50));
        call->withdraw();
        const auto item = co_await call->next();
        EXPECT_EQ(std::get<AnswerFailure>(*item).run, Common::RunState::NotRun);
    });
    EXPECT_TRUE(withdrawn);
}

TEST_F(ChannelTest, ACallThatIsWithdrawnBeforeItWasSentIsNotRun)
{
    const auto client = clientOf("127.0.0.1:1");
    run([&]() -> asio::awaitable<void> {
        const auto call = client->open(request("a"), context_.get_executor());
        call->withdraw();
        const auto item = co_await call->next();
        EXPECT_EQ(std::get<AnswerFailure>(*item).run, Common::RunState::NotRun);
    });
}

// The reader has stopped reading. The sender must not buffer an unbounded amount for it.
TEST_F(ChannelTest, SenderWaitsWhileTheReaderDoesNotRead)
{
    int sent = 0;
    const auto client =
        clientOf(serve([&](std::shared_ptr<IncomingCall> call) -> asio::awaitable<void> {
            for (; sent < 1000; ++sent) {
                AnswerPiece piece;
                piece.bytes = std::string(100, 'x');
                if (!co_await call->send(std::move(piece))) {
                    co_return;
                }
            }
        }));
    run([&]() -> asio::awaitable<void> {
        const auto call = client->open(request("a"), context_.get_executor());
        co_await call->next();
        co_await Async::sleepFor(Common::milliseconds(50));
        EXPECT_LE(sent, 20);
    });
}

TEST(ChannelFramesTest, DamagedBytesAreAnError)
{
    const auto bytes = encodeFrame(Frame(Hello{Common::InstanceId("a"), 7}));
    const auto body = bytes.substr(FrameLengthBytes);
    EXPECT_EQ(decodeFrameLength(bytes), body.size());
    EXPECT_TRUE(decodeFrame(body));
    EXPECT_FALSE(decodeFrame(body.substr(0, body.size() / 2)));
    EXPECT_FALSE(decodeFrame(std::string(40, '\xff')));
}

} // namespace

} // namespace LaburnumChute::Peers
