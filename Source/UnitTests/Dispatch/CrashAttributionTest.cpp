#include "Support.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr std::uint64_t Suspect = 4711;
constexpr std::uint64_t Bystander = 4712;

std::vector<SuspectKey> keys(std::uint64_t fingerprint)
{
    return {{SuspectKind::Request, fingerprint}};
}

std::vector<SuspectReport> reportsOf(CrashAttribution &crashes, Time now)
{
    return crashes.reports(CrashAttribution::Audience::OwnRegion, now);
}

bool rejects(const CrashAttribution &crashes, std::uint64_t fingerprint, Time now)
{
    return crashes.rejection(keys(fingerprint), false, now).has_value();
}

class CrashAttributionTest : public testing::Test
{
protected:
    void breakOn(RunId run, std::uint64_t fingerprint = Suspect)
    {
        crashes_.broke(EndpointId(std::to_string(run)), run, keys(fingerprint), now_);
    }
    bool rejected(std::uint64_t fingerprint = Suspect) const
    {
        return rejects(crashes_, fingerprint, now_);
    }
    void pass(milliseconds time)
    {
        now_ += time;
        crashes_.expire(now_);
    }

    Duration rejectedFor(std::uint64_t fingerprint) const
    {
        return crashes_.rejection(keys(fingerprint), false, now_)->retryAfter;
    }

    CrashAttribution crashes_{Decisions::QuarantineOptions(), 7};
    Time now_ = Time(seconds(1000));
};

// Guards against a third crash before the first two are noticed.
TEST_F(CrashAttributionTest, HoldsARequestThatBrokeOffOnTwoEndpoints)
{
    breakOn(1);
    EXPECT_FALSE(rejected());
    breakOn(2);
    EXPECT_TRUE(rejected());
    EXPECT_LE(rejectedFor(Suspect), seconds(6));
}

// Endpoints that break off some of their answers do not crash. Guards against rejecting requests
// that had bad luck twice.
TEST_F(CrashAttributionTest, ReleasesARequestWhenItsEndpointsAnswer)
{
    breakOn(1);
    breakOn(2);
    crashes_.answered(1, now_ - milliseconds(1));
    EXPECT_TRUE(rejected()) << "an answer to an earlier request may have been under way";
    crashes_.answered(1, now_ + milliseconds(1));
    EXPECT_FALSE(rejected());
}

// An instance that is cut off sees what an instance sees whose endpoints all crash. Guards against
// rejecting requests that were on its connections.
TEST_F(CrashAttributionTest, RefusalsOnALostPathAreNoCrashes)
{
    breakOn(1);
    breakOn(2);
    crashes_.notConnected(1, true, now_);
    crashes_.notConnected(2, true, now_);
    breakOn(3);
    EXPECT_FALSE(rejected());
    const auto reports = reportsOf(crashes_, now_);
    ASSERT_EQ(reports.size(), 1U);
    ASSERT_EQ(reports[0].crashes.size(), 1U) << "the first refusal alone looks like a crash";
    EXPECT_TRUE(reports[0].crashes[0].ended);
    pass(milliseconds(7000));
    EXPECT_FALSE(rejected());
    EXPECT_FALSE(crashes_.hasBreaks());
}

// As above, on a path that drops packets.
TEST_F(CrashAttributionTest, BreaksOnALostPathAreNotHeld)
{
    crashes_.notConnected(1, false, now_);
    crashes_.notConnected(2, false, now_);
    breakOn(1);
    breakOn(2);
    EXPECT_FALSE(rejected());
}

// Guards against missing crashes of several endpoints at once.
TEST_F(CrashAttributionTest, RefusalsAreCrashesOnceAnotherEndpointAnswers)
{
    breakOn(1);
    breakOn(2);
    crashes_.notConnected(1, true, now_);
    crashes_.notConnected(2, true, now_);
    crashes_.answered(9, now_ - milliseconds(1));
    EXPECT_FALSE(rejected()) << "the path may have been lost after that request was sent";
    crashes_.answered(9, now_ + milliseconds(1));
    EXPECT_TRUE(rejected());
    pass(milliseconds(7000));
    EXPECT_TRUE(rejected());
}

TEST_F(CrashAttributionTest, ForgetsBreaksThatNothingConfirms)
{
    breakOn(1);
    breakOn(2);
    pass(milliseconds(7000));
    EXPECT_FALSE(rejected());
    EXPECT_FALSE(crashes_.hasBreaks());
}

