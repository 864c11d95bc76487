#include <gtest/gtest.h>

#include "Decisions/Decisions.h"

namespace LaburnumChute::Decisions {

namespace {

const RegionName Sapporo("sapporo");
const Target Inscription = Target::model(ModelName("inscription"));

EndpointFacts engine(const std::string &id)
{
    return {EndpointId(id), {Inscription}, {}, Sapporo, FailureDomainName("a"), false};
}

RequestFacts request(const std::string &id)
{
    RequestFacts facts;
    facts.id = RequestId(id);
    facts.target = Inscription;
    facts.allowedRegions = {Sapporo};
    facts.promptTokens = 100;
    facts.expectedOutputTokens = 50;
    return facts;
}

class SchedulerTest : public testing::Test
{
protected:
    SchedulerTest()
        : scheduler_({}, InstanceId("i1"), Sapporo, 1)
    {
    }

    Scheduler scheduler_;
    Time now_{};
};

TEST_F(SchedulerTest, ARequestGoesToAnEndpointThatServesItsModel)
{
    scheduler_.updateEndpoints({engine("e1")}, now_);
    const auto effects = scheduler_.submit(request("r1"), now_);
    ASSERT_EQ(effects.size(), 1U);
    EXPECT_EQ(std::get<Dispatch>(effects.front()).endpoint, EndpointId("e1"));
}

TEST_F(SchedulerTest, WithoutAnEndpointTheRequestIsRefusedAsNotRun)
{
    const auto effects = scheduler_.submit(request("r1"), now_);
    ASSERT_EQ(effects.size(), 1U);
    const auto &refusal = std::get<Refuse>(effects.front());
    EXPECT_EQ(refusal.reason, RefusalReason::NoEndpoint);
    EXPECT_EQ(refusal.run, RunState::NotRun);
}

} // namespace

} // namespace LaburnumChute::Decisions
