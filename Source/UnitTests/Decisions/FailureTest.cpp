#include <gtest/gtest.h>

#include "Decisions/Ejection.h"
#include "Decisions/Quarantine.h"
#include "Support.h"

namespace LaburnumChute::Decisions {

using namespace Testing;

namespace {

constexpr std::uint64_t Poison = 666;

RequestFacts poison(const std::string &id)
{
    auto facts = request(id);
    facts.fingerprint = Poison;
    return facts;
}

RequestFacts repeatable(const std::string &id)
{
    auto facts = request(id);
    facts.repeatable = true;
    return facts;
}

// The connection breaks before a response to a request that is not repeatable. Sending it again
// might perform it twice; the caller must be told that the outcome is unknown.
TEST(RetryTest, ANonRepeatableRequestWithUnknownOutcomeIsNeverSentAgain)
{
    for (const auto outcome : {Outcome::Failed, Outcome::EndpointDied, Outcome::TimedOut}) {
        Harness harness;
        harness.addEngines(3);
        harness.submit(request("truck"));
        const auto rejections = all<Reject>(harness.finish("truck", outcome));
        ASSERT_EQ(rejections.size(), 1U);
        EXPECT_EQ(rejections.front().run, RunState::Unknown);
        harness.tickAfter(seconds(10));
        EXPECT_EQ(harness.dispatchOrder.size(), 1U);
    }
}

// The first attempt fails during its run, and the endpoint does not start the second one. "Not run"
// is true of the second attempt only.
TEST(RetryTest, NotRunIsNotReportedAfterAnAttemptThatMayHaveRun)
{
    Harness harness;
    harness.addEngines(3);
    harness.submit(repeatable("r1"));
    harness.finish("r1", Outcome::Failed);
    std::vector<Reject> rejections;
    for (int round = 0; round < 5 && rejections.empty(); ++round) {
        harness.tickAfter(seconds(2));
        rejections = all<Reject>(harness.finish("r1", Outcome::NotStarted));
    }
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.front().run, RunState::Unknown);
}

// All engines fail for half a minute and then recover. If every request were attempted three times,
// the recovered engines would get three times their load and time out.
TEST(RetryTest, AnOutageIsNotFollowedByARetryStorm)
{
    auto options = lowSlackOptions();
    options.retry.hedgeAfter = 0;
    // Disables the stop when most endpoints fail, so that only the budget limits retries.
    options.retry.maxFailingFraction = 2;
    Harness harness(options);
    harness.addEngines(4);
    constexpr int FirstTries = 1000;
    for (int index = 0; index < FirstTries; ++index) {
        const auto id = "r" + std::to_string(index);
        harness.submit(repeatable(id));
        harness.finish(id, Outcome::Failed);
        harness.tickAfter(milliseconds(30));
        for (const auto &[endpoint, requests] : std::map(harness.running)) {
            for (const auto &retried : std::set(requests)) {
                harness.finish(retried, Outcome::Failed);
            }
        }
    }
    const auto retries = static_cast<int>(harness.dispatchOrder.size()) - FirstTries;
    EXPECT_LE(retries, RetryOptions().budgetMaximum + RetryOptions().budgetRatio * FirstTries);
    // After the outage requests are served.
    int served = 0;
    for (int index = 0; index < 100; ++index) {
        const auto id = "after" + std::to_string(index);
        served += has<Dispatch>(harness.submit(repeatable(id))) ? 1 : 0;
        harness.now += milliseconds(100);
        harness.firstToken(id);
        harness.finish(id);
    }
    EXPECT_EQ(served, 100);
}

// When every engine fails, retries only add load.
TEST(RetryTest, NothingIsRetriedWhileAllEndpointsFail)
{
    Harness harness;
    harness.addEngines(4);
    for (int index = 0; index < 100; ++index) {
        const auto id = "r" + std::to_string(index);
        harness.submit(repeatable(id));
        harness.finish(id, Outcome::Failed);
        harness.tickAfter(milliseconds(10));
    }
    const auto before = harness.dispatchOrder.size();
    harness.submit(repeatable("last"));
    EXPECT_TRUE(has<Reject>(harness.finish("last", Outcome::Failed)));
    harness.tickAfter(seconds(5));
    EXPECT_EQ(harness.dispatchOrder.size(), before + 1);
}

// Two of three engines refuse connections and are not yet known to be down; the third is idle. The
// request must reach the third instead of being rejected as failed.
TEST(RetryTest, ARequestThatWasNotStartedIsSentToEachEndpointOnce)
{
    auto options = lowSlackOptions();
    // The budget was used up by earlier failures.
    options.retry.budgetMaximum = 0;
    Harness harness(options);
    harness.addEngines(3);
    for (int index = 0; index < 50; ++index) {
        const auto id = "r" + std::to_string(index);
        harness.submit(request(id));
        for (int round = 0; round < 3 && harness.endpointOf(id) != "e2"; ++round) {
            EXPECT_FALSE(has<Reject>(harness.finish(id, Outcome::NotStarted))) << id;
            harness.tickAfter(milliseconds(20));
        }
        ASSERT_EQ(harness.endpointOf(id), "e2");
        harness.firstToken(id);
        harness.finish(id);
    }
}

TEST(RetryTest, WhenNoEndpointStartsItTheRequestIsRejectedAsNotRun)
{
    Harness harness;
    harness.addEngines(2);
    harness.submit(request("r1"));
    std::vector<Reject> rejections;
    for (int round = 0; round < 10 && rejections.empty(); ++round) {
        rejections = all<Reject>(harness.finish("r1", Outcome::NotStarted));
        harness.tickAfter(seconds(3));
    }
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.front().run, RunState::NotRun);
    EXPECT_LE(harness.dispatchOrder.size(), 3U);
}