// Guards against crashes that no connection of this instance shows.
TEST_F(CrashAttributionTest, RunsThatAreNotListedAnyMoreHaveEnded)
{
    breakOn(1);
    breakOn(2);
    crashes_.setListed({1, 2}, now_);
    crashes_.setListed({3}, now_);
    pass(milliseconds(7000));
    EXPECT_TRUE(rejected());
}

// The closed port is found by another request first. Guards against evidence that is used only in
// one order.
TEST_F(CrashAttributionTest, ABreakAfterTheEndOfTheRunIsADeath)
{
    crashes_.ended(1, now_);
    breakOn(1);
    crashes_.ended(2, now_);
    breakOn(2);
    pass(milliseconds(7000));
    EXPECT_TRUE(rejected());
}

TEST_F(CrashAttributionTest, ABystanderOfASuspectIsNotCharged)
{
    breakOn(1);
    crashes_.ended(1, now_);
    breakOn(2);
    breakOn(2, Bystander);
    crashes_.ended(2, now_);
    breakOn(3, Bystander);
    EXPECT_TRUE(rejected());
    EXPECT_FALSE(rejected(Bystander));
}

// A bystander was on an endpoint that crashed before. Guards against charging it alone and
// releasing the request that has just broken off on two endpoints.
TEST_F(CrashAttributionTest, ABystanderDoesNotRelieveASuspect)
{
    breakOn(1, Bystander);
    crashes_.ended(1, now_);
    breakOn(2, Bystander);
    breakOn(2);
    breakOn(3);
    crashes_.ended(2, now_);
    crashes_.ended(3, now_);
    pass(milliseconds(7000));
    EXPECT_TRUE(rejected());
}

TEST_F(CrashAttributionTest, ACompletedRequestIsNoSuspect)
{
    breakOn(1);
    crashes_.ended(1, now_);
    breakOn(2);
    crashes_.served(keys(Suspect), now_);
    EXPECT_FALSE(rejected());
    EXPECT_TRUE(reportsOf(crashes_, now_).empty());
}

// Many callers send the same request, so that copies of it are on each endpoint that crashes.
// Guards against rejecting them all.
TEST_F(CrashAttributionTest, ARequestThatCompletedShortlyBeforeIsNoSuspect)
{
    crashes_.served(keys(Suspect), now_);
    pass(milliseconds(5000));
    for (const RunId run : {1, 2, 3}) {
        breakOn(run);
        crashes_.ended(run, now_);
    }
    EXPECT_FALSE(rejected());
    pass(milliseconds(20000));
    for (const RunId run : {4, 5}) {
        breakOn(run);
    }
    EXPECT_TRUE(rejected()) << "a request may begin to crash endpoints";
}

// Guards against copies of a suspect that crash several endpoints at once.
TEST_F(CrashAttributionTest, ASuspectRunsOnceAtATime)
{
    breakOn(1);
    EXPECT_TRUE(crashes_.mayStart(keys(Suspect), now_));
    EXPECT_EQ(crashes_.started(keys(Suspect), now_), keys(Suspect));
    EXPECT_FALSE(crashes_.mayStart(keys(Suspect), now_));
    EXPECT_TRUE(crashes_.mayStart(keys(Bystander), now_));
    crashes_.stopped(keys(Suspect));
    EXPECT_TRUE(crashes_.mayStart(keys(Suspect), now_));
}

// One instance ran the request, another learns that the endpoints have ended.
TEST_F(CrashAttributionTest, BreaksAndDeathsOfSeveralInstancesAddUp)
{
    breakOn(1);
    CrashAttribution other(Decisions::QuarantineOptions(), 8);
    other.broke(EndpointId("2"), 2, keys(Suspect), now_);
    other.merge(reportsOf(crashes_, now_), now_);
    EXPECT_TRUE(rejects(other, Suspect, now_));
    crashes_.merge(reportsOf(other, now_), now_);
    EXPECT_TRUE(rejected());
    // This instance learns of both ends and tells the other.
    crashes_.ended(1, now_);
    crashes_.ended(2, now_);
    other.merge(reportsOf(crashes_, now_), now_);
    now_ += seconds(20);
    other.expire(now_);
    EXPECT_TRUE(rejects(other, Suspect, now_));
}

// A request that many callers send was on two endpoints when they crashed, and completes at another
// instance. Guards against one instance that rejects what all others serve.
TEST_F(CrashAttributionTest, ACompletionAtAnotherInstanceClears)
{
    breakOn(1);
    breakOn(2);
    ASSERT_TRUE(rejected());
    CrashAttribution other(Decisions::QuarantineOptions(), 8);
    other.served(keys(Suspect), now_);
    other.merge(reportsOf(crashes_, now_), now_);
    crashes_.merge(other.takeNotices(now_), now_);
    EXPECT_FALSE(rejected());
}

