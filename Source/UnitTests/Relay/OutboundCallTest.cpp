#include <gtest/gtest.h>

#include "Relay/HttpText.h"
#include "Relay/OutboundCall.h"
#include "Sockets.h"

namespace LaburnumChute::Relay {

namespace {

/// Outcome of a call.
struct Outcome
{
    std::vector<unsigned> statuses;
    std::string body;
    bool ended = false;
    std::optional<ResponseEnd> endedBy;
    std::optional<CallFailure> failure;
    std::string reason;
};

class OutboundCallTest : public testing::Test
{
protected:
    OutboundRequest request(const std::string &address, const std::string &body = "")
    {
        OutboundRequest request;
        request.address = address;
        request.head = requestHead(
            "POST", "/x", {{"Host", "h"}, {"Content-Length", std::to_string(body.size())}});
        request.body = std::make_shared<const std::string>(body);
        request.maxIdle = Common::seconds(5);
        return request;
    }

    /// Runs one call to its end. A response with the header "Foreign" belongs to another request.
    Outcome call(OutboundRequest request, std::function<bool()> maySend = nullptr)
    {
        Outcome outcome;
        CallEvents events;
        events.maySend = std::move(maySend);
        events.head = [&](const ResponseHead &head) {
            outcome.statuses.push_back(head.status);
            return Common::findHeader(head.headers, "Foreign") == nullptr;
        };
        events.body = [&](const std::string &bytes) { outcome.body += bytes; };
        events.end = [&](ResponseEnd end) {
            outcome.ended = true;
            outcome.endedBy = end;
        };
        events.failed = [&](CallFailure failure, const std::string &reason) {
            outcome.failure = failure;
            outcome.reason = reason;
        };
        const auto activeCall =
            std::make_shared<OutboundCall>(pool_, std::move(request), std::move(events));
        activeCall->start(std::chrono::steady_clock::now());
        const auto deadline = std::chrono::steady_clock::now() + Common::seconds(5);
        while (!outcome.ended && !outcome.failure && std::chrono::steady_clock::now() < deadline) {
            context_.restart();
            context_.run_for(Common::milliseconds(5));
            activeCall->tick(std::chrono::steady_clock::now());
        }
        activeCall->cancel();
        return outcome;
    }

    asio::io_context context_;
    std::shared_ptr<OutboundPool> pool_ = std::make_shared<OutboundPool>(context_);
};

ScriptedServer::Script respondWith(const std::string &bytes)
{
    return [bytes](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, bytes);
        // Keeps the connection open until the response has been read.
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
    };
}

/// Reads until the connection ends, and records how.
ScriptedServer::Script recordEnd(boost::system::error_code &end)
{
    return [&end](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        char byte = 0;
        while (!end) {
            socket.read_some(asio::buffer(&byte, 1), end);
        }
    };
}

} // namespace

// Guards against requests that reach an endpoint after their callers have left: a path is cut, the
// call is cancelled, and the kernel delivers the request when the path works again.
TEST_F(OutboundCallTest, CancelledCallDiscardsWhatWasNotDelivered)
{
    boost::system::error_code end;
    {
        ScriptedServer server({recordEnd(end)});
        const auto running =
            std::make_shared<OutboundCall>(pool_, request(server.address()), CallEvents());
        running->start(std::chrono::steady_clock::now());
        context_.run_for(Common::milliseconds(100));
        running->cancel();
    }
    EXPECT_EQ(end, asio::error::connection_reset);
}

TEST_F(OutboundCallTest, ReusesTheConnectionAfterACompleteResponse)
{
    ScriptedServer server({[](tcp::socket &socket) {
        for (int index = 0; index < 2; ++index) {
            ScriptedServer::readHead(socket);
            ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    }});
    EXPECT_EQ(call(request(server.address())).body, "ok");
    EXPECT_EQ(pool_->idleCount(), 1U);
    EXPECT_EQ(call(request(server.address())).body, "ok");
    EXPECT_EQ(server.acceptedCount(), 1);
}

// Guards against taking a closed port, which proves that the endpoint has ended, for a slow path.
// Guards against MIXED and TWICE: a second answer to an earlier attempt of a request has the id of
// the request and passes for that to the next attempt, which may be another call of this process.
TEST_F(OutboundCallTest, AConnectionIsNotUsedForARequestThatItHasCarried)
{
    constexpr std::string_view Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const auto answerTwice = [Answer](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, std::string(Answer));
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, std::string(Answer));
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
    };
    ScriptedServer server({answerTwice, respondWith(std::string(Answer))});
    const auto callWithKey = [&](std::uint64_t key) {
        auto one = request(server.address());
        one.requestKey = key;
        return call(std::move(one));
    };
    EXPECT_TRUE(callWithKey(1).ended);
    EXPECT_TRUE(callWithKey(2).ended);
    EXPECT_EQ(server.acceptedCount(), 1);
    EXPECT_TRUE(callWithKey(1).ended);
    EXPECT_EQ(server.acceptedCount(), 2);
}

