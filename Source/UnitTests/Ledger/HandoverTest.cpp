#include <sstream>

#include <cereal/archives/binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <gtest/gtest.h>

#include "Ledger/Ledger.h"

namespace LaburnumChute::Ledger {

using namespace std::chrono_literals;
using Common::RunState;

namespace {

const Common::CustomerName Customer("depot");

class HandoverTest : public testing::Test
{
protected:
    static LedgerOptions options()
    {
        LedgerOptions options;
        options.maxHandoverAnswerBytes = 30;
        options.maxAdoptedRecords = 5;
        return options;
    }

    static Submission submission(const IdempotencyKey &key, std::uint64_t body = 1)
    {
        return {key, Customer, body, key.sequence, false, std::nullopt};
    }

    IdempotencyKey mint()
    {
        return closing_.mint(Customer, now_).value();
    }

    Attempt dispatch(const IdempotencyKey &key)
    {
        const auto proceed = std::get<Proceed>(closing_.begin(submission(key), now_));
        return closing_.dispatched(proceed.reservation, now_).value();
    }

    IdempotencyKey run(const std::string &body)
    {
        auto key = mint();
        EXPECT_TRUE(closing_.finished(dispatch(key), {200, "", body}, now_));
        return key;
    }

    void handOver()
    {
        closing_.close();
        ASSERT_TRUE(successor_.adopt(closing_.handOver(now_).value(), now_));
    }

    void expectRejected(const Submission &submission, RunState run, RejectionReason reason)
    {
        const auto outcome = successor_.begin(submission, now_);
        const auto *rejected = std::get_if<Rejected>(&outcome);
        ASSERT_NE(rejected, nullptr);
        EXPECT_EQ(rejected->run, run);
        EXPECT_EQ(rejected->reason, reason);
    }

    std::string replayed(const IdempotencyKey &key)
    {
        return std::get<ReplayAnswer>(successor_.begin(submission(key), now_)).answer->body;
    }

    Common::Time now_{3h};
    Ledger closing_{options(), {Common::InstanceId("a"), 7, 99, Common::Time(1h)}};
    Ledger successor_{options(), {Common::InstanceId("b"), 3, 11, Common::Time(2h)}};
};

} // namespace

TEST_F(HandoverTest, SuccessorAnswersForTheKeysOfTheInstanceThatLeft)
{
    const auto unused = mint();
    const auto ran = run("truck 4");
    const auto running = mint();
    const auto sent = dispatch(running);
    handOver();
    EXPECT_EQ(replayed(ran), "truck 4");
    expectRejected(submission(ran, 2), RunState::NotRun, RejectionReason::OtherBody);
    expectRejected(submission(unused), RunState::NotRun, RejectionReason::Closing);
    EXPECT_EQ(successor_.knownRunState(unused, now_), RunState::NotRun);
    expectRejected(submission(running), RunState::Unknown, RejectionReason::OutcomeUnknown);
    ASSERT_TRUE(closing_.finished(sent, {200, "", "truck 5"}, now_));
    handOver();
    EXPECT_EQ(replayed(running), "truck 5");
}

// If a ledger that still begins requests could be handed over, the successor would report "not run"
// for a key that is then used at the old instance.
TEST_F(HandoverTest, OpenLedgerCannotBeHandedOver)
{
    EXPECT_FALSE(closing_.handOver(now_));
}

// The closing instance ran an order and has removed its record since. A key that is missing from
// the handover may therefore have run.
TEST_F(HandoverTest, KeysOlderThanTheRetentionTimeAreUnknown)
{
    const auto old = run("truck 4");
    now_ += 50min;
    closing_.tick(now_);
    ASSERT_EQ(closing_.recordCount(), 0);
    const auto young = mint();
    handOver();
    expectRejected(submission(old), RunState::Unknown, RejectionReason::IncarnationGone);
    expectRejected(submission(young), RunState::NotRun, RejectionReason::Closing);
}

TEST_F(HandoverTest, NewestAnswersAreHandedOverFirst)
{
    const auto first = run(std::string(20, 'a'));
    const auto second = run(std::string(20, 'b'));
    handOver();
    expectRejected(submission(first), RunState::Ran, RejectionReason::AnswerNotKept);
    EXPECT_EQ(replayed(second), std::string(20, 'b'));
}

TEST_F(HandoverTest, HandoverBeyondTheLimitLeavesTheKeysUnknown)
{
    const auto unused = mint();
    for (int i = 0; i < 6; ++i) {
        run("");
    }
    closing_.close();
    EXPECT_FALSE(successor_.adopt(closing_.handOver(now_).value(), now_));
    EXPECT_EQ(successor_.knownRunState(unused, now_), RunState::Unknown);
    EXPECT_TRUE(std::holds_alternative<OwnedElsewhere>(successor_.begin(submission(unused), now_)));
}

TEST_F(HandoverTest, HandoverIsRemovedAfterTheRetentionTime)
{
    const auto ran = run("truck 4");
    handOver();
    now_ += options().keptAnswerTime;
    successor_.tick(now_);
    EXPECT_EQ(successor_.knownRunState(ran, now_), RunState::Unknown);
}

TEST_F(HandoverTest, AlteredKeyAndOlderHandoverAreRejected)
{
    auto altered = mint();
    closing_.close();
    const auto first = closing_.handOver(now_).value();
    handOver();
    EXPECT_FALSE(successor_.adopt(first, now_));
    altered.issueOffset += 1h;
    expectRejected(submission(altered), RunState::Unknown, RejectionReason::NotMinted);
}

TEST_F(HandoverTest, SurvivesSerialization)
{
    const auto ran = run("truck 4");
    const auto unused = mint();
    closing_.close();
    std::stringstream stream;
    {
        cereal::BinaryOutputArchive out(stream);
        out(closing_.handOver(now_).value());
    }
    Handover received;
    cereal::BinaryInputArchive in(stream);
    in(received);
    ASSERT_TRUE(successor_.adopt(received, now_));
    EXPECT_EQ(replayed(ran), "truck 4");
    expectRejected(submission(unused), RunState::NotRun, RejectionReason::Closing);
}

TEST_F(HandoverTest, AllInstancesSelectTheSameSuccessor)
{
    const Common::InstanceId a("a");
    const Common::InstanceId b("b");
    const Common::InstanceId c("c");
    const auto successor = successorOf(a, 7, {a, b, c});
    ASSERT_TRUE(successor);
    EXPECT_NE(*successor, a);
    EXPECT_EQ(successorOf(a, 7, {c, b}), successor);
    EXPECT_EQ(successorOf(a, 7, {a}), std::nullopt);
}

} // namespace LaburnumChute::Ledger