// Guards against a report of a peer that brings back a break which an answer has refuted.
TEST_F(CrashAttributionTest, APeerDoesNotBringBackARefutedBreak)
{
    breakOn(1);
    CrashAttribution other(Decisions::QuarantineOptions(), 8);
    other.broke(EndpointId("2"), 2, keys(Suspect), now_);
    other.merge(reportsOf(crashes_, now_), now_);
    crashes_.answered(1, now_ + milliseconds(1));
    pass(milliseconds(10));
    crashes_.merge(reportsOf(other, now_), now_);
    EXPECT_FALSE(rejected());
}

// Guards against reports that are filled up by the many requests that ran beside a suspect.
TEST_F(CrashAttributionTest, RejectedRequestsComeFirstInReports)
{
    for (std::uint64_t fingerprint = 1; fingerprint <= 500; ++fingerprint) {
        breakOn(1, fingerprint);
    }
    breakOn(1);
    breakOn(2);
    const auto reports = reportsOf(crashes_, now_);
    ASSERT_FALSE(reports.empty());
    EXPECT_EQ(reports.front().key.value, Suspect);
    EXPECT_LE(reports.size(), 40U);
}

// Guards against an instance that has just started and learns of old quarantines by chance only.
TEST_F(CrashAttributionTest, OldQuarantinesAreReportedInTurn)
{
    constexpr std::uint64_t Count = 40;
    for (std::uint64_t fingerprint = 1; fingerprint <= Count; ++fingerprint) {
        breakOn(2 * fingerprint, fingerprint);
        breakOn(2 * fingerprint + 1, fingerprint);
        crashes_.ended(2 * fingerprint, now_);
        crashes_.ended(2 * fingerprint + 1, now_);
    }
    pass(milliseconds(10000));
    std::set<std::uint64_t> reported;
    for (int round = 0; round < 60; ++round) {
        const auto reports = reportsOf(crashes_, now_);
        EXPECT_LE(reports.size(), 4U);
        for (const auto &report : reports) {
            reported.insert(report.key.value);
        }
    }
    EXPECT_GE(reported.size(), Count - 2);
}

// Guards against a quarantine after which every instance lets the request crash one endpoint.
TEST_F(CrashAttributionTest, OnlyTheInstanceThatSawTheLastDeathTriesAgain)
{
    breakOn(1);
    breakOn(2);
    crashes_.ended(1, now_);
    crashes_.ended(2, now_);
    CrashAttribution other(Decisions::QuarantineOptions(), 8);
    other.merge(reportsOf(crashes_, now_), now_);
    const auto later = now_ + Decisions::QuarantineOptions().firstQuarantine + seconds(1);
    EXPECT_FALSE(rejects(crashes_, Suspect, later));
    EXPECT_TRUE(rejects(other, Suspect, later));
}

std::vector<SuspectKey> withContent(std::uint64_t fingerprint, std::uint64_t content)
{
    return {{SuspectKind::Request, fingerprint}, {SuspectKind::Content, content}};
}

// Guards against evidence that never adds up, since each repeat has another query.
TEST_F(CrashAttributionTest, RepeatsWithOtherQueriesAreRejected)
{
    for (const RunId run : {1, 2, 3}) {
        EXPECT_FALSE(crashes_.rejection(withContent(100 + run, 7), false, now_));
        crashes_.broke(EndpointId(std::to_string(run)), run, withContent(100 + run, 7), now_);
        crashes_.ended(run, now_);
    }
    EXPECT_TRUE(crashes_.rejection(withContent(999, 7), false, now_));
    EXPECT_FALSE(crashes_.rejection(withContent(999, 8), false, now_));
}

// Guards against rejecting all queries of a path for the one that crashes endpoints.
TEST_F(CrashAttributionTest, OtherQueriesOfACrashingRequestAreServed)
{
    for (const RunId run : {1, 2, 3}) {
        crashes_.broke(EndpointId(std::to_string(run)), run, withContent(100, 7), now_);
        crashes_.ended(run, now_);
    }
    EXPECT_TRUE(crashes_.rejection(withContent(100, 7), false, now_));
    EXPECT_FALSE(crashes_.rejection(withContent(101, 7), false, now_));
}