// The load polls of two of three engines fail, which is more than maxEjectedFraction.
TEST(EjectionTest, UnreachableEndpointsGetNoRequestsWhateverTheEjectionLimit)
{
    Harness harness;
    harness.addEngines(3);
    harness.scheduler.reachability(EndpointId("e0"), false, harness.now);
    harness.scheduler.reachability(EndpointId("e1"), false, harness.now);
    for (int index = 0; index < 12; ++index) {
        harness.submit(request("r" + std::to_string(index)));
    }
    EXPECT_TRUE(harness.running["e0"].empty());
    EXPECT_TRUE(harness.running["e1"].empty());
    EXPECT_EQ(harness.running["e2"].size(), 9U);
    harness.recordDispatches(harness.scheduler.reachability(EndpointId("e0"), true, harness.now));
    EXPECT_FALSE(harness.running["e0"].empty());
}

// The load polls fail because of this instance's own network. Rejecting everything would be worse
// than trying the endpoints.
TEST(EjectionTest, WhenAllAreUnreachableAllAreUsed)
{
    Harness harness;
    harness.addEngines(2);
    harness.scheduler.reachability(EndpointId("e0"), false, harness.now);
    harness.scheduler.reachability(EndpointId("e1"), false, harness.now);
    EXPECT_TRUE(has<Dispatch>(harness.submit(request("r1"))));
}

// An engine hangs without closing its connections. A hedge on another engine returns the first
// token, and the attempt on the hanging engine is cancelled.
TEST(RetryTest, ALateFirstTokenIsHedgedOnceAndTheSlowerAttemptCancelled)
{
    Harness harness;
    harness.addEngines(2);
    harness.submit(repeatable("r1"));
    const auto first = harness.endpointOf("r1");
    const auto hedges = all<Dispatch>(harness.tickAfter(seconds(5)));
    ASSERT_EQ(hedges.size(), 1U);
    EXPECT_TRUE(hedges.front().hedge);
    EXPECT_NE(hedges.front().endpoint.text(), first);
    const auto effects =
        harness.scheduler.firstToken(RequestId("r1"), hedges.front().endpoint, harness.now);
    const auto cancels = all<CancelOnEndpoint>(effects);
    ASSERT_EQ(cancels.size(), 1U);
    EXPECT_EQ(cancels.front().endpoint.text(), first);
    EXPECT_TRUE(all<Dispatch>(harness.tickAfter(seconds(60))).empty());
}

