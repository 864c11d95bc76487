#include <gtest/gtest.h>

#include "Ledger/Ledger.h"

namespace LaburnumChute::Ledger {

using namespace std::chrono_literals;
using Common::ErrorCode;
using Common::RunState;

namespace {

const Common::CustomerName Customer("school");

class LedgerTest : public testing::Test
{
protected:
    static LedgerOptions options()
    {
        LedgerOptions options;
        options.keyLifetime = 10min;
        options.keptAnswerTime = 30min;
        options.maxRecords = 4;
        options.maxKeptAnswerBytes = 100;
        options.duplicateWindow = 5min;
        return options;
    }

    IdempotencyKey mint()
    {
        return ledger_.mint(Customer, now_).value();
    }

    /// Each key has an order of its own, so that the duplicate hint stays out of the way.
    static Submission submission(const IdempotencyKey &key, std::uint64_t body = 1)
    {
        return {key, Customer, body, key.sequence * 1000 + body, false, std::nullopt};
    }

    Reservation proceed(const Submission &submission)
    {
        return std::get<Proceed>(ledger_.begin(submission, now_)).reservation;
    }

    Attempt dispatch(const IdempotencyKey &key)
    {
        return ledger_.dispatched(proceed(submission(key)), now_).value();
    }

    void expectRefused(const Submission &submission, RunState run, RejectionReason reason)
    {
        const auto outcome = ledger_.begin(submission, now_);
        const auto *refused = std::get_if<Rejected>(&outcome);
        ASSERT_NE(refused, nullptr);
        EXPECT_EQ(refused->run, run);
        EXPECT_EQ(refused->reason, reason);
    }

    void expectStillRunning(const IdempotencyKey &key)
    {
        EXPECT_TRUE(std::holds_alternative<StillRunning>(ledger_.begin(submission(key), now_)));
        EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Unknown);
    }

    void finish(const Attempt &dispatch, const std::string &body)
    {
        ASSERT_TRUE(ledger_.finished(dispatch, {200, "", body}, now_));
    }

    void passTime(Common::Duration duration)
    {
        now_ += duration;
        ledger_.tick(now_);
    }

    Common::Time now_{1h};
    Ledger ledger_{options(), {Common::InstanceId("a"), 7, 99, now_}};
};

} // namespace

TEST_F(LedgerTest, RepeatedCallerIsToldWhatBecameOfTheFirstSubmission)
{
    const auto key = mint();
    EXPECT_EQ(ledger_.state(key, now_), KeyState::Unused);
    const auto attempt = proceed(submission(key));
    expectStillRunning(key);
    const auto sent = ledger_.dispatched(attempt, now_).value();
    expectStillRunning(key);
    finish(sent, "order 12");
    const auto outcome = ledger_.begin(submission(key), now_);
    EXPECT_EQ(std::get<ReplayAnswer>(outcome).answer->body, "order 12");
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Ran);
}

// The connection to the endpoint closes under the write, and nobody can say whether the order was
// taken. Sent again it could run twice; the caller is told "unknown" however often it asks.
TEST_F(LedgerTest, LostOutcomeStaysUnknownForGood)
{
    const auto key = mint();
    const auto sent = dispatch(key);
    ASSERT_TRUE(ledger_.lost(sent, now_));
    EXPECT_FALSE(ledger_.notStarted(sent, now_));
    EXPECT_FALSE(ledger_.finished(sent, {200, "", "late"}, now_));
    expectRefused(submission(key), RunState::Unknown, RejectionReason::OutcomeUnknown);
    passTime(2h);
    expectRefused(submission(key), RunState::Unknown, RejectionReason::OutcomeUnknown);
}

TEST_F(LedgerTest, RequestThatNeverStartedMayBeSentAgain)
{
    const auto key = mint();
    const auto attempt = proceed(submission(key));
    const auto first = ledger_.dispatched(attempt, now_).value();
    ASSERT_TRUE(ledger_.notStarted(first, now_));
    const auto second = ledger_.dispatched(attempt, now_).value();
    ASSERT_TRUE(ledger_.notStarted(second, now_));
    ASSERT_TRUE(ledger_.abandonedBeforeDispatch(attempt, now_));
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::NotRun);
    finish(dispatch(key), "ran");
}

// Two endpoints are tried in turn and the refusal of the first is reported once more after the
// second has begun. Taken for the second one's, it would release a key whose request is running.
TEST_F(LedgerTest, LateReportOnAnEarlierSendingTouchesNothing)
{
    const auto key = mint();
    const auto attempt = proceed(submission(key));
    const auto first = ledger_.dispatched(attempt, now_).value();
    ASSERT_TRUE(ledger_.notStarted(first, now_));
    const auto second = ledger_.dispatched(attempt, now_).value();
    EXPECT_FALSE(ledger_.notStarted(first, now_));
    EXPECT_FALSE(ledger_.abandonedBeforeDispatch(attempt, now_));
    EXPECT_FALSE(ledger_.dispatched(attempt, now_));
    EXPECT_EQ(ledger_.state(key, now_), KeyState::Running);
    finish(second, "ran");
}

