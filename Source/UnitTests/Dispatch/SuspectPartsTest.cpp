#include <algorithm>
#include <chrono>

#include "Support.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr std::uint64_t First = 1;
constexpr std::uint64_t Bad = 2;
constexpr std::uint64_t OtherBad = 3;
constexpr std::uint64_t Later = 4;

/// Requests that are all unlike, with the parts of their prompts in order.
class SuspectPartsTest : public testing::Test
{
protected:
    std::vector<SuspectKey> request(const std::vector<std::uint64_t> &parts)
    {
        CallFacts facts;
        facts.service = ServiceName("model");
        facts.fingerprint = nextRequest_++;
        facts.contentFingerprint = nextRequest_++;
        for (const auto part : parts) {
            facts.parts.push_back({part, 100});
        }
        facts.parts.push_back({nextRequest_++, 100});
        return suspectKeys(facts);
    }
    /// More requests than a report has room for, without a part in common.
    std::vector<std::vector<SuspectKey>> bystanders()
    {
        std::vector<std::vector<SuspectKey>> requests;
        for (int count = 0; count < 60; ++count) {
            requests.push_back(request({}));
        }
        return requests;
    }
    /// An endpoint crashes under the request and its bystanders.
    void crash(const std::vector<std::vector<SuspectKey>> &requests)
    {
        const auto run = nextRun_++;
        for (const auto &keys : requests) {
            crashes_.broke(EndpointId(std::to_string(run)), run, keys, now_);
        }
        crashes_.ended(run, now_);
        now_ += milliseconds(300);
    }
    void pass(seconds time)
    {
        now_ += time;
        crashes_.expire(now_);
    }
    bool rejected(const std::vector<std::uint64_t> &parts)
    {
        return crashes_.rejection(request(parts), false, now_).has_value();
    }

    /// In how many of the next reports the key is.
    int reportedTimes(const SuspectKey &key, int reports)
    {
        int times = 0;
        for (int count = 0; count < reports; ++count) {
            const auto report = crashes_.reports(CrashAttribution::Audience::OwnRegion, now_);
            times += std::any_of(report.begin(), report.end(),
                                 [&](const auto &each) { return each.key == key; })
                         ? 1
                         : 0;
        }
        return times;
    }

    CrashAttribution crashes_{Decisions::QuarantineOptions(), 7};
    Time now_ = Time(seconds(1000));
    RunId nextRun_ = 1;
    std::uint64_t nextRequest_ = 1000;
};

} // namespace

// Guards against evidence that never adds up, since no request comes twice.
TEST_F(SuspectPartsTest, APartThatUnlikeRequestsHaveInCommonIsRejected)
{
    for (std::uint64_t count = 0; count < 3; ++count) {
        EXPECT_FALSE(rejected({First, Bad}));
        crash({request({First, Bad}), request({First}), request({First, Later + count % 2})});
    }
    EXPECT_TRUE(rejected({First, Bad}));
    EXPECT_FALSE(rejected({First})) << "it was in all of the crashes";
    EXPECT_FALSE(rejected({First, Later}));
}

// Guards against rejecting a part for one request that has it and crashes endpoints.
TEST_F(SuspectPartsTest, ARepeatedRequestCondemnsNoPart)
{
    const auto repeated = request({First, Bad});
    for (int count = 0; count < 5; ++count) {
        crash({repeated});
    }
    EXPECT_TRUE(crashes_.rejection(repeated, false, now_));
    EXPECT_FALSE(rejected({First, Bad}));
}

// Guards against condemning the first part, which both have in common.
TEST_F(SuspectPartsTest, TwoBadPartsDoNotCondemnTheFirstOne)
{
    for (int count = 0; count < 4; ++count) {
        crash({request({First, Bad})});
        crash({request({First, OtherBad})});
    }
    EXPECT_TRUE(rejected({First, Bad}));
    EXPECT_TRUE(rejected({First, OtherBad}));
    EXPECT_FALSE(rejected({First}));
}

// Guards against condemning later parts one after the other for the first one that they follow.
TEST_F(SuspectPartsTest, ABadFirstPartIsRejectedWhateverFollows)
{
    for (std::uint64_t count = 0; count < 5; ++count) {
        crash({request({Bad, 100 + count})});
    }
    EXPECT_TRUE(rejected({Bad, 200}));
    EXPECT_FALSE(rejected({First, 200}));
}

// All crashes have two parts in common. Guards against a sound part that is never served again,
// since it was the later one.
TEST_F(SuspectPartsTest, ARequestWithOneOfTwoSuspectedPartsTellsThemApart)
{
    for (int count = 0; count < 4; ++count) {
        crash({request({First, Bad, Later})});
    }
    EXPECT_TRUE(rejected({First, Bad, Later}));
    const auto sound = request({First, Later});
    EXPECT_FALSE(crashes_.rejection(sound, false, now_));
    crashes_.served(sound, now_);
    EXPECT_FALSE(rejected({First, Later}));
    EXPECT_TRUE(rejected({First, Bad})) << "the evidence is now against this part";
}

// Guards against condemning parts that are on every endpoint, when several endpoints crash.
TEST_F(SuspectPartsTest, APartThatWasServedShortlyBeforeIsNoSuspect)
{
    crashes_.served(request({First}), now_);
    for (int count = 0; count < 8; ++count) {
        crash({request({First}), request({First})});
    }
    EXPECT_FALSE(rejected({First}));
}