/// Submits and ends requests; those on `bad` endpoints fail. Returns the number of failures.
int countFailures(Harness &harness, const std::set<std::string> &bad, int count,
                  const std::string &name)
{
    int failures = 0;
    for (int index = 0; index < count; ++index) {
        const auto id = name + std::to_string(index);
        harness.submit(request(id));
        const auto endpoint = harness.endpointOf(id);
        if (bad.count(endpoint) != 0) {
            ++failures;
            harness.finish(id, Outcome::Failed);
        } else if (!endpoint.empty()) {
            harness.now += milliseconds(60);
            harness.firstToken(id);
            harness.finish(id);
        }
        harness.tickAfter(milliseconds(40));
    }
    return failures;
}

// One engine fails every request immediately. It always looks idle and attracts more requests than
// any other until it is ejected.
TEST(EjectionTest, AFailingEndpointSoonGetsNoRequests)
{
    Harness harness;
    harness.addEngines(4);
    EXPECT_LE(countFailures(harness, {"e0"}, 100, "r"), 8);
}

// The other engines are full and only the failing one has spare capacity. A higher cost does not
// keep requests away from the only free endpoint; it must be ejected, and requests wait for another
// one.
TEST(EjectionTest, RequestsWaitInsteadOfGoingToAnEjectedEndpoint)
{
    Harness harness;
    harness.addEngines(4);
    countFailures(harness, {"e0"}, 60, "r");
    for (int index = 0; index < 60; ++index) {
        harness.submit(request("load" + std::to_string(index), "c" + std::to_string(index)));
        harness.reportAll(4);
    }
    countFailures(harness, {"e0"}, 40, "under-load");
    harness.tickAfter(milliseconds(500));
    const auto before = harness.running["e0"].size();
    harness.submit(request("next", "next"));
    EXPECT_EQ(harness.running["e0"].size(), before);
}

TEST(EjectionTest, AtMostTheStatedFractionIsEjectedAndNoneWhenMostFail)
{
    const std::vector<EndpointHandle> group{0, 1, 2, 3};
    const Time now = Time() + seconds(100);
    const auto excludedAfter = [&](EndpointHandle failing) {
        Ejection ejection({});
        for (EndpointHandle handle = 0; handle < failing; ++handle) {
            for (int index = 0; index < 10; ++index) {
                ejection.failed(handle, now);
            }
        }
        ejection.evaluate(group, now);
        return std::count_if(group.begin(), group.end(),
                             [&](EndpointHandle handle) { return ejection.excluded(handle, now); });
    };
    EXPECT_EQ(excludedAfter(1), 1);
    EXPECT_EQ(excludedAfter(3), 0);
}

// One engine takes ten times as long as its load reports explain.
TEST(EjectionTest, ASlowEndpointGetsFewRequests)
{
    auto options = lowSlackOptions();
    options.retry.hedgeAfter = 0;
    Harness harness(options);
    harness.addEngines(4);
    int slow = 0;
    for (int index = 0; index < 200; ++index) {
        const auto id = "r" + std::to_string(index);
        harness.submit(request(id));
        const bool onSlow = harness.endpointOf(id) == "e0";
        slow += onSlow ? 1 : 0;
        harness.tickAfter(onSlow ? milliseconds(2000) : milliseconds(130));
        harness.firstToken(id);
        harness.finish(id);
    }
    EXPECT_LE(slow, 30) << "an equal part would be 50";
}

