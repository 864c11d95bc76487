#include <gtest/gtest.h>

#include "OneShotServer.h"
#include "Readers/Readers.h"

namespace LaburnumChute::Readers {

namespace {

using AfterResponse = OneShotServer::AfterResponse;

Common::Result<HttpClientResponse> get(const std::string &address)
{
    HttpClientRequest request;
    request.address = address;
    request.target = "/thing?a=1";
    request.timeout = Common::milliseconds(300);
    request.bodyLimitBytes = 100;
    return runUntilComplete(fetch(request));
}

TEST(HttpClientTest, ReturnsStatusAndBody)
{
    OneShotServer server(httpResponse("418 I'm a teapot", "short"), AfterResponse::Close);
    const auto response = get(server.address());
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->status, 418U);
    EXPECT_EQ(response->body, "short");
    EXPECT_EQ(server.requestLine(), "GET /thing?a=1 HTTP/1.1");
}

TEST(HttpClientTest, ConnectionThatGoesSilentEndsWithTheTimeout)
{
    // A middlebox between client and server drops its state for the connection in the middle of a
    // response. Without a timeout the reader would wait for ever and miss new versions.
    for (const auto *part :
         {"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"}) {
        OneShotServer server(part, AfterResponse::StaySilent);
        const auto response = get(server.address());
        ASSERT_FALSE(response);
        EXPECT_EQ(response.error().code, Common::ErrorCode::Unavailable);
    }
}

TEST(HttpClientTest, TruncatedAndMalformedResponsesAreErrors)
{
    for (const auto *part :
         {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", "garbage\r\n\r\n"}) {
        OneShotServer server(part, AfterResponse::Close);
        EXPECT_FALSE(get(server.address())) << part;
    }
}

// Guards against taking a part for the whole: the server ends a response without a length before it
// has read the request, and resets the connection. A read reports only the first of these.
TEST(HttpClientTest, ResetBehindAResponseWithoutLengthIsAnError)
{
    constexpr std::size_t UnreadBytes = 400'000;
    OneShotServer server("HTTP/1.1 200 OK\r\n\r\npart", AfterResponse::CloseAndReset);
    HttpClientRequest request;
    request.address = server.address();
    request.method = "POST";
    request.target = "/thing";
    request.body = std::string(UnreadBytes, 'x');
    EXPECT_FALSE(runUntilComplete(fetch(request)));
}

// Guards against taking an answer with a status that HTTP does not have, or an interim one, for the
// response.
TEST(HttpClientTest, OnlyAFinalResponseIsReturned)
{
    for (const auto *status : {"000 None", "099 Odd", "101 Switching Protocols", "600 Odd"}) {
        OneShotServer server(httpResponse(status, "odd"), AfterResponse::Close);
        EXPECT_FALSE(get(server.address())) << status;
    }
    OneShotServer server("HTTP/1.1 103 Early Hints\r\n\r\n" + httpResponse("200 OK", "final"),
                         AfterResponse::Close);
    const auto response = get(server.address());
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, "final");
}

TEST(HttpClientTest, BodyOverTheLimitIsTooLarge)
{
    const std::string body(101, 'x');
    for (const auto &text :
         {httpResponse("200 OK", body), "HTTP/1.1 200 OK\r\n\r\n" + body,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + body + "\r\n0\r\n\r\n"}) {
        OneShotServer server(text, AfterResponse::Close);
        const auto response = get(server.address());
        ASSERT_FALSE(response) << response->body.size() << " bytes after " << text.substr(0, 40);
        EXPECT_EQ(response.error().code, Common::ErrorCode::TooLarge) << response.error().message;
    }
}

// Guards against keeping what a service in trouble sends without end.
TEST(HttpClientTest, LongHeadsExtensionsAndTrailersAreErrors)
{
    const std::string filler(1 << 20, 'x');
    for (const auto *before :
         {"HTTP/1.1 200 OK\r\nX-Filler: ",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: "}) {
        auto text = before + filler;
        text += "\r\n\r\n";
        OneShotServer server(std::move(text), AfterResponse::Close);
        EXPECT_FALSE(get(server.address())) << before;
    }
}

TEST(HttpClientTest, ErrorNamesTheInvalidAddress)
{
    for (const auto *address : {"", "nowhere", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:99999",
                                "127.0.0.1:0", "127.0.0.1:8x", "localhost:80"}) {
        const auto response = get(address);
        ASSERT_FALSE(response) << address;
        EXPECT_EQ(response.error().code, Common::ErrorCode::InvalidArgument) << address;
        EXPECT_NE(response.error().message.find(address), std::string::npos);
    }
}

} // namespace

} // namespace LaburnumChute::Readers
