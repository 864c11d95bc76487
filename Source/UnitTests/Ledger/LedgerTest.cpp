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

    /// Gives each key an order of its own, so that it is not rejected as a duplicate order.
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

    void expectRejected(const Submission &submission, RunState run, RejectionReason reason)
    {
        const auto outcome = ledger_.begin(submission, now_);
        const auto *rejected = std::get_if<Rejected>(&outcome);
        ASSERT_NE(rejected, nullptr);
        EXPECT_EQ(rejected->run, run);
        EXPECT_EQ(rejected->reason, reason);
    }

    void expectStillRunning(const IdempotencyKey &key)
    {
        EXPECT_TRUE(std::holds_alternative<StillRunning>(ledger_.begin(submission(key), now_)));
        EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Unknown);
    }

    void finish(const Attempt &attempt, const std::string &body)
    {
        ASSERT_TRUE(ledger_.finished(attempt, {200, "", body}, now_));
    }

    void advance(Common::Duration duration)
    {
        now_ += duration;
        ledger_.tick(now_);
    }

    Common::Time now_{1h};
    Ledger ledger_{options(), {Common::InstanceId("a"), 7, 99, now_}};
};

} // namespace

TEST_F(LedgerTest, ResentKeyGetsTheOutcomeOfTheFirstSubmission)
{
    const auto key = mint();
    EXPECT_EQ(ledger_.state(key, now_), KeyState::Unused);
    const auto reservation = proceed(submission(key));
    expectStillRunning(key);
    const auto sent = ledger_.dispatched(reservation, now_).value();
    expectStillRunning(key);
    finish(sent, "order 12");
    const auto outcome = ledger_.begin(submission(key), now_);
    EXPECT_EQ(std::get<ReplayAnswer>(outcome).answer->body, "order 12");
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Ran);
}

// The connection to the endpoint closes during the write, so it is not known whether the endpoint
// received the order. Sent again it could run twice; every later submission is answered "unknown".
TEST_F(LedgerTest, LostOutcomeStaysUnknownForGood)
{
    const auto key = mint();
    const auto sent = dispatch(key);
    ASSERT_TRUE(ledger_.lost(sent, now_));
    EXPECT_FALSE(ledger_.notStarted(sent, now_));
    EXPECT_FALSE(ledger_.finished(sent, {200, "", "late"}, now_));
    expectRejected(submission(key), RunState::Unknown, RejectionReason::OutcomeUnknown);
    advance(2h);
    expectRejected(submission(key), RunState::Unknown, RejectionReason::OutcomeUnknown);
}

TEST_F(LedgerTest, RequestThatNeverStartedMayBeSentAgain)
{
    const auto key = mint();
    const auto reservation = proceed(submission(key));
    const auto first = ledger_.dispatched(reservation, now_).value();
    ASSERT_TRUE(ledger_.notStarted(first, now_));
    const auto second = ledger_.dispatched(reservation, now_).value();
    ASSERT_TRUE(ledger_.notStarted(second, now_));
    ASSERT_TRUE(ledger_.abandonedBeforeDispatch(reservation, now_));
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::NotRun);
    finish(dispatch(key), "ran");
}

// A request is sent to two endpoints in turn, and the rejection by the first is reported again
// after the second has started. Attributed to the second, it would release a key whose request is
// running.
TEST_F(LedgerTest, LateReportOnAnEarlierAttemptIsIgnored)
{
    const auto key = mint();
    const auto reservation = proceed(submission(key));
    const auto first = ledger_.dispatched(reservation, now_).value();
    ASSERT_TRUE(ledger_.notStarted(first, now_));
    const auto second = ledger_.dispatched(reservation, now_).value();
    EXPECT_FALSE(ledger_.notStarted(first, now_));
    EXPECT_FALSE(ledger_.abandonedBeforeDispatch(reservation, now_));
    EXPECT_FALSE(ledger_.dispatched(reservation, now_));
    EXPECT_EQ(ledger_.state(key, now_), KeyState::Running);
    finish(second, "ran");
}