TEST_F(OutboundCallTest, ClosedPortIsRefused)
{
    std::string address;
    {
        ScriptedServer server({});
        address = server.address();
    }
    EXPECT_EQ(call(request(address)).failure, CallFailure::Refused);
}

// The request must not be sent if maySend returns false once the connection is established.
TEST_F(OutboundCallTest, NothingIsSentIfMaySendReturnsFalse)
{
    std::atomic<std::size_t> received = 0;
    ScriptedServer server(
        {[&](tcp::socket &socket) { received = ScriptedServer::readHead(socket).size(); }});
    EXPECT_EQ(call(request(server.address()), [] { return false; }).failure, CallFailure::Withheld);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    EXPECT_EQ(received, 0U);
}

// The endpoint resets the connection after the request has been sent, so the request may have run.
TEST_F(OutboundCallTest, ResetAfterTheRequestIsBroken)
{
    ScriptedServer server({[](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::reset(socket);
    }});
    EXPECT_EQ(call(request(server.address())).failure, CallFailure::Broken);
}

TEST_F(OutboundCallTest, InvalidResponseIsAFailure)
{
    ScriptedServer server({respondWith("\x01\x02 what is this\r\n\r\n")});
    EXPECT_EQ(call(request(server.address())).failure, CallFailure::Invalid);
}

// The endpoint closes the connection inside its response. A truncated response must not be passed
// on as complete.
TEST_F(OutboundCallTest, TruncatedResponseIsAFailure)
{
    ScriptedServer server({[](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    }});
    const auto outcome = call(request(server.address()));
    EXPECT_FALSE(outcome.ended);
    EXPECT_EQ(outcome.failure, CallFailure::Broken);
}

TEST_F(OutboundCallTest, ResponseWithoutLengthEndsWithItsConnection)
{
    ScriptedServer server({[](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\n\r\nall of it");
    }});
    const auto outcome = call(request(server.address()));
    EXPECT_TRUE(outcome.ended);
    EXPECT_EQ(outcome.body, "all of it");
    EXPECT_EQ(outcome.endedBy, ResponseEnd::ConnectionClose);
    EXPECT_EQ(pool_->idleCount(), 0U);
}

// As above, but the connection is reset, so the response may be incomplete.
TEST_F(OutboundCallTest, ResetResponseWithoutLengthIsIncomplete)
{
    ScriptedServer server({[](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\n\r\nsome of it");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        ScriptedServer::reset(socket);
    }});
    const auto outcome = call(request(server.address()));
    EXPECT_FALSE(outcome.ended);
    EXPECT_EQ(outcome.failure, CallFailure::Broken);
}

