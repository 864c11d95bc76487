#include <gtest/gtest.h>

#include "OneShotServer.h"
#include "Readers/Readers.h"

namespace LaburnumChute::Readers {

namespace {

using Then = OneShotServer::Then;

Common::Result<HttpAnswer> get(const std::string &address)
{
    HttpQuery query;
    query.address = address;
    query.target = "/thing?a=1";
    query.timeout = Common::milliseconds(300);
    query.bodyLimitBytes = 100;
    return runToEnd(fetch(query));
}

TEST(HttpClientTest, ReadsStatusAndBody)
{
    OneShotServer server(httpAnswer("418 I'm a teapot", "short"), Then::Close);
    const auto answer = get(server.address());
    ASSERT_TRUE(answer) << answer.error().message;
    EXPECT_EQ(answer->status, 418U);
    EXPECT_EQ(answer->body, "short");
    EXPECT_EQ(server.requestLine(), "GET /thing?a=1 HTTP/1.1");
}

TEST(HttpClientTest, ConnectionThatGoesSilentEndsWithTheTimeout)
{
    // Something between the two ends has lost track of the connection in the middle of an answer.
    // Without a timeout the reader waits for ever and the instance sees no newer version.
    for (const auto *part :
         {"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"}) {
        OneShotServer server(part, Then::StaySilent);
        const auto answer = get(server.address());
        ASSERT_FALSE(answer);
        EXPECT_EQ(answer.error().code, Common::ErrorCode::Unavailable);
    }
}

TEST(HttpClientTest, TruncatedAndMalformedAnswersAreErrors)
{
    for (const auto *part :
         {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", "garbage\r\n\r\n"}) {
        OneShotServer server(part, Then::Close);
        EXPECT_FALSE(get(server.address())) << part;
    }
}

TEST(HttpClientTest, BodyPastTheBoundIsTooLarge)
{
    const std::string body(101, 'x');
    for (const auto &text :
         {httpAnswer("200 OK", body), "HTTP/1.1 200 OK\r\n\r\n" + body,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + body + "\r\n0\r\n\r\n"}) {
        OneShotServer server(text, Then::Close);
        const auto answer = get(server.address());
        ASSERT_FALSE(answer) << answer->body.size() << " bytes after " << text.substr(0, 40);
        EXPECT_EQ(answer.error().code, Common::ErrorCode::TooLarge) << answer.error().message;
    }
}

TEST(HttpClientTest, AddressThatCannotBeReadIsNamed)
{
    for (const auto *address : {"", "nowhere", "127.0.0.1", "127.0.0.1:", ":80", "127.0.0.1:99999",
                                "127.0.0.1:0", "127.0.0.1:8x", "localhost:80"}) {
        const auto answer = get(address);
        ASSERT_FALSE(answer) << address;
        EXPECT_EQ(answer.error().code, Common::ErrorCode::InvalidArgument) << address;
        EXPECT_NE(answer.error().message.find(address), std::string::npos);
    }
}

} // namespace

} // namespace LaburnumChute::Readers
