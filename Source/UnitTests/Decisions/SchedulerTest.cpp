#include <gtest/gtest.h>

#include "Support.h"

namespace LaburnumChute::Decisions {

using namespace Testing;

namespace {

TEST(SchedulerTest, ARequestGoesToAnEndpointThatServesItsModel)
{
    World world;
    world.addEngines(1);
    const auto effects = world.submit(request("r1"));
    ASSERT_EQ(effects.size(), 1U);
    EXPECT_EQ(std::get<Dispatch>(effects.front()).endpoint, EndpointId("e0"));
}

TEST(SchedulerTest, WithoutAnEndpointTheRequestIsRefusedAsNotRun)
{
    World world;
    const auto effects = world.submit(request("r1"));
    ASSERT_EQ(effects.size(), 1U);
    const auto &refusal = std::get<Reject>(effects.front());
    EXPECT_EQ(refusal.reason, RejectReason::NoEndpoint);
    EXPECT_EQ(refusal.run, RunState::NotRun);
}

// The platform announces that an endpoint leaves while it still answers. New work sent there would
// be cut off when it goes; the caller sees a broken answer.
TEST(SchedulerTest, ALeavingEndpointGetsNoNewWork)
{
    World world;
    auto list = engines(2);
    list[0].leaving = true;
    world.scheduler.updateEndpoints(list, world.now);
    for (int index = 0; index < 16; ++index) {
        world.submit(request("r" + std::to_string(index)));
    }
    EXPECT_TRUE(world.on["e0"].empty());
    EXPECT_EQ(world.on["e1"].size(), 8U);
}

// The caller hangs up while its request waits in a full region. If it stayed in the queue, an
// endpoint would compute an answer for nobody while others wait.
TEST(SchedulerTest, ACancelledRequestThatWaitsIsDroppedAndNeverSent)
{
    World world;
    world.addEngines(1);
    for (int index = 0; index < 9; ++index) {
        world.submit(request("r" + std::to_string(index)));
    }
    world.submit(request("gone"));
    EXPECT_TRUE(has<Drop>(world.cancel("gone")));
    for (int index = 0; index < 9; ++index) {
        world.finish("r" + std::to_string(index));
    }
    EXPECT_EQ(world.order.size(), 9U);
    EXPECT_EQ(world.endpointOf("gone"), "");
}

// A clerk retypes a draft while the first one is being generated.
TEST(SchedulerTest, ASupersededRequestIsCancelledOnItsEndpoint)
{
    World world;
    world.addEngines(2);
    world.submit(request("draft1"));
    const auto endpoint = world.endpointOf("draft1");
    auto second = request("draft2");
    second.supersedes = RequestId("draft1");
    const auto effects = world.submit(second);
    const auto cancels = all<CancelOnEndpoint>(effects);
    ASSERT_EQ(cancels.size(), 1U);
    EXPECT_EQ(cancels.front().endpoint, EndpointId(endpoint));
    EXPECT_TRUE(has<Dispatch>(effects));
}

TEST(SchedulerTest, AnExpiredRequestIsRefusedAsNotRun)
{
    World world;
    world.addEngines(1);
    for (int index = 0; index < 9; ++index) {
        world.submit(request("r" + std::to_string(index)));
    }
    auto facts = request("late");
    facts.deadline = world.now + milliseconds(200);
    world.submit(facts);
    const auto refusals = all<Reject>(world.tickAfter(milliseconds(200)));
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().request, RequestId("late"));
    EXPECT_EQ(refusals.front().run, RunState::NotRun);
}

TEST(SchedulerTest, ExplainTellsWhereARequestWent)
{
    World world;
    world.addEngines(1);
    world.submit(request("r1"));
    const auto lines = world.scheduler.explain(RequestId("r1"));
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines.front().find("sent to e0"), std::string::npos);
    EXPECT_TRUE(world.scheduler.explain(RequestId("never seen")).empty());
}

} // namespace

} // namespace LaburnumChute::Decisions
