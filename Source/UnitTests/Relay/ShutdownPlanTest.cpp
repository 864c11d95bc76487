#include <gtest/gtest.h>

#include "Relay/ShutdownPlan.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;
using Common::Time;

constexpr milliseconds Bound{8000};
/// Longest time for which callers wait for an at-most-once request.
constexpr milliseconds LongestRequest{5000};

ShutdownStep stepAfter(milliseconds time, std::size_t requests, std::size_t connections)
{
    return ShutdownPlan(Time(), Bound).step(requests, connections, Time() + time);
}

// Callers that have not queried the directory again keep sending requests to a stopping instance.
// For 2 s it serves them normally.
TEST(ShutdownPlanTest, ServesNormallyAtFirst)
{
    const auto step = stepAfter(milliseconds(2000), 0, 0);
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
            EXPECT_TRUE(stepAfter(time, 1, 1).rejectRequests) << time.count();
        }
    }
}

// The last request has been answered, but its caller is still sending on that connection. If the
// process exited now, the connection would be reset and the response in transit lost.
TEST(ShutdownPlanTest, WaitsForConnectionsToClose)
{
    EXPECT_FALSE(stepAfter(milliseconds(3300), 0, 1).end);
    EXPECT_FALSE(stepAfter(milliseconds(4800), 0, 1).end);
    EXPECT_TRUE(stepAfter(milliseconds(3300), 0, 0).end);
}

// A caller that never closes its connection must not prevent the process from exiting.
TEST(ShutdownPlanTest, ExitsDespiteAConnectionThatStaysOpen)
{
    EXPECT_TRUE(stepAfter(milliseconds(5000), 0, 1).end);
}

// A request that exceeds the shutdown time limit is cut off by the process itself, so that the log
// contains it.
TEST(ShutdownPlanTest, ExitsBeforeItIsKilled)
{
    EXPECT_FALSE(stepAfter(milliseconds(7600), 1, 1).end);
    EXPECT_TRUE(stepAfter(milliseconds(7900), 1, 1).end);
}

} // namespace

} // namespace LaburnumChute::Relay