// A second response to an earlier request arrives first. It must not be passed on to this caller.
TEST_F(OutboundCallTest, ResponseToAnotherRequestIsSkipped)
{
    ScriptedServer server(
        {respondWith("HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 6\r\n\r\ntheirs"
                     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nours")});
    const auto outcome = call(request(server.address()));
    EXPECT_TRUE(outcome.ended);
    EXPECT_EQ(outcome.endedBy, ResponseEnd::Framing);
    EXPECT_EQ(outcome.body, "ours");
}

// Bytes follow a complete response. The next request on that connection would take them for its
// response.
TEST_F(OutboundCallTest, ConnectionWithBytesAfterTheResponseIsNotReused)
{
    ScriptedServer server({respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokextra")});
    EXPECT_EQ(call(request(server.address())).body, "ok");
    EXPECT_EQ(pool_->idleCount(), 0U);
}

// As above, but the bytes arrive later, while the connection is idle.
TEST_F(OutboundCallTest, IdleConnectionThatReceivesBytesIsNotReused)
{
    ScriptedServer server(
        {[](tcp::socket &socket) {
             ScriptedServer::readHead(socket);
             ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
             std::this_thread::sleep_for(std::chrono::milliseconds(30));
             ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
         },
         respondWith("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nours")});
    EXPECT_EQ(call(request(server.address())).body, "ok");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    EXPECT_EQ(call(request(server.address())).body, "ours");
}

// The endpoint rejects a long request before it has read all of it. The response must be passed on,
// and the connection, which still expects the rest of the request, must not be reused.
TEST_F(OutboundCallTest, ResponseBeforeTheRequestIsWrittenIsUsed)
{
    ScriptedServer server({[](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }});
    const auto outcome = call(request(server.address(), std::string(16 << 20, 'x')));
    ASSERT_EQ(outcome.statuses.size(), 1U);
    EXPECT_EQ(outcome.statuses[0], 413U);
    EXPECT_EQ(outcome.body, "no");
    EXPECT_EQ(pool_->idleCount(), 0U);
}

// Guards against MIXED: the endpoint answers an upload early and resets the connection. If the
// write of the upload gets the error of the socket, the read behind it sees a plain end.
TEST_F(OutboundCallTest, ResetDuringTheUploadDoesNotEndAResponseWithoutLength)
{
    constexpr int Calls = 30;
    for (int index = 0; index < Calls; ++index) {
        ScriptedServer server({[](tcp::socket &socket) {
            ScriptedServer::readHead(socket);
            ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\n\r\npart");
            ScriptedServer::reset(socket);
        }});
        const auto outcome = call(request(server.address(), std::string(4 << 20, 'x')));
        EXPECT_FALSE(outcome.ended);
        EXPECT_EQ(outcome.failure, CallFailure::Broken);
    }
}

// As above, for an endpoint that closes its sending side and reads no further.
TEST_F(OutboundCallTest, CloseDuringTheUploadDoesNotEndAResponseWithoutLength)
{
    ScriptedServer server({[](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\n\r\npart");
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }});
    const auto outcome = call(request(server.address(), std::string(16 << 20, 'x')));
    EXPECT_EQ(outcome.failure, CallFailure::Broken);
}

// Guards against MIXED: the kernel has taken the upload, and the endpoint ends its response and
// resets the connection before it has received all of it. Reads do not report a reset behind the
// end.
TEST_F(OutboundCallTest, ResetBehindTheEndDoesNotEndAResponseWithoutLength)
{
    constexpr std::size_t UploadBytes = 400'000;
    for (const auto pause : {0, 50}) {
        ScriptedServer server({[pause](tcp::socket &socket) {
            ScriptedServer::readHead(socket);
            // The kernel of the other side takes the upload.
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\n\r\npart");
            boost::system::error_code ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            std::this_thread::sleep_for(std::chrono::milliseconds(pause));
            ScriptedServer::reset(socket);
        }});
        const auto outcome = call(request(server.address(), std::string(UploadBytes, 'x')));
        EXPECT_EQ(outcome.failure, CallFailure::Broken) << pause;
    }
}

// An endpoint may end its response first and read the request then.
TEST_F(OutboundCallTest, AResponseThatEndsBeforeTheUploadIsReadIsWhole)
{
    const std::string body(16 << 20, 'x');
    ScriptedServer server({[](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\n\r\nall");
        boost::system::error_code error;
        socket.shutdown(tcp::socket::shutdown_send, error);
        std::string received(1 << 16, 0);
        while (!error) {
            socket.read_some(asio::buffer(received), error);
        }
    }});
    const auto outcome = call(request(server.address(), body));
    EXPECT_EQ(outcome.endedBy, ResponseEnd::ConnectionClose) << outcome.reason;
    EXPECT_EQ(outcome.body, "all");
}

TEST_F(OutboundCallTest, InterimResponsesAreSkipped)
{
    ScriptedServer server({respondWith("HTTP/1.1 100 Continue\r\n\r\n"
                                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")});
    const auto outcome = call(request(server.address()));
    EXPECT_EQ(outcome.statuses, std::vector<unsigned>{200});
    EXPECT_EQ(outcome.body, "ok");
}

// Guards against MIXED: an answer with a status that HTTP does not have is passed on, or what
// follows it is taken for the answer.
TEST_F(OutboundCallTest, ResponsesWithAnInvalidStatusAreFailures)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const auto *status : {"000", "099", "101", "600", "999"}) {
        ScriptedServer server(
            {respondWith("HTTP/1.1 " + std::string(status) + " Odd\r\nContent-Length: "
                         + std::to_string(answer.size()) + "\r\n\r\n" + answer)});
        const auto outcome = call(request(server.address()));
        EXPECT_EQ(outcome.failure, CallFailure::Invalid) << status;
        EXPECT_TRUE(outcome.statuses.empty()) << status;
    }
}

// A corrupt header states an enormous length. No memory must be allocated for it.
TEST_F(OutboundCallTest, ExcessiveContentLengthIsAFailure)
{
    ScriptedServer server(
        {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\nx")});
    EXPECT_EQ(call(request(server.address())).failure, CallFailure::Invalid);
}

TEST_F(OutboundCallTest, ConnectionCloseIsNotReused)
{
    ScriptedServer server(
        {respondWith("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")});
    EXPECT_TRUE(call(request(server.address())).ended);
    EXPECT_EQ(pool_->idleCount(), 0U);
}

// Bytes without end.

namespace {

constexpr std::size_t Megabyte = 1024 * 1024;

std::string repeat(const std::string &text, int count)
{
    std::string all;
    for (int index = 0; index < count; ++index) {
        all += text;
    }
    return all;
}

struct EndlessBytes
{
    std::string name;
    std::string before;
    std::string repeated;
};

std::ostream &operator<<(std::ostream &out, const EndlessBytes &bytes)
{
    return out << bytes.name;
}

const std::string Filler(8192, 'x');
const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string Fields = repeat("X-Filler: y\r\n", 500);

std::vector<EndlessBytes> endlessBytes()
{
    return {
        {"Garbage", "", Filler},
        {"Field", "HTTP/1.1 200 OK\r\nX-Filler: ", Filler},
        {"Fields", "HTTP/1.1 200 OK\r\n", Fields},
        {"InterimResponses", "", repeat("HTTP/1.1 102 Processing\r\n\r\n", 300)},
        {"ForeignResponses", "",
         "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 8192\r\n\r\n" + Filler},
        {"ForeignBody", "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 60000000\r\n\r\n",
         Filler},
        {"ChunkSize", Chunked, "0"},
        {"ChunkExtension", Chunked + "1;x=", Filler},
        {"ChunkExtensions", Chunked, "1;x=" + std::string(4000, 'y') + "\r\nz\r\n"},
        {"Trailer", Chunked + "0\r\nX-Filler: ", Filler},
        {"Trailers", Chunked + "0\r\n", Fields},
        {"Body", "HTTP/1.1 200 OK\r\n\r\n", Filler},
        {"ChunkedBody", Chunked, "2000\r\n" + Filler + "\r\n"},
    };
}

class EndlessBytesTest : public OutboundCallTest, public testing::WithParamInterface<EndlessBytes>
{
};

} // namespace

// Guards against a call that reads on, and keeps all of it, while an endpoint sends without end.
TEST_P(EndlessBytesTest, TheCallFailsSoon)
{
    const auto &bytes = GetParam();
    std::atomic<std::size_t> sent = 0;
    ScriptedServer server({[&](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, bytes.before);
        boost::system::error_code error;
        while (!error && sent < 100 * Megabyte) {
            sent += asio::write(socket, asio::buffer(bytes.repeated), error);
        }
    }});
    auto endless = request(server.address());
    endless.maxBodyBytes = Megabyte;
    const auto outcome = call(std::move(endless));
    EXPECT_EQ(outcome.failure, CallFailure::Invalid) << outcome.reason;
    EXPECT_LE(outcome.body.size(), Megabyte);
    EXPECT_LT(sent, 16 * Megabyte);
}

INSTANTIATE_TEST_SUITE_P(Places, EndlessBytesTest, testing::ValuesIn(endlessBytes()),
                         [](const auto &info) { return info.param.name; });

// Guards against bounds that end calls of sound endpoints.
TEST_F(OutboundCallTest, UnusualSoundResponsesPass)
{
    const std::string large(8 * Megabyte, 'z');
    const auto late = "HTTP/1.1 200 OK\r\nForeign: 1\r\nContent-Length: 500000\r\n\r\n"
                      + std::string(500000, 'f');
    const auto longHead = "HTTP/1.1 200 OK\r\nX-Long: " + std::string(30000, 'h') + "\r\n";
    struct Sound
    {
        std::string bytes;
        std::string body;
    };
    const std::vector<Sound> responses = {
        {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(large.size()) + "\r\n\r\n" + large,
         large},
        {late + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
        {longHead + "Content-Length: 2\r\n\r\nok", "ok"},
        {Chunked + repeat("1\r\nx\r\n", 100000) + "0\r\n\r\n", std::string(100000, 'x')},
        {Chunked + "2;name=\"value\"\r\nok\r\n0\r\nX-Sum: 1\r\nX-Time: 2\r\n\r\n", "ok"},
    };
    for (const auto &response : responses) {
        ScriptedServer server({respondWith(response.bytes)});
        const auto outcome = call(request(server.address()));
        EXPECT_TRUE(outcome.ended) << outcome.reason;
        EXPECT_TRUE(outcome.body == response.body) << outcome.body.size();
    }
}

} // namespace LaburnumChute::Relay