// A faulty version of the model fails on most engines. If all of them were ejected, nobody would be
// served after the fault is fixed; if one were left, it would get the whole load.
TEST(EjectionTest, WhenMostFailNoneIsExcluded)
{
    Harness harness;
    harness.addEngines(4);
    countFailures(harness, {"e0", "e1", "e2"}, 60, "r");
    const auto dump = harness.scheduler.dump(harness.now);
    int excluded = 0;
    for (const auto &endpoint : dump["endpoints"]) {
        excluded += endpoint["health"]["excluded"].get<bool>() ? 1 : 0;
    }
    EXPECT_LE(excluded, 1) << "maxEjectedFraction of four";
    EXPECT_TRUE(has<Dispatch>(harness.submit(request("after"))));
}

// A request crashes each engine that runs it, and its caller sends it repeatedly.
TEST(QuarantineTest, APoisonRequestCrashesAtMostTwoEndpoints)
{
    Harness harness;
    harness.addEngines(6);
    std::set<std::string> died;
    for (int index = 0; index < 20; ++index) {
        const auto id = "p" + std::to_string(index);
        harness.submit(poison(id));
        const auto endpoint = harness.endpointOf(id);
        if (!endpoint.empty()) {
            died.insert(endpoint);
            harness.killEndpoint(endpoint);
        }
        harness.tickAfter(seconds(1));
    }
    EXPECT_EQ(died.size(), 2U);
    const auto rejections = all<Reject>(harness.submit(poison("again")));
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.front().reason, RejectReason::Quarantined);
    EXPECT_GT(rejections.front().retryAfter, seconds(60));
}

// Requests of other callers were running on the engines that died. They are not the cause and must
// be served.
TEST(QuarantineTest, OtherRequestsOnTheSameEndpointAreNotQuarantined)
{
    Harness harness;
    harness.addEngines(2);
    for (int round = 0; round < 2; ++round) {
        harness.submit(poison("p" + std::to_string(round)));
        const auto endpoint = harness.endpointOf("p" + std::to_string(round));
        for (std::uint64_t index = 0; index < 12; ++index) {
            auto facts = request("n" + std::to_string(round) + "-" + std::to_string(index));
            facts.fingerprint = 1 + index;
            harness.submit(facts);
        }
        harness.killEndpoint(endpoint);
        harness.tickAfter(milliseconds(100));
        for (const auto &[other, requests] : std::map(harness.running)) {
            for (const auto &id : std::set(requests)) {
                harness.finish(id);
            }
        }
    }
    EXPECT_TRUE(has<Reject>(harness.submit(poison("again"))));
    for (std::uint64_t index = 0; index < 12; ++index) {
        auto facts = request("later" + std::to_string(index));
        facts.fingerprint = 1 + index;
        EXPECT_FALSE(has<Reject>(harness.submit(facts))) << index;
    }
}

// One engine crashes repeatedly whatever it runs. A request that is there each time is not the
// cause.
TEST(QuarantineTest, AFaultyEndpointDoesNotQuarantineARequest)
{
    Harness harness;
    harness.addEngines(1);
    for (int index = 0; index < 5; ++index) {
        harness.submit(poison("p" + std::to_string(index)));
        harness.killEndpoint("e0");
        harness.tickAfter(seconds(1));
    }
    EXPECT_FALSE(has<Reject>(harness.submit(poison("again"))));
}

TEST(QuarantineTest, TheDeathOfEndpointsDoesNotEjectThem)
{
    Harness harness;
    harness.addEngines(6);
    for (int index = 0; index < 4; ++index) {
        harness.submit(poison("p" + std::to_string(index)));
        harness.killEndpoint(harness.endpointOf("p" + std::to_string(index)));
        harness.tickAfter(seconds(1));
    }
    const auto dump = harness.scheduler.dump(harness.now);
    for (const auto &endpoint : dump["endpoints"]) {
        EXPECT_FALSE(endpoint["health"]["excluded"].get<bool>());
    }
}