// A caller cancels and at once submits again under the same key, and the cancelled submission's
// task comes to its dispatch late. Both would send the order.
TEST_F(LedgerTest, ReleasedAttemptCannotTouchTheKeyOfTheNextOne)
{
    const auto key = mint();
    const auto first = proceed(submission(key));
    ASSERT_TRUE(ledger_.abandonedBeforeDispatch(first, now_));
    const auto second = proceed(submission(key));
    EXPECT_FALSE(ledger_.dispatched(first, now_));
    EXPECT_FALSE(ledger_.abandonedBeforeDispatch(first, now_));
    finish(ledger_.dispatched(second, now_).value(), "ran");
}

// The process is stopped while a request waits in its queue and goes on minutes later. Its caller
// has given up and ordered by telephone; the truck must not leave a second time.
TEST_F(LedgerTest, DeadlineIsCheckedAgainRightBeforeDispatch)
{
    const auto key = mint();
    auto order = submission(key);
    order.deadline = now_ + 5s;
    const auto attempt = proceed(order);
    now_ += 3min;
    const auto sent = ledger_.dispatched(attempt, now_);
    ASSERT_FALSE(sent);
    EXPECT_EQ(sent.error().code, ErrorCode::DeadlineExceeded);
    EXPECT_FALSE(ledger_.dispatched(attempt, now_));
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::NotRun);
    EXPECT_EQ(ledger_.openCount(), 0);
}

TEST_F(LedgerTest, SameKeyWithAnotherBodyIsRefused)
{
    const auto key = mint();
    finish(dispatch(key), "answer to body 1");
    expectRefused(submission(key, 2), RunState::NotRun, RejectionReason::OtherBody);
}

TEST_F(LedgerTest, KeyOfAnotherCustomerIsRefused)
{
    auto order = submission(mint());
    order.customer = Common::CustomerName("club");
    expectRefused(order, RunState::NotRun, RejectionReason::OtherCustomer);
}

// Somebody changes the issue time of a key and puts a matching check behind it. The key would
// outlive its record, and its order could run a second time.
TEST_F(LedgerTest, AlteredKeyIsNotTakenForAFreshOne)
{
    auto key = mint();
    key.issueOffset += 1h;
    ASSERT_TRUE(IdempotencyKey::parse(key.text()));
    expectRefused(submission(key), RunState::Unknown, RejectionReason::NotMinted);
    key = mint();
    key.sequence += 1;
    expectRefused(submission(key), RunState::Unknown, RejectionReason::NotMinted);
}

// The instance was replaced after it had dispatched the order, and the caller resends the key to
// the replacement. A replacement that took the key for unused would run the order again.
TEST_F(LedgerTest, ReplacedInstanceClaimsNothingAboutEarlierKeys)
{
    auto key = mint();
    key.incarnation = 6;
    expectRefused(submission(key), RunState::Unknown, RejectionReason::IncarnationGone);
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Unknown);
    key.incarnation = 8;
    expectRefused(submission(key), RunState::Unknown, RejectionReason::IncarnationGone);
}

TEST_F(LedgerTest, KeyOfAnotherInstanceIsForwarded)
{
    auto key = mint();
    key.owner = Common::InstanceId("b");
    const auto outcome = ledger_.begin(submission(key), now_);
    const auto &elsewhere = std::get<OwnedElsewhere>(outcome);
    EXPECT_EQ(elsewhere.owner, key.owner);
    EXPECT_EQ(elsewhere.incarnation, key.incarnation);
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Unknown);
}

TEST_F(LedgerTest, UnusedKeyExpiresAndIsForgottenInTheEnd)
{
    const auto key = mint();
    passTime(10min - 1ms);
    EXPECT_EQ(ledger_.state(key, now_), KeyState::Unused);
    EXPECT_EQ(ledger_.remainingLifetime(key, now_), 1ms);
    passTime(1ms);
    expectRefused(submission(key), RunState::NotRun, RejectionReason::Expired);
    passTime(30min);
    expectRefused(submission(key), RunState::Unknown, RejectionReason::OutcomeUnknown);
}

// The record of an order is dropped as soon as its answer need not be kept, while its key could
// still be used: the resent order would look new and run again.
TEST_F(LedgerTest, RecordOutlivesItsKey)
{
    const auto key = mint();
    finish(dispatch(key), "ran");
    passTime(40min - 1ms);
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Ran);
    passTime(1ms);
    EXPECT_EQ(ledger_.recordCount(), 0);
    EXPECT_EQ(ledger_.keptAnswerBytes(), 0);
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Unknown);
}

