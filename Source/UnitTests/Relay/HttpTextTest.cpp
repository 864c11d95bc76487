#include <gtest/gtest.h>

#include "Relay/HttpText.h"

namespace LaburnumChute::Relay {

TEST(HttpTextTest, FormatsHeads)
{
    EXPECT_EQ(responseHead(503, {{"A", "1"}}), "HTTP/1.1 503 Service Unavailable\r\nA: 1\r\n\r\n");
    EXPECT_EQ(requestHead("GET", "/x?y", {{"Host", "h"}}), "GET /x?y HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(encodeChunk("hello world, hello"), "12\r\nhello world, hello\r\n");
}

TEST(HttpTextTest, HopByHopHeadersAreRemoved)
{
    const auto headers = endToEndHeaders({{"connection", "keep-alive, X-Once"},
                                          {"Keep-Alive", "timeout=5"},
                                          {"X-Once", "1"},
                                          {"Transfer-Encoding", "chunked"},
                                          {"Content-Length", "4"},
                                          {"Upgrade", "h2c"},
                                          {"X-Kept", "1"}});
    ASSERT_EQ(headers.size(), 1U);
    EXPECT_EQ(headers[0].name, "X-Kept");
}

// A caller lists Host in its Connection header. If Host were removed, no route would be found, or
// the endpoint would attribute the request to another host.
TEST(HttpTextTest, ConnectionHeaderCannotRemoveHost)
{
    EXPECT_EQ(endToEndHeaders({{"Connection", "host"}, {"Host", "h"}}).size(), 1U);
}

TEST(HttpTextTest, ParsesKeepAliveTimeout)
{
    EXPECT_EQ(keepAliveTimeout({{"Keep-Alive", "timeout=5, max=100"}}), Common::seconds(5));
    EXPECT_FALSE(keepAliveTimeout({{"Keep-Alive", "max=100"}}));
    EXPECT_FALSE(keepAliveTimeout({}));
}

} // namespace LaburnumChute::Relay
