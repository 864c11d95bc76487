#include <gtest/gtest.h>

#include "OneShotServer.h"
#include "Readers/Readers.h"

namespace LaburnumChute::Readers {

namespace {

using AfterResponse = OneShotServer::AfterResponse;

Common::Result<std::optional<PublishedVersion>> readVersion(const std::string &response)
{
    OneShotServer server(response, AfterResponse::Close);
    const ConfigurationReader reader(server.address());
    return runUntilComplete(reader.read(6, Common::milliseconds(10)));
}

TEST(ReadersTest, ConfigurationReaderRequestsVersionsAfterTheGivenNumber)
{
    OneShotServer server(httpResponse("200 OK", R"({"number": 7, "content": {"schema": 1}})"),
                         AfterResponse::Close);
    const ConfigurationReader reader(server.address());
    const auto version = runUntilComplete(reader.read(6, Common::milliseconds(10)));
    ASSERT_TRUE(version && *version);
    EXPECT_EQ((*version)->number, 7U);
    EXPECT_EQ((*version)->content, R"({"schema":1})");
    EXPECT_EQ(server.requestLine(), "GET /v1/configuration?after=6&wait_ms=10 HTTP/1.1");
}

TEST(ReadersTest, NotModifiedIsAnEmptyResult)
{
    const auto version = readVersion("HTTP/1.1 304 Not Modified\r\n\r\n");
    ASSERT_TRUE(version);
    EXPECT_FALSE(*version);
}

TEST(ReadersTest, ResponsesWithoutAVersionAreErrors)
{
    for (const auto *body : {"", "[]", "{}", R"({"number": 7})", R"({"number": -7, "content": 1})",
                             R"({"number": "7", "content": 1})"}) {
        EXPECT_FALSE(readVersion(httpResponse("200 OK", body))) << body;
    }
    EXPECT_FALSE(readVersion(httpResponse("500 Oh", R"({"number": 7, "content": {}})")));
}

TEST(ReadersTest, ParsesWeightStoreLimits)
{
    OneShotServer server(
        httpResponse("200 OK", R"({"loads_per_minute": 6, "megabits_per_second": 140})"),
        AfterResponse::Close);
    const auto limits = runUntilComplete(WeightStoreReader(server.address()).readLimits());
    ASSERT_TRUE(limits);
    EXPECT_EQ(limits->loadsPerMinute, 6);
    EXPECT_EQ(limits->megabitsPerSecond, 140);
}

TEST(ReadersTest, InvalidWeightStoreLimitsAreErrors)
{
    // A limit of zero or less would block all weight loads for good or divide by zero in the
    // pacing.
    for (const auto *body :
         {"[]", "{}", R"({"loads_per_minute": 0, "megabits_per_second": 140})",
          R"({"loads_per_minute": "6", "megabits_per_second": 140})", R"({"loads_per_minute": 6})",
          R"({"loads_per_minute": 6, "megabits_per_second": -1})"}) {
        OneShotServer server(httpResponse("200 OK", body), AfterResponse::Close);
        EXPECT_FALSE(runUntilComplete(WeightStoreReader(server.address()).readLimits())) << body;
    }
}

} // namespace

} // namespace LaburnumChute::Readers