// More orders are open than the memory holds records for. If the oldest made room for the newest,
// its caller's resent key would look unused and run again.
TEST_F(LedgerTest, FullMemoryRefusesNewKeysAndForgetsNoLiveOne)
{
    const auto spare = mint();
    std::vector<Attempt> sent;
    for (int i = 0; i < 4; ++i) {
        sent.push_back(dispatch(mint()));
    }
    EXPECT_EQ(ledger_.mint(Customer, now_).error().code, ErrorCode::Overloaded);
    expectRefused(submission(spare), RunState::NotRun, RejectionReason::LedgerFull);
    for (const auto &each : sent) {
        finish(each, "ran");
    }
    expectRefused(submission(spare), RunState::NotRun, RejectionReason::LedgerFull);
    passTime(9min);
    EXPECT_EQ(ledger_.recordCount(), 4);
}

TEST_F(LedgerTest, OldestAnswerMakesRoomButTheFactThatItRanStays)
{
    const auto first = mint();
    finish(dispatch(first), std::string(60, 'a'));
    const auto second = mint();
    finish(dispatch(second), std::string(60, 'b'));
    expectRefused(submission(first), RunState::Ran, RejectionReason::AnswerNotKept);
    const auto kept = std::get<ReplayAnswer>(ledger_.begin(submission(second), now_));
    EXPECT_EQ(kept.answer->body, std::string(60, 'b'));
    const auto third = mint();
    finish(dispatch(third), std::string(101, 'c'));
    expectRefused(submission(third), RunState::Ran, RejectionReason::AnswerNotKept);
    EXPECT_EQ(ledger_.keptAnswerBytes(), 60);
}

// A school's office gets no answer and fills in the order form once more; the form fetches a new
// key. Each key runs at most once and the medals are cut twice.
TEST_F(LedgerTest, SameOrderUnderANewKeyIsAskedAbout)
{
    const auto first = mint();
    auto order = submission(first);
    const auto sent = ledger_.dispatched(proceed(order), now_).value();
    order.key = mint();
    const auto refused = std::get<Rejected>(ledger_.begin(order, now_));
    EXPECT_EQ(refused.run, RunState::NotRun);
    EXPECT_EQ(refused.reason, RejectionReason::DuplicateOrder);
    EXPECT_EQ(refused.earlierKey, first);
    finish(sent, "ran");
    order.duplicateIntended = true;
    proceed(order);
}

TEST_F(LedgerTest, OrderIsNotAskedAboutAfterTheWindowOrWhenItDidNotRun)
{
    auto order = submission(mint());
    const auto abandoned = proceed(order);
    ASSERT_TRUE(ledger_.abandonedBeforeDispatch(abandoned, now_));
    order.key = mint();
    const auto sent = ledger_.dispatched(proceed(order), now_).value();
    finish(sent, "ran");
    passTime(5min);
    order.key = mint();
    proceed(order);
}

TEST_F(LedgerTest, PeersTellAndWithdrawOrders)
{
    Ledger peer(options(), {Common::InstanceId("b"), 3, 5, now_});
    auto order = submission(mint());
    const auto attempt = proceed(order);
    const auto exchangeHints = [&] {
        for (const auto &hint : ledger_.takeHints()) {
            peer.addPeerHint(hint, now_);
        }
    };
    exchangeHints();
    order.key = peer.mint(Customer, now_).value();
    EXPECT_EQ(std::get<Rejected>(peer.begin(order, now_)).reason, RejectionReason::DuplicateOrder);
    ASSERT_TRUE(ledger_.abandonedBeforeDispatch(attempt, now_));
    exchangeHints();
    EXPECT_TRUE(std::holds_alternative<Proceed>(peer.begin(order, now_)));
    EXPECT_TRUE(ledger_.takeHints().empty());
}

TEST_F(LedgerTest, ClosedLedgerBeginsNothingAndLetsAttemptsEnd)
{
    const auto unused = mint();
    const auto used = mint();
    const auto attempt = proceed(submission(used));
    ledger_.close();
    EXPECT_EQ(ledger_.mint(Customer, now_).error().code, ErrorCode::Unavailable);
    expectRefused(submission(unused), RunState::NotRun, RejectionReason::Closing);
    EXPECT_EQ(ledger_.openCount(), 1);
    finish(ledger_.dispatched(attempt, now_).value(), "ran");
    EXPECT_EQ(ledger_.openCount(), 0);
    EXPECT_TRUE(std::holds_alternative<ReplayAnswer>(ledger_.begin(submission(used), now_)));
}

} // namespace LaburnumChute::Ledger
