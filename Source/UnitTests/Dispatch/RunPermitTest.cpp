#include <gtest/gtest.h>

#include "Dispatch/RunPermit.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr AttemptOutcome AllOutcomes[] = {
    AttemptOutcome::Completed,    AttemptOutcome::Answered, AttemptOutcome::Cancelled,
    AttemptOutcome::NotConnected, AttemptOutcome::Refused,  AttemptOutcome::Withheld,
    AttemptOutcome::NotRun,       AttemptOutcome::Replaced, AttemptOutcome::Error,
    AttemptOutcome::Broken,       AttemptOutcome::Invalid,  AttemptOutcome::Silent};

} // namespace

// Guards against an order that is sent again after any end that does not prove that it has not run.
TEST(RunPermitTest, OnlyProofReturnsThePermitOfARequestThatIsNotRepeatable)
{
    for (const auto outcome : AllOutcomes) {
        RunPermit permit(false);
        ASSERT_TRUE(permit.take());
        EXPECT_TRUE(permit.mayHaveRun()) << toString(outcome);
        permit.end(outcome);
        EXPECT_EQ(permit.mayHaveRun(), !isNotRun(outcome)) << toString(outcome);
        EXPECT_EQ(permit.take(), isNotRun(outcome)) << toString(outcome);
    }
}

// Guards against two attempts at the same time.
TEST(RunPermitTest, OneAttemptHoldsThePermit)
{
    for (const bool repeatable : {false, true}) {
        RunPermit permit(repeatable);
        ASSERT_TRUE(permit.take());
        EXPECT_FALSE(permit.take());
        permit.end(AttemptOutcome::NotRun);
        EXPECT_TRUE(permit.take());
    }
}

// Guards against a refusal "not run" of a request of which an earlier attempt has run.
TEST(RunPermitTest, ALaterProofDoesNotCoverAnEarlierAttempt)
{
    RunPermit permit(true);
    ASSERT_TRUE(permit.take());
    permit.end(AttemptOutcome::Broken);
    ASSERT_TRUE(permit.take());
    permit.end(AttemptOutcome::NotRun);
    EXPECT_TRUE(permit.mayHaveRun());
}

// Guards against a permit that is lost by an attempt that never reached a connection.
TEST(RunPermitTest, AnAttemptWithoutThePermitLeavesItAsItIs)
{
    RunPermit permit(false);
    permit.end(AttemptOutcome::Cancelled);
    EXPECT_FALSE(permit.mayHaveRun());
    EXPECT_TRUE(permit.take());
}

} // namespace LaburnumChute::Dispatch
