#include <gtest/gtest.h>

#include "Relay/StartupQueue.h"

namespace LaburnumChute::Relay {

namespace {

EarlyRequest earlyRequest(const std::string &target, Common::Time receivedAt,
                          std::size_t bodyBytes = 10)
{
    EarlyRequest early;
    early.request.target = target;
    early.request.body = std::make_shared<const std::string>(bodyBytes, 'x');
    early.receivedAt = receivedAt;
    return early;
}

constexpr Common::Time Start{Common::seconds(100)};

} // namespace

// After a restart of all processes, callers that are rejected in the first 300 ms lose their
// objective, although the configuration is about to arrive.
TEST(StartupQueueTest, RequestsAreKeptInOrderUntilTheConfigurationIsKnown)
{
    StartupQueue queue;
    for (int index = 0; index < 3; ++index) {
        auto early = earlyRequest(std::to_string(index), Start + Common::milliseconds(index));
        EXPECT_TRUE(queue.add(early));
    }
    EXPECT_TRUE(queue.takeExpired(Start + Common::milliseconds(300)).empty());
    const auto all = queue.takeAll();
    ASSERT_EQ(all.size(), 3U);
    EXPECT_EQ(all[0].request.target, "0");
    EXPECT_EQ(all[2].request.target, "2");
    EXPECT_EQ(queue.size(), 0U);
}

// Without a bound, callers would wait until their deadline while the store is unreachable.
TEST(StartupQueueTest, RequestsThatWaitedTooLongAreReturned)
{
    StartupQueue queue;
    auto first = earlyRequest("first", Start);
    auto second = earlyRequest("second", Start + Common::milliseconds(500));
    queue.add(first);
    queue.add(second);
    const auto expired = queue.takeExpired(Start + Common::milliseconds(700));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].request.target, "first");
    EXPECT_EQ(queue.size(), 1U);
}

TEST(StartupQueueTest, NumberAndBodiesAreBounded)
{
    StartupQueue bodies;
    auto large = earlyRequest("large", Start, 5u << 20);
    auto another = earlyRequest("another", Start, 5u << 20);
    EXPECT_TRUE(bodies.add(large));
    EXPECT_FALSE(bodies.add(another));
    EXPECT_EQ(another.request.target, "another") << "a request that is not taken stays unchanged";
    StartupQueue queue;
    for (int index = 0; index < 10000; ++index) {
        auto early = earlyRequest("x", Start);
        queue.add(early);
    }
    EXPECT_LE(queue.size(), 1000U);
}

} // namespace LaburnumChute::Relay