// A caller cancels and immediately resubmits under the same key, and the task of the cancelled
// submission reaches its dispatch late. Without numbered reservations both would send the order.
TEST_F(LedgerTest, ReleasedReservationCannotAffectTheNextOne)
{
    const auto key = mint();
    const auto first = proceed(submission(key));
    ASSERT_TRUE(ledger_.abandonedBeforeDispatch(first, now_));
    const auto second = proceed(submission(key));
    EXPECT_FALSE(ledger_.dispatched(first, now_));
    EXPECT_FALSE(ledger_.abandonedBeforeDispatch(first, now_));
    finish(ledger_.dispatched(second, now_).value(), "ran");
}

// The process is suspended while a request is queued and resumes minutes later. By then the caller
// has given up and ordered by other means, so the order must not run as well.
TEST_F(LedgerTest, DeadlineIsCheckedAgainRightBeforeDispatch)
{
    const auto key = mint();
    auto order = submission(key);
    order.deadline = now_ + 5s;
    const auto reservation = proceed(order);
    now_ += 3min;
    const auto sent = ledger_.dispatched(reservation, now_);
    ASSERT_FALSE(sent);
    EXPECT_EQ(sent.error().code, ErrorCode::DeadlineExceeded);
    EXPECT_FALSE(ledger_.dispatched(reservation, now_));
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::NotRun);
    EXPECT_EQ(ledger_.openCount(), 0);
}

TEST_F(LedgerTest, SameKeyWithAnotherBodyIsRejected)
{
    const auto key = mint();
    finish(dispatch(key), "answer to body 1");
    expectRejected(submission(key, 2), RunState::NotRun, RejectionReason::OtherBody);
}

TEST_F(LedgerTest, KeyOfAnotherCustomerIsRejected)
{
    auto order = submission(mint());
    order.customer = Common::CustomerName("club");
    expectRejected(order, RunState::NotRun, RejectionReason::OtherCustomer);
}

// The issue time of a key is altered and its checksum recomputed. If accepted, the key would
// outlive its record, and its order could run a second time.
TEST_F(LedgerTest, AlteredKeyIsNotAcceptedAsUnused)
{
    auto key = mint();
    key.issueOffset += 1h;
    ASSERT_TRUE(IdempotencyKey::parse(key.text()));
    expectRejected(submission(key), RunState::Unknown, RejectionReason::NotMinted);
    key = mint();
    key.sequence += 1;
    expectRejected(submission(key), RunState::Unknown, RejectionReason::NotMinted);
}

// An instance is replaced after it dispatched an order, and the caller resends the key to the
// replacement. If the replacement treated the key as unused, the order would run again.
TEST_F(LedgerTest, ReplacedInstanceClaimsNothingAboutEarlierKeys)
{
    auto key = mint();
    key.incarnation = 6;
    expectRejected(submission(key), RunState::Unknown, RejectionReason::IncarnationGone);
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Unknown);
    key.incarnation = 8;
    expectRejected(submission(key), RunState::Unknown, RejectionReason::IncarnationGone);
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

TEST_F(LedgerTest, UnusedKeyExpiresAndIsLaterForgotten)
{
    const auto key = mint();
    advance(10min - 1ms);
    EXPECT_EQ(ledger_.state(key, now_), KeyState::Unused);
    EXPECT_EQ(ledger_.remainingLifetime(key, now_), 1ms);
    advance(1ms);
    expectRejected(submission(key), RunState::NotRun, RejectionReason::Expired);
    advance(30min);
    expectRejected(submission(key), RunState::Unknown, RejectionReason::OutcomeUnknown);
}

// If the record of an order were removed as soon as its answer expires, while its key can still be
// used, a resent order would appear new and run again.
TEST_F(LedgerTest, RecordOutlivesItsKey)
{
    const auto key = mint();
    finish(dispatch(key), "ran");
    advance(40min - 1ms);
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Ran);
    advance(1ms);
    EXPECT_EQ(ledger_.recordCount(), 0);
    EXPECT_EQ(ledger_.keptAnswerBytes(), 0);
    EXPECT_EQ(ledger_.knownRunState(key, now_), RunState::Unknown);
}

