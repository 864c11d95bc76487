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

// A truck dispatch is sent, and the connection breaks before an answer. Sending it again might send
// two trucks; the caller must be told that nobody knows.
TEST(RetryTest, ANonRepeatableRequestWithUnknownOutcomeIsNeverSentAgain)
{
    for (const auto outcome : {Outcome::Failed, Outcome::EndpointDied, Outcome::TimedOut}) {
        World world;
        world.addEngines(3);
        world.submit(request("truck"));
        const auto refusals = all<Reject>(world.finish("truck", outcome));
        ASSERT_EQ(refusals.size(), 1U);
        EXPECT_EQ(refusals.front().run, RunState::Unknown);
        world.tickAfter(seconds(10));
        EXPECT_EQ(world.order.size(), 1U);
    }
}

// The first try breaks off in the middle, the second one is turned away by the endpoint. "Not run"
// is true of the second try only.
TEST(RetryTest, NotRunIsNotClaimedAfterAnEarlierTryThatMayHaveRun)
{
    World world;
    world.addEngines(3);
    world.submit(repeatable("r1"));
    world.finish("r1", Outcome::Failed);
    std::vector<Reject> refusals;
    for (int round = 0; round < 5 && refusals.empty(); ++round) {
        world.tickAfter(seconds(2));
        refusals = all<Reject>(world.finish("r1", Outcome::NotStarted));
    }
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().run, RunState::Unknown);
}

// All engines fail for half a minute and then work again. If every request were tried three times
// the engines would come back to three times their load and time out under it.
TEST(RetryTest, AnOutageIsNotFollowedByARetryStorm)
{
    auto options = tightOptions();
    options.retry.hedgeAfter = 0;
    // The budget alone must hold, without the stop when all endpoints suffer.
    options.retry.sufferingShare = 2;
    World world(options);
    world.addEngines(4);
    constexpr int FirstTries = 1000;
    for (int index = 0; index < FirstTries; ++index) {
        const auto id = "r" + std::to_string(index);
        world.submit(repeatable(id));
        world.finish(id, Outcome::Failed);
        world.tickAfter(milliseconds(30));
        for (const auto &[endpoint, requests] : std::map(world.on)) {
            for (const auto &retried : std::set(requests)) {
                world.finish(retried, Outcome::Failed);
            }
        }
    }
    const auto retries = static_cast<int>(world.order.size()) - FirstTries;
    EXPECT_LE(retries, RetryOptions().budgetMaximum + RetryOptions().budgetShare * FirstTries);
    // The fault is over: what comes now is served.
    int served = 0;
    for (int index = 0; index < 100; ++index) {
        const auto id = "after" + std::to_string(index);
        served += has<Dispatch>(world.submit(repeatable(id))) ? 1 : 0;
        world.now += milliseconds(100);
        world.firstToken(id);
        world.finish(id);
    }
    EXPECT_EQ(served, 100);
}

// When every engine fails a retry only adds to what they suffer from.
TEST(RetryTest, NothingIsRetriedWhileAllEndpointsSuffer)
{
    World world;
    world.addEngines(4);
    for (int index = 0; index < 100; ++index) {
        const auto id = "r" + std::to_string(index);
        world.submit(repeatable(id));
        world.finish(id, Outcome::Failed);
        world.tickAfter(milliseconds(10));
    }
    const auto before = world.order.size();
    world.submit(repeatable("last"));
    EXPECT_TRUE(has<Reject>(world.finish("last", Outcome::Failed)));
    world.tickAfter(seconds(5));
    EXPECT_EQ(world.order.size(), before + 1);
}

// Two of three engines of a region are gone and refuse connections; nobody has noticed yet. The
// third is idle. A caller who was told "failed" would have been turned away by a region that could
// serve it.
TEST(RetryTest, ARequestThatWasNotStartedGoesOnToEveryEndpointOnce)
{
    auto options = tightOptions();
    // Spent by what failed before.
    options.retry.budgetMaximum = 0;
    World world(options);
    world.addEngines(3);
    for (int index = 0; index < 50; ++index) {
        const auto id = "r" + std::to_string(index);
        world.submit(request(id));
        for (int round = 0; round < 3 && world.endpointOf(id) != "e2"; ++round) {
            EXPECT_FALSE(has<Reject>(world.finish(id, Outcome::NotStarted))) << id;
            world.tickAfter(milliseconds(20));
        }
        ASSERT_EQ(world.endpointOf(id), "e2");
        world.firstToken(id);
        world.finish(id);
    }
}

