#include <gtest/gtest.h>

#include "Relay/InboundServer.h"
#include "Sockets.h"

namespace LaburnumChute::Relay {

namespace {

class InboundConnectionTest : public testing::Test
{
protected:
    InboundConnectionTest()
        : server_(
            context_, 100, [this] { return limits_; },
            [this](const std::shared_ptr<InboundConnection> &connection, InboundRequest request) {
                requests_.push_back(std::move(request));
                handler_(connection);
            })
        , address_(*server_.listen("127.0.0.1:0"))
        , caller_(callerContext_)
    {
        limits_.bodyBytes = 1000;
        const auto port = std::stoi(address_.substr(address_.find(':') + 1));
        caller_.connect(
            tcp::endpoint(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)));
        caller_.non_blocking(true);
    }

    void run(Common::milliseconds time = Common::milliseconds(60))
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            context_.restart();
            context_.run_for(Common::milliseconds(5));
            server_.tick(std::chrono::steady_clock::now());
        }
    }
    void sendBytes(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(caller_, asio::buffer(bytes), ignored);
        run();
    }
    std::string receivedText()
    {
        std::string text;
        std::array<char, 4096> buffer{};
        boost::system::error_code error;
        while (!error) {
            const auto size = caller_.read_some(asio::buffer(buffer), error);
            text.append(buffer.data(), size);
        }
        closed_ = error != asio::error::would_block;
        return text;
    }

    asio::io_context context_;
    asio::io_context callerContext_;
    Catalog::CallerLimits limits_;
    std::vector<InboundRequest> requests_;
    std::function<void(const std::shared_ptr<InboundConnection> &)> handler_ =
        [](const std::shared_ptr<InboundConnection> &connection) {
            connection->respond(200, {}, "ok");
        };
    InboundServer server_;
    std::string address_;
    tcp::socket caller_;
    bool closed_ = false;
};

} // namespace

