#include <gtest/gtest.h>

#include "Common/RunPermit.h"

namespace LaburnumChute::Common {

// Guards against an order that is sent again after any end that does not prove that it has not run.
TEST(RunPermitTest, OnlyProofReturnsThePermitOfARequestThatIsNotRepeatable)
{
    for (const auto state : {RunState::NotRun, RunState::Ran, RunState::Unknown}) {
        RunPermit permit(false);
        ASSERT_TRUE(permit.take());
        EXPECT_TRUE(permit.mayHaveRun()) << toString(state);
        permit.end(state);
        EXPECT_EQ(permit.mayHaveRun(), state != RunState::NotRun) << toString(state);
        EXPECT_EQ(permit.take(), state == RunState::NotRun) << toString(state);
    }
}

// Guards against two attempts at the same time.
TEST(RunPermitTest, OneAttemptHoldsThePermit)
{
    for (const bool repeatable : {false, true}) {
        RunPermit permit(repeatable);
        ASSERT_TRUE(permit.take());
        EXPECT_FALSE(permit.take());
        permit.end(RunState::NotRun);
        EXPECT_TRUE(permit.take());
    }
}

// Guards against a refusal "not run" of a request of which an earlier attempt has run.
TEST(RunPermitTest, ALaterProofDoesNotCoverAnEarlierAttempt)
{
    RunPermit permit(true);
    ASSERT_TRUE(permit.take());
    permit.end(RunState::Unknown);
    ASSERT_TRUE(permit.take());
    permit.end(RunState::NotRun);
    EXPECT_TRUE(permit.mayHaveRun());
}

// Guards against a permit that is lost by an attempt that never reached a connection.
TEST(RunPermitTest, AnAttemptWithoutThePermitLeavesItAsItIs)
{
    RunPermit permit(false);
    permit.end(RunState::Unknown);
    EXPECT_FALSE(permit.mayHaveRun());
    EXPECT_TRUE(permit.take());
}

} // namespace LaburnumChute::Common