// The endpoint was gone before this process had its first list. Guards against a reported break
// that expires, since the endpoint cannot vanish from the list.
TEST_F(CrashAttributionTest, AReportedRunThatIsNotListedHasEnded)
{
    CrashAttribution other(Decisions::QuarantineOptions(), 8);
    other.broke(EndpointId("1"), 1, keys(Suspect), now_);
    other.broke(EndpointId("2"), 2, keys(Suspect), now_);
    crashes_.merge(reportsOf(other, now_), now_);
    crashes_.setListed({9}, now_);
    pass(milliseconds(3500));
    crashes_.setListed({9}, now_);
    pass(milliseconds(7000));
    EXPECT_TRUE(rejected());
}

// Guards against breaks at an instance that does not speak for its region, of which the other
// regions learn only once the endpoint is known to have ended.
TEST_F(CrashAttributionTest, OtherRegionsLearnOfBreaksThatNeighborsSaw)
{
    CrashAttribution neighbor(Decisions::QuarantineOptions(), 8);
    neighbor.broke(EndpointId("1"), 1, keys(Suspect), now_);
    crashes_.merge(reportsOf(neighbor, now_), now_);
    CrashAttribution remote(Decisions::QuarantineOptions(), 9);
    remote.merge(crashes_.reports(CrashAttribution::Audience::OtherRegions, now_), now_);
    remote.broke(EndpointId("2"), 2, keys(Suspect), now_);
    EXPECT_TRUE(rejects(remote, Suspect, now_));
}

// Guards against bystanders of many crashes that leave no memory for the request behind the next.
TEST_F(CrashAttributionTest, ManyBystandersDoNotCrowdOutASuspect)
{
    std::uint64_t bystander = 100000;
    for (RunId run = 1; run <= 200; ++run) {
        for (int count = 0; count < 50; ++count) {
            breakOn(run, bystander++);
        }
        crashes_.ended(run, now_);
    }
    breakOn(1001);
    crashes_.ended(1001, now_);
    breakOn(1002);
    EXPECT_TRUE(rejected());
    EXPECT_LE(crashes_.dump(now_).size(), Decisions::QuarantineOptions().maxSuspects);
}

// Guards against more new suspects than fit into a notice, of which the others never hear.
TEST_F(CrashAttributionTest, AllRejectedRequestsAreAnnounced)
{
    std::set<std::uint64_t> announced;
    for (std::uint64_t fingerprint = 1; fingerprint <= 100; ++fingerprint) {
        breakOn(1, fingerprint);
        breakOn(2, fingerprint);
    }
    for (int round = 0; round < 10; ++round) {
        const auto notices = crashes_.takeNotices(now_);
        EXPECT_LE(notices.size(), 40U);
        for (const auto &notice : notices) {
            announced.insert(notice.key.value);
        }
    }
    EXPECT_EQ(announced.size(), 100U);
}

// Guards against one instance after another that lets a request crash two endpoints while they hear
// nothing from each other.
TEST_F(CrashAttributionTest, OneCrashIsEnoughForAnInstanceThatHearsFromNoOther)
{
    crashes_.setHearing(Hearing::None);
    breakOn(1);
    crashes_.ended(1, now_);
    EXPECT_TRUE(rejected());
    EXPECT_FALSE(crashes_.rejection(keys(Suspect), true, now_)) << "its caller still waits";
    crashes_.setHearing(Hearing::All);
    EXPECT_FALSE(rejected());
}

// As above, with another query each time.
TEST_F(CrashAttributionTest, OneCrashOfAContentIsEnoughForAnInstanceThatHearsFromNoOther)
{
    crashes_.setHearing(Hearing::None);
    crashes_.broke(EndpointId("1"), 1, withContent(100, 7), now_);
    crashes_.ended(1, now_);
    EXPECT_TRUE(crashes_.rejection(withContent(101, 7), false, now_));
    EXPECT_FALSE(crashes_.rejection(withContent(100, 7), true, now_)) << "its caller still waits";
}

// Reports go back and forth with the delay of the network. Guards against a quarantine that each of
// them extends.
TEST_F(CrashAttributionTest, RepeatedReportsDoNotExtendAQuarantine)
{
    breakOn(1);
    breakOn(2);
    crashes_.ended(1, now_);
    crashes_.ended(2, now_);
    const auto reports = reportsOf(crashes_, now_);
    const auto end = now_ + rejectedFor(Suspect);
    pass(milliseconds(4000));
    crashes_.merge(reports, now_);
    EXPECT_EQ(now_ + rejectedFor(Suspect), end);
}

} // namespace