// More orders are submitted than the ledger may hold records. If the oldest record were evicted,
// its key would appear unused when resent, and the order would run again.
TEST_F(LedgerTest, FullLedgerRejectsNewKeysAndKeepsLiveRecords)
{
    const auto spare = mint();
    std::vector<Attempt> sent;
    for (int i = 0; i < 4; ++i) {
        sent.push_back(dispatch(mint()));
    }
    EXPECT_EQ(ledger_.mint(Customer, now_).error().code, ErrorCode::Overloaded);
    expectRejected(submission(spare), RunState::NotRun, RejectionReason::LedgerFull);
    for (const auto &each : sent) {
        finish(each, "ran");
    }
    expectRejected(submission(spare), RunState::NotRun, RejectionReason::LedgerFull);
    advance(9min);
    EXPECT_EQ(ledger_.recordCount(), 4);
}

TEST_F(LedgerTest, OldestAnswerIsEvictedButItsRecordStays)
{
    const auto first = mint();
    finish(dispatch(first), std::string(60, 'a'));
    const auto second = mint();
    finish(dispatch(second), std::string(60, 'b'));
    expectRejected(submission(first), RunState::Ran, RejectionReason::AnswerNotKept);
    const auto kept = std::get<ReplayAnswer>(ledger_.begin(submission(second), now_));
    EXPECT_EQ(kept.answer->body, std::string(60, 'b'));
    const auto third = mint();
    finish(dispatch(third), std::string(101, 'c'));
    expectRejected(submission(third), RunState::Ran, RejectionReason::AnswerNotKept);
    EXPECT_EQ(ledger_.keptAnswerBytes(), 60);
}

// A caller gets no answer and fills in the order form again, for which a new key is fetched. Each
// key runs at most once, but the order would be carried out twice.
TEST_F(LedgerTest, SameOrderUnderANewKeyIsADuplicate)
{
    const auto first = mint();
    auto order = submission(first);
    const auto sent = ledger_.dispatched(proceed(order), now_).value();
    order.key = mint();
    const auto rejected = std::get<Rejected>(ledger_.begin(order, now_));
    EXPECT_EQ(rejected.run, RunState::NotRun);
    EXPECT_EQ(rejected.reason, RejectionReason::DuplicateOrder);
    EXPECT_EQ(rejected.earlierKey, first);
    finish(sent, "ran");
    order.duplicateIntended = true;
    proceed(order);
}

TEST_F(LedgerTest, OrderIsNoDuplicateAfterTheWindowOrWhenItDidNotRun)
{
    auto order = submission(mint());
    const auto abandoned = proceed(order);
    ASSERT_TRUE(ledger_.abandonedBeforeDispatch(abandoned, now_));
    order.key = mint();
    const auto sent = ledger_.dispatched(proceed(order), now_).value();
    finish(sent, "ran");
    advance(5min);
    order.key = mint();
    proceed(order);
}

TEST_F(LedgerTest, PeersExchangeAndWithdrawHints)
{
    Ledger peer(options(), {Common::InstanceId("b"), 3, 5, now_});
    auto order = submission(mint());
    const auto reservation = proceed(order);
    const auto exchangeHints = [&] {
        for (const auto &hint : ledger_.takeHints()) {
            peer.addPeerHint(hint, now_);
        }
    };
    exchangeHints();
    order.key = peer.mint(Customer, now_).value();
    EXPECT_EQ(std::get<Rejected>(peer.begin(order, now_)).reason, RejectionReason::DuplicateOrder);
    ASSERT_TRUE(ledger_.abandonedBeforeDispatch(reservation, now_));
    exchangeHints();
    EXPECT_TRUE(std::holds_alternative<Proceed>(peer.begin(order, now_)));
    EXPECT_TRUE(ledger_.takeHints().empty());
}

TEST_F(LedgerTest, ClosedLedgerBeginsNothingAndLetsReservationsEnd)
{
    const auto unused = mint();
    const auto used = mint();
    const auto reservation = proceed(submission(used));
    ledger_.close();
    EXPECT_EQ(ledger_.mint(Customer, now_).error().code, ErrorCode::Unavailable);
    expectRejected(submission(unused), RunState::NotRun, RejectionReason::Closing);
    EXPECT_EQ(ledger_.openCount(), 1);
    finish(ledger_.dispatched(reservation, now_).value(), "ran");
    EXPECT_EQ(ledger_.openCount(), 0);
    EXPECT_TRUE(std::holds_alternative<ReplayAnswer>(ledger_.begin(submission(used), now_)));
}

} // namespace LaburnumChute::Ledger