TEST_F(InboundConnectionTest, ServesFragmentedAndConsecutiveRequests)
{
    sendBytes("POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Le");
    sendBytes("ngth: 4\r\n\r\nbo");
    sendBytes("dyGET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_EQ(requests_.size(), 2U);
    EXPECT_EQ(requests_[0].target, "/a?b");
    EXPECT_EQ(*requests_[0].body, "body");
    EXPECT_EQ(requests_[1].target, "/c");
    const auto text = receivedText();
    EXPECT_FALSE(closed_);
    EXPECT_NE(text.find("ok", text.find("ok") + 1), std::string::npos);
}

TEST_F(InboundConnectionTest, ChunkedBodyIsRead)
{
    sendBytes("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
              "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ASSERT_EQ(requests_.size(), 1U);
    EXPECT_EQ(*requests_[0].body, "abcde");
}

// Guards against LOST: a caller far away sends the first request of its connection while the
// instance closes idle ones; the request is thrown away.
TEST_F(InboundConnectionTest, ANewConnectionIsNotClosedBeforeItsFirstRequest)
{
    run();
    server_.closeGracefully();
    run();
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_EQ(requests_.size(), 1U);
    EXPECT_NE(receivedText().find("Connection: close"), std::string::npos);
}

// As above, with a request that has arrived and has not been read yet.
TEST_F(InboundConnectionTest, ARequestThatHasArrivedIsServedBeforeTheConnectionCloses)
{
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    boost::system::error_code ignored;
    asio::write(caller_, asio::buffer(std::string("GET /b HTTP/1.1\r\nHost: h\r\n\r\n")), ignored);
    server_.closeGracefully();
    run();
    EXPECT_EQ(requests_.size(), 2U);
}

// Guards against requests that are read and thrown away after a graceful close.
TEST_F(InboundConnectionTest, ARequestThatCrossesTheCloseIsNotRead)
{
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    receivedText();
    server_.closeGracefully();
    run();
    EXPECT_EQ(server_.pending(std::chrono::steady_clock::now()), 0U);
}

// Request smuggling: the request has conflicting lengths, or a transfer coding that an endpoint may
// interpret differently. Bytes that only one of the two considers part of the body would be a
// separate request for the other.
TEST_F(InboundConnectionTest, RequestSmugglingIsRejected)
{
    const std::vector<std::string> heads = {
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 7\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Host: other\r\n",
    };
    for (const auto &head : heads) {
        caller_.close();
        const auto port = std::stoi(address_.substr(address_.find(':') + 1));
        caller_.connect(
            tcp::endpoint(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)));
        caller_.non_blocking(true);
        sendBytes("POST /a HTTP/1.1\r\nHost: h\r\n" + head
                  + "\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
        EXPECT_EQ(receivedText().substr(0, 12), "HTTP/1.1 400") << head;
    }
    EXPECT_TRUE(requests_.empty());
}

TEST_F(InboundConnectionTest, TooLargeBodyIsRejected)
{
    sendBytes("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    EXPECT_EQ(receivedText().substr(0, 12), "HTTP/1.1 413");
}

TEST_F(InboundConnectionTest, TooLargeHeaderIsRejected)
{
    limits_.headerBytes = 200;
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(400, 'x') + "\r\n\r\n");
    EXPECT_EQ(receivedText().substr(0, 12), "HTTP/1.1 431");
}

// A caller that sends its header very slowly would occupy the connection indefinitely.
TEST_F(InboundConnectionTest, SlowHeaderTimesOut)
{
    limits_.headerTimeout = Common::milliseconds(80);
    sendBytes("GET /a HT");
    run(Common::milliseconds(150));
    EXPECT_EQ(receivedText().substr(0, 12), "HTTP/1.1 408");
}

// The caller disconnects while its request is being served. Until that is noticed, the endpoint
// does useless work.
TEST_F(InboundConnectionTest, DisconnectDuringRequestIsNoticedImmediately)
{
    bool disconnected = false;
    std::shared_ptr<InboundConnection> held;
    handler_ = [&](const std::shared_ptr<InboundConnection> &connection) {
        held = connection;
        connection->onDisconnect([&] { disconnected = true; });
    };
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_FALSE(disconnected);
    caller_.close();
    run(Common::milliseconds(30));
    EXPECT_TRUE(disconnected);
}

TEST_F(InboundConnectionTest, StreamedPartsAreSentImmediately)
{
    std::shared_ptr<InboundConnection> held;
    handler_ = [&](const std::shared_ptr<InboundConnection> &connection) { held = connection; };
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    held->beginStream(200, {{"A", "1"}});
    run();
    EXPECT_EQ(receivedText(), "");
    held->sendPart("one");
    run();
    const auto first = receivedText();
    EXPECT_NE(first.find("A: 1\r\n"), std::string::npos);
    EXPECT_NE(first.find("3\r\none\r\n"), std::string::npos);
    held->endStream();
    run();
    EXPECT_EQ(receivedText(), "0\r\n\r\n");
    EXPECT_FALSE(closed_);
}

// An endpoint fails during a stream. The caller must see that the response is incomplete.
TEST_F(InboundConnectionTest, AbortedResponseIsIncomplete)
{
    std::shared_ptr<InboundConnection> held;
    handler_ = [&](const std::shared_ptr<InboundConnection> &connection) { held = connection; };
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    held->beginStream(200, {});
    held->sendPart("one");
    held->abort();
    run();
    const auto text = receivedText();
    EXPECT_TRUE(closed_);
    EXPECT_EQ(text.find("0\r\n\r\n"), std::string::npos);
}

// During shutdown, the next response tells the caller to close the connection, and no response is
// lost in a connection reset.
TEST_F(InboundConnectionTest, ClosingConnectionStillSendsTheResponse)
{
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    receivedText();
    std::shared_ptr<InboundConnection> held;
    handler_ = [&](const std::shared_ptr<InboundConnection> &connection) { held = connection; };
    sendBytes("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    server_.closeGracefully();
    held->respond(200, {}, "last");
    run();
    const auto text = receivedText();
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_NE(text.find("last"), std::string::npos);
    EXPECT_TRUE(closed_);
}

// Guards against two responses to one request.
TEST_F(InboundConnectionTest, FinishedResponseIsNotFollowedByAnother)
{
    handler_ = [](const std::shared_ptr<InboundConnection> &connection) {
        connection->closeAfterNextResponse();
        connection->respond(200, {}, "first");
        connection->respond(504, {}, "second");
        connection->abort();
    };
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto text = receivedText();
    EXPECT_NE(text.find("first"), std::string::npos);
    EXPECT_EQ(text.find("second"), std::string::npos);
}

// Guards against a shutdown that waits for a caller that never closes its connection.
TEST_F(InboundConnectionTest, ClosingConnectionEndsThoughTheCallerKeepsItOpen)
{
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    server_.closeGracefully();
    run(Common::milliseconds(1700));
    EXPECT_EQ(server_.connections(), 0U);
}

// Guards against a shutdown that waits for the rest of a request.
TEST_F(InboundConnectionTest, UnfinishedRequestIsRejectedWhenTheConnectionIsToBeClosed)
{
    sendBytes("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf");
    server_.closeGracefully();
    run(Common::milliseconds(1700));
    EXPECT_EQ(receivedText().substr(0, 12), "HTTP/1.1 503");
    EXPECT_TRUE(requests_.empty());
}

// Guards against a time limit for a whole write, which a large response exceeds.
TEST_F(InboundConnectionTest, SlowReaderIsServedWhileItReads)
{
    const std::string large(4'000'000, 'x');
    handler_ = [&large](const std::shared_ptr<InboundConnection> &connection) {
        connection->respond(200, {}, large);
    };
    caller_.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    server_.closeGracefully();
    std::size_t received = 0;
    const auto start = std::chrono::steady_clock::now();
    while (!closed_ && std::chrono::steady_clock::now() - start < std::chrono::seconds(10)) {
        received += receivedText().size();
        run(Common::milliseconds(5));
    }
    EXPECT_GT(received, large.size());
}

// Guards against a caller that closes its sending direction after its request and gets only the
// part of a large response that the kernel took at once.
TEST_F(InboundConnectionTest, CallerThatHasClosedItsSendingDirectionGetsTheWholeResponse)
{
    const std::string large(8'000'000, 'x');
    handler_ = [&large](const std::shared_ptr<InboundConnection> &connection) {
        connection->respond(200, {}, large);
    };
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    caller_.shutdown(tcp::socket::shutdown_send);
    run();
    std::size_t received = 0;
    for (int round = 0; round < 200 && !closed_; ++round) {
        received += receivedText().size();
        run(Common::milliseconds(10));
    }
    EXPECT_GT(received, large.size());
}

// Guards against a response that ends with its connection and looks whole as the process exits.
TEST_F(InboundConnectionTest, UnframedResponseIsResetWhenTheProcessExits)
{
    handler_ = [](const std::shared_ptr<InboundConnection> &connection) {
        connection->beginStream(200, {});
        connection->sendPart("first");
    };
    sendBytes("GET /a HTTP/1.0\r\n\r\n");
    server_.closeForExit();
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    while (!error) {
        caller_.read_some(asio::buffer(buffer), error);
    }
    EXPECT_EQ(error, asio::error::connection_reset);
}

// Guards against a request that goes on running because its caller left while the response to an
// earlier one was still being sent.
TEST_F(InboundConnectionTest, LeavingIsNoticedWhileAnEarlierResponseIsSent)
{
    const std::string large(8'000'000, 'x');
    bool left = false;
    handler_ = [&](const std::shared_ptr<InboundConnection> &connection) {
        if (requests_.size() == 1) {
            connection->respond(200, {}, large);
            return;
        }
        connection->onDisconnect([&left] { left = true; });
    };
    sendBytes("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int round = 0; round < 200 && requests_.size() < 2; ++round) {
        run(Common::milliseconds(10));
    }
    ASSERT_EQ(requests_.size(), 2U);
    caller_.shutdown(tcp::socket::shutdown_send);
    for (int round = 0; round < 50 && !left; ++round) {
        run(Common::milliseconds(10));
    }
    EXPECT_TRUE(left);
    std::size_t received = 0;
    for (int round = 0; round < 200 && !closed_; ++round) {
        received += receivedText().size();
        run(Common::milliseconds(10));
    }
    EXPECT_GT(received, large.size());
}

// Guards against bytes of a chunked body behind the response to a HEAD request.
TEST_F(InboundConnectionTest, StreamedResponseToHeadHasNoBody)
{
    handler_ = [](const std::shared_ptr<InboundConnection> &connection) {
        connection->beginStream(200, {});
        connection->endStream();
    };
    sendBytes("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto text = receivedText();
    ASSERT_GT(text.size(), 4U);
    EXPECT_EQ(text.find("\r\n\r\n"), text.size() - 4);
}

// Guards against a server that accepts in an endless loop once it has been told to stop.
TEST_F(InboundConnectionTest, ServerThatStopsWhileCallersConnectIsIdle)
{
    tcp::socket second(callerContext_);
    second.connect(caller_.remote_endpoint());
    context_.poll_one();
    server_.stopAccepting();
    int handlers = 0;
    while (handlers < 1000 && context_.poll_one() > 0) {
        ++handlers;
    }
    EXPECT_LT(handlers, 1000);
}

} // namespace LaburnumChute::Relay