// A copy waits in the queue while another one crashes its second endpoint. Guards against a verdict
// that is looked at only when a request arrives.
TEST_F(SchedulerTest, AWaitingCopyOfACrashingRequestIsRejected)
{
    setEndpoints({endpoint("a", Model, 1), endpoint("b", Model, 1)});
    auto call = facts(Model, RequestKind::Stream);
    call.fingerprint = Suspect;
    call.repeatable = true;
    const auto first = scheduler_.submit(call, now_);
    ASSERT_NE(only<Send>(first), nullptr);
    const auto second = scheduler_.ended(call.id, AttemptOutcome::Broken, true, now_);
    ASSERT_NE(only<Send>(second), nullptr);
    auto copy = facts(Model, RequestKind::Stream);
    copy.fingerprint = Suspect;
    EXPECT_TRUE(scheduler_.submit(copy, now_).empty()) << "waits for the end of the first one";
    const auto effects = scheduler_.ended(call.id, AttemptOutcome::Broken, true, now_);
    const auto rejects = std::count_if(effects.begin(), effects.end(), [&](const Effect &effect) {
        const auto *reject = std::get_if<Reject>(&effect);
        return reject != nullptr && reject->call == copy.id
               && reject->reason == RejectReason::Quarantined;
    });
    EXPECT_EQ(rejects, 1);
}

// Nothing but the close of its connection ended the answer. Guards against a crash that clears the
// request behind it.
TEST_F(SchedulerTest, AnAnswerThatOnlyACloseEndedClearsNoSuspect)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain), endpoint("c", Plain)});
    const auto submit = [&] {
        auto call = facts(Plain, RequestKind::AtMostOnce);
        call.fingerprint = Suspect;
        return std::pair(call.id, scheduler_.submit(call, now_));
    };
    const auto first = submit();
    scheduler_.ended(first.first, AttemptOutcome::Broken, false, now_);
    const auto second = submit();
    scheduler_.ended(second.first, AttemptOutcome::Answered, false, now_);
    const auto third = submit();
    scheduler_.ended(third.first, AttemptOutcome::Broken, false, now_);
    const auto fourth = submit();
    ASSERT_NE(only<Reject>(fourth.second), nullptr);
    EXPECT_EQ(only<Reject>(fourth.second)->reason, RejectReason::Quarantined);
}

// The endpoint returns under its id before the break of its old connection is noticed. Guards
// against evidence that an answer of the new process refutes.
TEST_F(SchedulerTest, ABreakCountsAgainstTheRunThatTheRequestWasSentTo)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    for (int count = 0; count < 2; ++count) {
        auto call = facts(Plain, RequestKind::AtMostOnce);
        call.fingerprint = Suspect;
        const auto sent = scheduler_.submit(call, now_);
        ASSERT_NE(only<Send>(sent), nullptr);
        for (auto &each : endpoints_) {
            each.record.startedAt += each.record.id == only<Send>(sent)->endpoint ? 1 : 0;
        }
        scheduler_.setEndpoints(endpoints_, {}, now_);
        scheduler_.ended(call.id, AttemptOutcome::Broken, false, now_);
        for (int other = 0; other < 8; ++other) {
            pass(milliseconds(10));
            const auto sound = facts(Plain, RequestKind::AtMostOnce);
            scheduler_.submit(sound, now_);
            scheduler_.ended(sound.id, AttemptOutcome::Completed, false, now_);
        }
    }
    auto copy = facts(Plain, RequestKind::AtMostOnce);
    copy.fingerprint = Suspect;
    const auto effects = scheduler_.submit(copy, now_);
    ASSERT_NE(only<Reject>(effects), nullptr);
    EXPECT_EQ(only<Reject>(effects)->reason, RejectReason::Quarantined);
}

// The copy's connection is established after the verdict. Guards against a send that was decided on
// before it.
TEST_F(SchedulerTest, ACrashingRequestIsNotSentOnceItsConnectionIsEstablished)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain), endpoint("c", Plain)});
    std::vector<CallFacts> copies;
    for (int copy = 0; copy < 3; ++copy) {
        copies.push_back(facts(Plain, RequestKind::AtMostOnce));
        copies.back().fingerprint = Suspect;
        ASSERT_NE(only<Send>(scheduler_.submit(copies.back(), now_)), nullptr);
    }
    EXPECT_TRUE(scheduler_.maySend(copies[2].id, now_));
    scheduler_.ended(copies[0].id, AttemptOutcome::Broken, true, now_);
    scheduler_.ended(copies[1].id, AttemptOutcome::Broken, true, now_);
    EXPECT_FALSE(scheduler_.maySend(copies[2].id, now_));
}

} // namespace LaburnumChute::Dispatch