// Two engines died for another reason while running the same request. After its quarantine it may
// run once without other suspects, and its completion clears it.
TEST(QuarantineTest, AQuarantinedRequestRunsAgainLaterAndIsCleared)
{
    Harness harness;
    harness.addEngines(6);
    for (int index = 0; index < 2; ++index) {
        harness.submit(poison("p" + std::to_string(index)));
        harness.killEndpoint(harness.endpointOf("p" + std::to_string(index)));
        harness.tickAfter(seconds(1));
    }
    EXPECT_TRUE(has<Reject>(harness.submit(poison("early"))));
    harness.tickAfter(QuarantineOptions().firstQuarantine);
    EXPECT_TRUE(has<Dispatch>(harness.submit(poison("trial"))));
    EXPECT_FALSE(has<Dispatch>(harness.submit(poison("beside")))) << "one attempt at a time";
    harness.finish("trial");
    EXPECT_TRUE(has<Dispatch>(harness.submit(poison("after"))));
}

// Further attempts of the caller reach another instance, which knows of the deaths through notices.
TEST(QuarantineTest, NoticesQuarantineARequestOnOtherInstances)
{
    Harness first;
    first.addEngines(6);
    for (int index = 0; index < 2; ++index) {
        first.submit(poison("p" + std::to_string(index)));
        first.killEndpoint(first.endpointOf("p" + std::to_string(index)));
        first.tickAfter(milliseconds(100));
    }
    Harness second;
    second.addEngines(6);
    second.scheduler.mergeSuspects(first.scheduler.suspectNotices(first.now), second.now);
    EXPECT_TRUE(has<Reject>(second.submit(poison("again"))));
}

// A request without deaths runs next to one that was on an engine when it died.
TEST(QuarantineTest, ADeathIsChargedToTheMostSuspectedAlone)
{
    Quarantine quarantine({});
    const Time now = Time() + seconds(1000);
    quarantine.endpointDied(EndpointId("e1"), {Poison}, now);
    quarantine.endpointDied(EndpointId("e2"), {Poison, 1}, now);
    EXPECT_EQ(quarantine.verdict(Poison, now), Verdict::Quarantined);
    EXPECT_EQ(quarantine.verdict(1, now), Verdict::Clear);
}

// Each of two instances saw one death; only the merged notices contain both.
TEST(QuarantineTest, MergedNoticesAddUpDistinctEndpoints)
{
    Quarantine quarantine({});
    const Time now = Time() + seconds(1000);
    quarantine.endpointDied(EndpointId("e1"), {Poison}, now);
    EXPECT_EQ(quarantine.verdict(Poison, now), Verdict::Suspect);
    quarantine.merge({{Poison, {EndpointId("e1")}, seconds(1)}}, now);
    EXPECT_EQ(quarantine.verdict(Poison, now), Verdict::Suspect);
    quarantine.merge({{Poison, {EndpointId("e2")}, seconds(1)}}, now);
    EXPECT_EQ(quarantine.verdict(Poison, now), Verdict::Quarantined);
}

// The engines at home report spare capacity and still start no request, as when each is at its
// limit of queued requests. Without forwarding, callers would get a 502 after three attempts while
// Asahikawa has spare capacity.
TEST(FailureTest, ARequestThatHomeEndpointsDoNotStartIsForwarded)
{
    Harness harness;
    harness.addEngines(4);
    harness.scheduler.updateRegions({summary(Asahikawa)}, harness.now);
    auto facts = request("r1");
    facts.allowedRegions = {Sapporo, Asahikawa};
    harness.submit(facts);
    Effects effects;
    for (int attempts = 0; attempts < 10 && !has<Forward>(effects) && !has<Reject>(effects);
         ++attempts) {
        effects = harness.finish("r1", Outcome::NotStarted);
        if (effects.empty()) {
            effects = harness.tickAfter(milliseconds(200));
        }
    }
    EXPECT_TRUE(has<Forward>(effects));
    EXPECT_FALSE(has<Reject>(effects));
}

} // namespace

} // namespace LaburnumChute::Decisions
