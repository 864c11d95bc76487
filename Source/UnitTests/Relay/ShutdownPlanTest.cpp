#include <gtest/gtest.h>

#include "Relay/ShutdownPlan.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;
using Common::Time;

constexpr milliseconds Bound{8000};
/// Longest time for which callers of the sites wait for an order.
constexpr milliseconds LongestRequest{5000};

ShutdownStep stepAfter(milliseconds time, std::size_t requests, std::size_t connections)
{
    return ShutdownPlan(Time(), Bound).step(requests, connections, Time() + time);
}

// An instance is told to stop while callers that have not asked the directory again go on sending
// to it. For two seconds they notice nothing.
TEST(ShutdownPlanTest, ServesNormallyAtFirst)
{
    const auto step = stepAfter(milliseconds(2000), 0, 0);
    EXPECT_FALSE(step.closeConnections);
    EXPECT_FALSE(step.rejectRequests);
    EXPECT_FALSE(step.rejectConnections);
    EXPECT_FALSE(step.end);
}

// A caller sends a request three seconds after the instance was told to stop, and its answer takes
// five seconds. Were it taken, it would be cut off as the process is ended by force: the caller
// loses an answer that another instance could have given. So no request is taken that may not end
// in time.
TEST(ShutdownPlanTest, RejectsRequestsThatMayNotEndInTime)
{
    for (milliseconds time(0); time < Bound; time += milliseconds(10)) {
        const bool endsInTime = time + LongestRequest <= Bound;
        if (!endsInTime) {
            EXPECT_TRUE(stepAfter(time, 1, 1).rejectRequests) << time.count();
        }
    }
}

// The last request has been answered, and its caller is still sending on that connection. A process
// that ended now would reset the connection, and the caller would lose the answer that is on its
// way.
TEST(ShutdownPlanTest, WaitsForConnectionsToClose)
{
    EXPECT_FALSE(stepAfter(milliseconds(3300), 0, 1).end);
    EXPECT_FALSE(stepAfter(milliseconds(4800), 0, 1).end);
    EXPECT_TRUE(stepAfter(milliseconds(3300), 0, 0).end);
}

// A caller that never closes its connection does not keep the process.
TEST(ShutdownPlanTest, ExitsDespiteAConnectionThatStaysOpen)
{
    EXPECT_TRUE(stepAfter(milliseconds(5000), 0, 1).end);
}

// A request that takes longer than the time to stop is cut off by the process itself, so that its
// log tells of it.
TEST(ShutdownPlanTest, ExitsBeforeItIsKilled)
{
    EXPECT_FALSE(stepAfter(milliseconds(7600), 1, 1).end);
    EXPECT_TRUE(stepAfter(milliseconds(7900), 1, 1).end);
}

} // namespace

} // namespace LaburnumChute::Relay
