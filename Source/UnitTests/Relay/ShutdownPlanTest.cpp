#include <gtest/gtest.h>

#include "Relay/ShutdownPlan.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;
using Common::Time;

constexpr milliseconds Bound{8000};
constexpr milliseconds ShortBound{3000};
/// Longest time for which callers wait for an at-most-once request.
constexpr milliseconds LongestRequest{5000};
/// The least time that the last bytes of a response need.
constexpr milliseconds DeliveryTime{100};

ShutdownStep stepAfter(milliseconds time, const OpenWork &work)
{
    return ShutdownPlan(Time(), Bound).step(work, Time() + time);
}

// Callers that have not queried the directory again keep sending requests to a stopping instance.
// For 2 s it serves them normally.
TEST(ShutdownPlanTest, ServesNormallyAtFirst)
{
    const auto step = stepAfter(milliseconds(2000), {});
    EXPECT_FALSE(step.closeConnections);
    EXPECT_FALSE(step.rejectRequests);
    EXPECT_FALSE(step.rejectConnections);
    EXPECT_FALSE(step.end);
}

// A request that arrives 3 s after the stop request and takes 5 s would be cut off when the process
// is killed, although another instance could have served it. Requests that may not end in time must
// be rejected.
TEST(ShutdownPlanTest, RejectsRequestsThatMayNotEndInTime)
{
    for (milliseconds time(0); time < Bound; time += milliseconds(10)) {
        const bool endsInTime = time + LongestRequest <= Bound;
        if (!endsInTime) {
            EXPECT_TRUE(stepAfter(time, {1, 1, 0}).rejectRequests) << time.count();
        }
    }
}

// Guards against requests that are passed on shortly before they are cut off: they may have run,
// and their callers cannot send them again.
TEST(ShutdownPlanTest, SendsNoRequestThatMayNotEndInTime)
{
    EXPECT_FALSE(stepAfter(milliseconds(3000), {1, 1, 0}).endWaiting);
    EXPECT_TRUE(stepAfter(milliseconds(6000), {1, 1, 0}).endWaiting);
}

// Guards against a bound that is shorter than the usual one and leaves no time for what was
// accepted.
TEST(ShutdownPlanTest, StepsFollowAShorterBound)
{
    const auto step = [](milliseconds time) {
        return ShutdownPlan(Time(), ShortBound).step({1, 1, 0}, Time() + time);
    };
    EXPECT_FALSE(step(milliseconds(500)).closeConnections);
    EXPECT_TRUE(step(milliseconds(1200)).rejectRequests);
    EXPECT_FALSE(step(milliseconds(1200)).endWaiting);
    EXPECT_TRUE(step(milliseconds(2000)).endWaiting);
    EXPECT_FALSE(step(milliseconds(2000)).endRequests);
}

// Guards against an exit while bytes of a response are on their way, however late it ended.
TEST(ShutdownPlanTest, WaitsForDeliveries)
{
    for (const int after : {3300, 4800, 5000, 6000, 7600}) {
        const milliseconds time(after);
        EXPECT_FALSE(stepAfter(time, {0, 1, 0}).end) << time.count();
        EXPECT_FALSE(stepAfter(time, {0, 0, 1}).end) << time.count();
        EXPECT_FALSE(stepAfter(time, {1, 0, 0}).end) << time.count();
        EXPECT_TRUE(stepAfter(time, {}).end) << time.count();
        EXPECT_FALSE(stepAfter(time, {}).timeLimitReached) << time.count();
    }
}

// Guards against requests that are cut off by the kill, without an answer and without a log line.
TEST(ShutdownPlanTest, EndsRequestsAndExitsBeforeItIsKilled)
{
    EXPECT_FALSE(stepAfter(milliseconds(7400), {1, 1, 1}).endRequests);
    EXPECT_FALSE(stepAfter(milliseconds(7600), {1, 1, 1}).end);
    const auto last = stepAfter(milliseconds(7900), {1, 1, 1});
    EXPECT_TRUE(last.end);
    EXPECT_TRUE(last.timeLimitReached);
    milliseconds ended(0);
    while (!stepAfter(ended, {1, 1, 1}).endRequests) {
        ended += milliseconds(10);
    }
    EXPECT_FALSE(stepAfter(ended + DeliveryTime, {1, 1, 1}).end);
}

} // namespace

} // namespace LaburnumChute::Relay