TEST(RetryTest, WhenNoEndpointStartsItTheRequestIsRefusedAsNotRun)
{
    World world;
    world.addEngines(2);
    world.submit(request("r1"));
    std::vector<Reject> refusals;
    for (int round = 0; round < 10 && refusals.empty(); ++round) {
        refusals = all<Reject>(world.finish("r1", Outcome::NotStarted));
        world.tickAfter(seconds(3));
    }
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().run, RunState::NotRun);
    EXPECT_LE(world.order.size(), 3U);
}

// The load reads of two of three engines fail, more than the ejection bound lets out.
TEST(EjectionTest, UnreachableEndpointsGetNothingWhateverTheBound)
{
    World world;
    world.addEngines(3);
    world.scheduler.reachability(EndpointId("e0"), false, world.now);
    world.scheduler.reachability(EndpointId("e1"), false, world.now);
    for (int index = 0; index < 12; ++index) {
        world.submit(request("r" + std::to_string(index)));
    }
    EXPECT_TRUE(world.on["e0"].empty());
    EXPECT_TRUE(world.on["e1"].empty());
    EXPECT_EQ(world.on["e2"].size(), 9U);
    world.take(world.scheduler.reachability(EndpointId("e0"), true, world.now));
    EXPECT_FALSE(world.on["e0"].empty());
}

// The reads fail because this instance's own network does. Refusing all would be worse than trying.
TEST(EjectionTest, WithAllUnreachableAllAreTried)
{
    World world;
    world.addEngines(2);
    world.scheduler.reachability(EndpointId("e0"), false, world.now);
    world.scheduler.reachability(EndpointId("e1"), false, world.now);
    EXPECT_TRUE(has<Dispatch>(world.submit(request("r1"))));
}

// An engine stops answering without closing its connections. A second try elsewhere brings the
// caller its first token; the silent one is cancelled then.
TEST(RetryTest, ALateFirstTokenIsHedgedOnceAndTheLoserCancelled)
{
    World world;
    world.addEngines(2);
    world.submit(repeatable("r1"));
    const auto first = world.endpointOf("r1");
    const auto hedges = all<Dispatch>(world.tickAfter(seconds(5)));
    ASSERT_EQ(hedges.size(), 1U);
    EXPECT_TRUE(hedges.front().hedge);
    EXPECT_NE(hedges.front().endpoint.text(), first);
    const auto effects =
        world.scheduler.firstToken(RequestId("r1"), hedges.front().endpoint, world.now);
    const auto cancels = all<CancelOnEndpoint>(effects);
    ASSERT_EQ(cancels.size(), 1U);
    EXPECT_EQ(cancels.front().endpoint.text(), first);
    EXPECT_TRUE(all<Dispatch>(world.tickAfter(seconds(60))).empty());
}

/// Sends and ends requests; those on `bad` endpoints fail.
int failuresOver(World &world, const std::set<std::string> &bad, int count, const std::string &name)
{
    int failures = 0;
    for (int index = 0; index < count; ++index) {
        const auto id = name + std::to_string(index);
        world.submit(request(id));
        const auto endpoint = world.endpointOf(id);
        if (bad.count(endpoint) != 0) {
            ++failures;
            world.finish(id, Outcome::Failed);
        } else if (!endpoint.empty()) {
            world.now += milliseconds(60);
            world.firstToken(id);
            world.finish(id);
        }
        world.tickAfter(milliseconds(40));
    }
    return failures;
}

// One engine answers every request with an error at once. It always looks idle, so that it draws
// more work than any other; callers see errors until somebody takes it out.
TEST(EjectionTest, AFailingEndpointSoonGetsNoWork)
{
    World world;
    world.addEngines(4);
    EXPECT_LE(failuresOver(world, {"e0"}, 100, "r"), 8);
}

