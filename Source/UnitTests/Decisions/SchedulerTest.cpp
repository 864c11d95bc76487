#include <gtest/gtest.h>

#include "Support.h"

namespace LaburnumChute::Decisions {

using namespace Testing;

namespace {

TEST(SchedulerTest, ARequestGoesToAnEndpointThatServesItsModel)
{
    Harness harness;
    harness.addEngines(1);
    const auto effects = harness.submit(request("r1"));
    ASSERT_EQ(effects.size(), 1U);
    EXPECT_EQ(std::get<Dispatch>(effects.front()).endpoint, EndpointId("e0"));
}

TEST(SchedulerTest, WithoutAnEndpointTheRequestIsRejectedAsNotRun)
{
    Harness harness;
    const auto effects = harness.submit(request("r1"));
    ASSERT_EQ(effects.size(), 1U);
    const auto &rejection = std::get<Reject>(effects.front());
    EXPECT_EQ(rejection.reason, RejectReason::NoEndpoint);
    EXPECT_EQ(rejection.run, RunState::NotRun);
}

// The platform announces that an endpoint is leaving while it still responds. New requests there
// would be cut off when it goes.
TEST(SchedulerTest, ALeavingEndpointGetsNoNewWork)
{
    Harness harness;
    auto list = engines(2);
    list[0].leaving = true;
    harness.scheduler.updateEndpoints(list, harness.now);
    for (int index = 0; index < 16; ++index) {
        harness.submit(request("r" + std::to_string(index)));
    }
    EXPECT_TRUE(harness.running["e0"].empty());
    EXPECT_EQ(harness.running["e1"].size(), 8U);
}

// The caller leaves while its request is queued in a full region. If it stayed in the queue, an
// endpoint would compute a response that nobody reads while others wait.
TEST(SchedulerTest, ACancelledRequestThatWaitsIsDroppedAndNeverSent)
{
    Harness harness;
    harness.addEngines(1);
    for (int index = 0; index < 9; ++index) {
        harness.submit(request("r" + std::to_string(index)));
    }
    harness.submit(request("gone"));
    EXPECT_TRUE(has<Drop>(harness.cancel("gone")));
    for (int index = 0; index < 9; ++index) {
        harness.finish("r" + std::to_string(index));
    }
    EXPECT_EQ(harness.dispatchOrder.size(), 9U);
    EXPECT_EQ(harness.endpointOf("gone"), "");
}

// A caller replaces a request while the first one is being generated.
TEST(SchedulerTest, ASupersededRequestIsCancelledOnItsEndpoint)
{
    Harness harness;
    harness.addEngines(2);
    harness.submit(request("draft1"));
    const auto endpoint = harness.endpointOf("draft1");
    auto second = request("draft2");
    second.supersedes = RequestId("draft1");
    const auto effects = harness.submit(second);
    const auto cancels = all<CancelOnEndpoint>(effects);
    ASSERT_EQ(cancels.size(), 1U);
    EXPECT_EQ(cancels.front().endpoint, EndpointId(endpoint));
    EXPECT_TRUE(has<Dispatch>(effects));
}

TEST(SchedulerTest, AnExpiredRequestIsRejectedAsNotRun)
{
    Harness harness;
    harness.addEngines(1);
    for (int index = 0; index < 9; ++index) {
        harness.submit(request("r" + std::to_string(index)));
    }
    auto facts = request("late");
    facts.deadline = harness.now + milliseconds(200);
    harness.submit(facts);
    const auto rejections = all<Reject>(harness.tickAfter(milliseconds(200)));
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.front().request, RequestId("late"));
    EXPECT_EQ(rejections.front().run, RunState::NotRun);
}

TEST(SchedulerTest, ExplainNamesTheEndpointOfARequest)
{
    Harness harness;
    harness.addEngines(1);
    harness.submit(request("r1"));
    const auto lines = harness.scheduler.explain(RequestId("r1"));
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines.front().find("sent to e0"), std::string::npos);
    EXPECT_TRUE(harness.scheduler.explain(RequestId("never seen")).empty());
}

} // namespace

} // namespace LaburnumChute::Decisions