// Guards against a sound part that stays condemned at an instance with hardly any traffic.
TEST_F(SuspectPartsTest, APartThatAnotherInstanceServesIsCleared)
{
    for (int count = 0; count < 4; ++count) {
        crash({request({First})});
    }
    ASSERT_TRUE(rejected({First}));
    CrashAttribution other(Decisions::QuarantineOptions(), 8);
    other.served(request({First}), now_);
    other.merge(crashes_.reports(CrashAttribution::Audience::OwnRegion, now_), now_);
    crashes_.merge(other.reports(CrashAttribution::Audience::OwnRegion, now_), now_);
    EXPECT_FALSE(rejected({First}));
}

// Each instance sees one crash. Guards against evidence that is not added up.
TEST_F(SuspectPartsTest, CrashesThatSeveralInstancesSawAddUp)
{
    for (int count = 0; count < 4; ++count) {
        CrashAttribution other(Decisions::QuarantineOptions(), 8);
        const auto run = nextRun_++;
        other.broke(EndpointId(std::to_string(run)), run, request({First, Bad}), now_);
        other.ended(run, now_);
        crashes_.merge(other.reports(CrashAttribution::Audience::OwnRegion, now_), now_);
    }
    EXPECT_TRUE(rejected({First, Bad}));
    EXPECT_FALSE(rejected({First}));
}

// Dozens of requests are retried while two endpoints crash, and are rejected since they broke off
// twice. Guards against reports that have no room left for the part that is the cause.
TEST_F(SuspectPartsTest, RejectedBystandersDoNotCrowdOutAPart)
{
    auto requests = bystanders();
    requests.push_back(request({Bad}));
    crash(requests);
    crash(requests);
    EXPECT_EQ(reportedTimes(requests.back().back(), 1), 1);
}

// As above. Guards against sound parts that stay condemned elsewhere, since this instance has no
// room left to say that it serves them.
TEST_F(SuspectPartsTest, SuspectsDoNotCrowdOutWhatIsServedHere)
{
    const auto requests = bystanders();
    crash(requests);
    crash(requests);
    pass(seconds(6));
    crash(bystanders());
    const auto sound = request({First}).back();
    crashes_.served({sound}, now_);
    SuspectReport suspected;
    suspected.key = sound;
    suspected.crashes = {{4711, 100, true}};
    crashes_.merge({suspected}, now_);
    EXPECT_EQ(reportedTimes(sound, 1), 1);
}

// As above. Guards against contents that are never reported, since others are suspected alike.
TEST_F(SuspectPartsTest, SuspectsOfOneRankAreReportedInTurn)
{
    const auto requests = bystanders();
    crash(requests);
    crash(requests);
    for (const auto &keys : requests) {
        for (const auto &key : keys) {
            EXPECT_GE(reportedTimes(key, 18), 1) << toString(key.kind) << " " << key.value;
        }
    }
}

// Guards against memory and reports that a caller with ever new parts fills.
TEST_F(SuspectPartsTest, EverNewPartsTakeBoundedMemory)
{
    for (std::uint64_t count = 0; count < 3000; ++count) {
        crash({request({10000 + 3 * count, 10001 + 3 * count, 10002 + 3 * count})});
    }
    EXPECT_LE(crashes_.dump(now_).size(), Decisions::QuarantineOptions().maxSuspects);
    EXPECT_LE(crashes_.reports(CrashAttribution::Audience::OwnRegion, now_).size(), 40U);
    for (int count = 0; count < 4; ++count) {
        crash({request({First, Bad})});
    }
    EXPECT_TRUE(rejected({First, Bad}));
}

// Guards against evidence that is searched for each request anew.
TEST_F(SuspectPartsTest, DecisionsTakeMicrosecondsAmongManySuspects)
{
    for (int count = 0; count < 40; ++count) {
        std::vector<std::vector<SuspectKey>> bystanders(30, request({First, Bad, Later}));
        for (std::uint64_t other = 0; other < 70; ++other) {
            bystanders.push_back(request({First, 50 + other}));
        }
        crash(bystanders);
    }
    constexpr int Decisions = 10000;
    const auto keys = request({First, Bad, Later});
    const auto begun = std::chrono::steady_clock::now();
    int rejections = 0;
    for (int count = 0; count < Decisions; ++count) {
        rejections += crashes_.rejection(keys, false, now_) ? 1 : 0;
    }
    const auto took = std::chrono::steady_clock::now() - begun;
    EXPECT_EQ(rejections, Decisions);
    EXPECT_LT(took / Decisions, std::chrono::microseconds(50));
}

// The endpoint crashes later, for another reason. Guards against charging parts with which answers
// had long begun.
TEST_F(SchedulerTest, AnAnswerThatGoesOnClearsThePartsOfItsPrompt)
{
    setEndpoints({endpoint("a", Model), endpoint("b", Model), endpoint("c", Model),
                  endpoint("d", Model), endpoint("e", Model)});
    for (int count = 0; count < 4; ++count) {
        auto call = longCall(1);
        call.maxRuns = 1;
        const auto sent = scheduler_.submit(call, now_);
        ASSERT_NE(only<Send>(sent), nullptr) << "request " << count;
        scheduler_.answering(call.id, now_);
        pass(milliseconds(300));
        scheduler_.progressed(call.id, 1, milliseconds(300), now_);
        scheduler_.ended(call.id, AttemptOutcome::Broken, false, now_);
        scheduler_.ended(call.id, AttemptOutcome::Broken, false, now_);
    }
    EXPECT_NE(only<Send>(scheduler_.submit(longCall(1), now_)), nullptr);
}

} // namespace LaburnumChute::Dispatch