// The other engines are full, so that only the failing one has room. A higher cost does not keep
// work away from the only place that is left; it must be out, and callers wait for a good engine.
TEST(EjectionTest, WorkRatherWaitsThanGoesToAnEjectedEndpoint)
{
    World world;
    world.addEngines(4);
    failuresOver(world, {"e0"}, 60, "r");
    for (int index = 0; index < 60; ++index) {
        world.submit(request("load" + std::to_string(index), "c" + std::to_string(index)));
        world.reportAll(4);
    }
    failuresOver(world, {"e0"}, 40, "under-load");
    world.tickAfter(milliseconds(500));
    const auto before = world.on["e0"].size();
    world.submit(request("next", "next"));
    EXPECT_EQ(world.on["e0"].size(), before);
}

TEST(EjectionTest, AtMostTheStatedShareIsOutAndAFaultOfMostEjectsNone)
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
        ejection.review(group, now);
        return std::count_if(group.begin(), group.end(),
                             [&](EndpointHandle handle) { return ejection.excluded(handle, now); });
    };
    EXPECT_EQ(excludedAfter(1), 1);
    EXPECT_EQ(excludedAfter(3), 0);
}

// One engine takes ten times as long as its reports explain.
TEST(EjectionTest, ASlowEndpointIsLeftOut)
{
    auto options = tightOptions();
    options.retry.hedgeAfter = 0;
    World world(options);
    world.addEngines(4);
    int slow = 0;
    for (int index = 0; index < 200; ++index) {
        const auto id = "r" + std::to_string(index);
        world.submit(request(id));
        const bool onSlow = world.endpointOf(id) == "e0";
        slow += onSlow ? 1 : 0;
        world.tickAfter(onSlow ? milliseconds(2000) : milliseconds(130));
        world.firstToken(id);
        world.finish(id);
    }
    EXPECT_LE(slow, 30) << "a fourth would be 50";
}

// A bad version of the model fails everywhere. If all engines were ejected nobody would be served
// when it is mended; if one were left it would get the load of all.
TEST(EjectionTest, WhenMostFailNoneIsExcluded)
{
    World world;
    world.addEngines(4);
    failuresOver(world, {"e0", "e1", "e2"}, 60, "r");
    const auto dump = world.scheduler.dump(world.now);
    int excluded = 0;
    for (const auto &endpoint : dump["endpoints"]) {
        excluded += endpoint["health"]["excluded"].get<bool>() ? 1 : 0;
    }
    EXPECT_LE(excluded, 1) << "a third of four";
    EXPECT_TRUE(has<Dispatch>(world.submit(request("after"))));
}

// A request kills each engine that runs it, and its caller sends it again and again.
TEST(QuarantineTest, APoisonRequestTakesDownTwoEndpointsAtMost)
{
    World world;
    world.addEngines(6);
    std::set<std::string> died;
    for (int index = 0; index < 20; ++index) {
        const auto id = "p" + std::to_string(index);
        world.submit(poison(id));
        const auto endpoint = world.endpointOf(id);
        if (!endpoint.empty()) {
            died.insert(endpoint);
            world.die(endpoint);
        }
        world.tickAfter(seconds(1));
    }
    EXPECT_EQ(died.size(), 2U);
    const auto refusals = all<Reject>(world.submit(poison("again")));
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().reason, RejectReason::Quarantined);
    EXPECT_GT(refusals.front().retryAfter, seconds(60));
}

// Other callers' requests were on the engines that died. They did nothing wrong and must be served.
TEST(QuarantineTest, NeighboursOnTheSameEndpointAreNotCondemned)
{
    World world;
    world.addEngines(2);
    for (int round = 0; round < 2; ++round) {
        world.submit(poison("p" + std::to_string(round)));
        const auto endpoint = world.endpointOf("p" + std::to_string(round));
        for (std::uint64_t index = 0; index < 12; ++index) {
            auto facts = request("n" + std::to_string(round) + "-" + std::to_string(index));
            facts.fingerprint = 1 + index;
            world.submit(facts);
        }
        world.die(endpoint);
        world.tickAfter(milliseconds(100));
        for (const auto &[other, requests] : std::map(world.on)) {
            for (const auto &id : std::set(requests)) {
                world.finish(id);
            }
        }
    }
    EXPECT_TRUE(has<Reject>(world.submit(poison("again"))));
    for (std::uint64_t index = 0; index < 12; ++index) {
        auto facts = request("later" + std::to_string(index));
        facts.fingerprint = 1 + index;
        EXPECT_FALSE(has<Reject>(world.submit(facts))) << index;
    }
}

