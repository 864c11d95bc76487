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
        return leaving_.mint(Customer, now_).value();
    }

    Attempt dispatch(const IdempotencyKey &key)
    {
        const auto proceed = std::get<Proceed>(leaving_.begin(submission(key), now_));
        return leaving_.dispatched(proceed.reservation, now_).value();
    }

    IdempotencyKey run(const std::string &body)
    {
        auto key = mint();
        EXPECT_TRUE(leaving_.finished(dispatch(key), {200, "", body}, now_));
        return key;
    }

    void handOver()
    {
        leaving_.close();
        ASSERT_TRUE(successor_.adopt(leaving_.handOver(now_).value(), now_));
    }

    void expectRefused(const Submission &submission, RunState run, RejectionReason reason)
    {
        const auto outcome = successor_.begin(submission, now_);
        const auto *refused = std::get_if<Rejected>(&outcome);
        ASSERT_NE(refused, nullptr);
        EXPECT_EQ(refused->run, run);
        EXPECT_EQ(refused->reason, reason);
    }

    std::string replayed(const IdempotencyKey &key)
    {
        return std::get<ReplayAnswer>(successor_.begin(submission(key), now_)).answer->body;
    }

    Common::Time now_{3h};
    Ledger leaving_{options(), {Common::InstanceId("a"), 7, 99, Common::Time(1h)}};
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
    expectRefused(submission(ran, 2), RunState::NotRun, RejectionReason::OtherBody);
    expectRefused(submission(unused), RunState::NotRun, RejectionReason::Closing);
    EXPECT_EQ(successor_.knownRunState(unused, now_), RunState::NotRun);
    expectRefused(submission(running), RunState::Unknown, RejectionReason::OutcomeUnknown);
    ASSERT_TRUE(leaving_.finished(sent, {200, "", "truck 5"}, now_));
    handOver();
    EXPECT_EQ(replayed(running), "truck 5");
}

// A ledger that still begins requests hands itself over. The successor says "not run" of a key
// that is used at the old instance a moment later.
TEST_F(HandoverTest, OpenLedgerCannotBeHandedOver)
{
    EXPECT_FALSE(leaving_.handOver(now_));
}

// The leaving instance had run an order and dropped its record long ago. A key missing from the
// handover may therefore be an old one that ran.
TEST_F(HandoverTest, KeysFromBeforeTheLastRecordsAreUnknown)
{
    const auto old = run("truck 4");
    now_ += 50min;
    leaving_.tick(now_);
    ASSERT_EQ(leaving_.recordCount(), 0);
    const auto young = mint();
    handOver();
    expectRefused(submission(old), RunState::Unknown, RejectionReason::IncarnationGone);
    expectRefused(submission(young), RunState::NotRun, RejectionReason::Closing);
}

TEST_F(HandoverTest, YoungestAnswersGoFirst)
{
    const auto first = run(std::string(20, 'a'));
    const auto second = run(std::string(20, 'b'));
    handOver();
    expectRefused(submission(first), RunState::Ran, RejectionReason::AnswerNotKept);
    EXPECT_EQ(replayed(second), std::string(20, 'b'));
}

TEST_F(HandoverTest, HandoverWithoutRoomLeavesTheKeysUnknown)
{
    const auto unused = mint();
    for (int i = 0; i < 6; ++i) {
        run("");
    }
    leaving_.close();
    EXPECT_FALSE(successor_.adopt(leaving_.handOver(now_).value(), now_));
    EXPECT_EQ(successor_.knownRunState(unused, now_), RunState::Unknown);
    EXPECT_TRUE(std::holds_alternative<OwnedElsewhere>(successor_.begin(submission(unused), now_)));
}

TEST_F(HandoverTest, HandoverIsForgottenAfterTheTimeForAnswers)
{
    const auto ran = run("truck 4");
    handOver();
    now_ += options().keptAnswerTime;
    successor_.tick(now_);
    EXPECT_EQ(successor_.knownRunState(ran, now_), RunState::Unknown);
}

TEST_F(HandoverTest, AlteredKeyAndOlderHandoverAreRefused)
{
    auto altered = mint();
    leaving_.close();
    const auto first = leaving_.handOver(now_).value();
    handOver();
    EXPECT_FALSE(successor_.adopt(first, now_));
    altered.issueOffset += 1h;
    expectRefused(submission(altered), RunState::Unknown, RejectionReason::NotMinted);
}

TEST_F(HandoverTest, TravelsBetweenProcesses)
{
    const auto ran = run("truck 4");
    const auto unused = mint();
    leaving_.close();
    std::stringstream stream;
    {
        cereal::BinaryOutputArchive out(stream);
        out(leaving_.handOver(now_).value());
    }
    Handover received;
    cereal::BinaryInputArchive in(stream);
    in(received);
    ASSERT_TRUE(successor_.adopt(received, now_));
    EXPECT_EQ(replayed(ran), "truck 4");
    expectRefused(submission(unused), RunState::NotRun, RejectionReason::Closing);
}

TEST_F(HandoverTest, EveryoneFindsTheSameSuccessor)
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