// One engine crashes again and again whatever it runs. The request that happened to be there each
// time is not the cause.
TEST(QuarantineTest, AFaultyEndpointDoesNotCondemnARequest)
{
    World world;
    world.addEngines(1);
    for (int index = 0; index < 5; ++index) {
        world.submit(poison("p" + std::to_string(index)));
        world.die("e0");
        world.tickAfter(seconds(1));
    }
    EXPECT_FALSE(has<Reject>(world.submit(poison("again"))));
}

TEST(QuarantineTest, TheDeathOfEndpointsDoesNotEjectThem)
{
    World world;
    world.addEngines(6);
    for (int index = 0; index < 4; ++index) {
        world.submit(poison("p" + std::to_string(index)));
        world.die(world.endpointOf("p" + std::to_string(index)));
        world.tickAfter(seconds(1));
    }
    const auto dump = world.scheduler.dump(world.now);
    for (const auto &endpoint : dump["endpoints"]) {
        EXPECT_FALSE(endpoint["health"]["excluded"].get<bool>());
    }
}

// Two engines died for another reason while the same request was on them. After some minutes it may
// run once, apart from other suspects, and its success clears it.
TEST(QuarantineTest, ThereIsAWayBack)
{
    World world;
    world.addEngines(6);
    for (int index = 0; index < 2; ++index) {
        world.submit(poison("p" + std::to_string(index)));
        world.die(world.endpointOf("p" + std::to_string(index)));
        world.tickAfter(seconds(1));
    }
    EXPECT_TRUE(has<Reject>(world.submit(poison("early"))));
    world.tickAfter(QuarantineOptions().firstQuarantine);
    EXPECT_TRUE(has<Dispatch>(world.submit(poison("trial"))));
    EXPECT_FALSE(has<Dispatch>(world.submit(poison("beside")))) << "one trial at a time";
    world.finish("trial");
    EXPECT_TRUE(has<Dispatch>(world.submit(poison("after"))));
}

// The caller's second and third try come to two other instances, which have heard of the deaths.
TEST(QuarantineTest, NoticesCarryTheVerdictToOtherInstances)
{
    World first;
    first.addEngines(6);
    for (int index = 0; index < 2; ++index) {
        first.submit(poison("p" + std::to_string(index)));
        first.die(first.endpointOf("p" + std::to_string(index)));
        first.tickAfter(milliseconds(100));
    }
    World second;
    second.addEngines(6);
    second.scheduler.mergeSuspects(first.scheduler.suspectNotices(first.now), second.now);
    EXPECT_TRUE(has<Reject>(second.submit(poison("again"))));
}

// A request that nobody suspects is beside one that has killed an engine before.
TEST(QuarantineTest, ADeathIsChargedToTheMostSuspectedAlone)
{
    Quarantine quarantine({});
    const Time now = Time() + seconds(1000);
    quarantine.endpointDied(EndpointId("e1"), {Poison}, now);
    quarantine.endpointDied(EndpointId("e2"), {Poison, 1}, now);
    EXPECT_EQ(quarantine.verdict(Poison, now), Verdict::Quarantined);
    EXPECT_EQ(quarantine.verdict(1, now), Verdict::Clear);
}

// Each of two instances saw one death; only together do they know of two.
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

// The runners at home report room and yet begin nothing, as when each is at its limit of queued
// requests. Callers would get 502 after three tries while Asahikawa has room.
TEST(FailureTest, WhatHomeRefusesUnbegunGoesToAnotherRegion)
{
    World world;
    world.addEngines(4);
    world.scheduler.updateRegions({summary(Asahikawa)}, world.now);
    auto facts = request("r1");
    facts.allowedRegions = {Sapporo, Asahikawa};
    world.submit(facts);
    Effects effects;
    for (int tries = 0; tries < 10 && !has<Forward>(effects) && !has<Reject>(effects); ++tries) {
        effects = world.finish("r1", Outcome::NotStarted);
        if (effects.empty()) {
            effects = world.tickAfter(milliseconds(200));
        }
    }
    EXPECT_TRUE(has<Forward>(effects));
    EXPECT_FALSE(has<Reject>(effects));
}

} // namespace

} // namespace LaburnumChute::Decisions
