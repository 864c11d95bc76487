#include "Support.h"

namespace LaburnumChute::Dispatch {

// Guards against prefilling a large shared part again on another engine, which would take a third
// of a second during which other requests wait.
TEST_F(SchedulerTest, RequestGoesWhereItsPromptIsCached)
{
    setEndpoints({endpoint("a", Model), endpoint("b", Model), endpoint("c", Model)});
    const auto first = longCall(1);
    const auto placed = scheduler_.submit(first, now_);
    ASSERT_NE(only<Send>(placed), nullptr);
    const auto holder = only<Send>(placed)->endpoint;
    scheduler_.answering(first.id, now_);
    scheduler_.ended(first.id, AttemptOutcome::Completed, false, now_);
    for (int index = 0; index < 5; ++index) {
        pass(milliseconds(2000));
        const auto next = longCall(1);
        const auto effects = scheduler_.submit(next, now_);
        EXPECT_EQ(only<Send>(effects)->endpoint, holder);
        EXPECT_FALSE(only<Send>(effects)->copyCacheFrom);
        scheduler_.answering(next.id, now_);
        scheduler_.ended(next.id, AttemptOutcome::Completed, false, now_);
    }
}

// Many requests share one part. If all went to the engine that has it cached, they would wait for
// each other while other engines are idle; copying the part takes milliseconds.
TEST_F(SchedulerTest, HotPartIsCopiedRatherThanWaitedFor)
{
    setEndpoints({endpoint("a", Model), endpoint("b", Model), endpoint("c", Model)});
    std::set<EndpointId> used;
    int copies = 0;
    for (int index = 0; index < 9; ++index) {
        const auto effects = scheduler_.submit(longCall(1), now_);
        ASSERT_NE(only<Send>(effects), nullptr);
        used.insert(only<Send>(effects)->endpoint);
        copies += only<Send>(effects)->copyCacheFrom ? 1 : 0;
    }
    EXPECT_EQ(used.size(), 3U);
    EXPECT_GE(copies, 1);
}

// The part is cached in another region only. Copying it takes a tenth of the time of its prefill.
TEST_F(SchedulerTest, PromptIsCopiedFromAnotherRegion)
{
    setEndpoints({endpoint("a", Model)});
    scheduler_.setRemoteEndpoints({endpoint("far", Model)});
    CrossRegionLoadReport loadReport;
    loadReport.placements = {{shortId(EndpointId("far")), 1, SharedTokens}};
    scheduler_.setCrossRegionLoadReport(RegionName("away"), InstanceId("two"), loadReport, now_);
    const auto effects = scheduler_.submit(longCall(1), now_);
    ASSERT_NE(only<Send>(effects), nullptr);
    EXPECT_EQ(only<Send>(effects)->copyCacheFrom, "far:80");
}

TEST_F(SchedulerTest, WhatAnotherInstancePlacedIsKnownHere)
{
    setEndpoints({endpoint("a", Model), endpoint("b", Model), endpoint("c", Model)});
    RegionLoadReport loadReport;
    loadReport.placements = {{shortId(EndpointId("b")), 1, SharedTokens}};
    scheduler_.setRegionLoadReport(InstanceId("two"), loadReport, now_);
    const auto effects = scheduler_.submit(longCall(1), now_);
    EXPECT_EQ(only<Send>(effects)->endpoint, EndpointId("b"));
}

// Another instance sends an engine a long prompt with half a second of prefill. Guards against
// sending there before the next load report: the caller would wait behind that prompt while another
// engine is idle.
TEST_F(SchedulerTest, PromptsThatOthersJustSentAreKnownAtOnce)
{
    setEndpoints({endpoint("a", Model), endpoint("b", Model)});
    scheduler_.setFleet({InstanceId("one"), InstanceId("two")}, 2, {});
    Scheduler other(DispatchOptions(), InstanceId("two"), RegionName("home"), 99, Time());
    Catalog::Service model;
    model.name = ServiceName(Model);
    model.engine = Catalog::EngineTraits{8, 300000, true};
    other.setServices({{model.name, model}}, now_);
    other.setEndpoints(endpoints_, {}, now_);
    other.setFleet({InstanceId("one"), InstanceId("two")}, 2, {});
    const auto placed = other.submit(longCall(1), now_);
    const auto busy = only<Send>(placed)->endpoint;
    scheduler_.learn(other.takeNotices(), now_);
    EXPECT_TRUE(other.takeNotices().prompts.empty());
    for (std::uint64_t part = 2; part < 4; ++part) {
        auto call = facts(Model, RequestKind::Stream);
        call.promptTokens = 300;
        EXPECT_NE(only<Send>(scheduler_.submit(call, now_))->endpoint, busy);
    }
    // The cached part is known, too: another request with it is sent to the same engine.
    pass(seconds(2));
    EXPECT_EQ(only<Send>(scheduler_.submit(longCall(1), now_))->endpoint, busy);
}

// One engine runs seven streams and prefills prompts all the time, another one runs none. Guards
// against sending one more long prompt to the first: all seven streams would pause during its
// prefill, and some would miss their deadline.
TEST_F(SchedulerTest, LongPromptsKeepAwayFromEnginesWithManyStreams)
{
    setEndpoints({endpoint("a", Model, 32), endpoint("b", Model, 32)});
    // The engine has been prefilling for the last two seconds.
    for (int index = 0; index < 4; ++index) {
        scheduler_.learn({InstanceId("two"), {{shortId(EndpointId("a")), 20000, {}}}}, now_);
        pass(milliseconds(600));
    }
    RegionLoadReport busy;
    busy.uses = {{shortId(EndpointId("a")), 7}};
    scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_);
    // The other engine has to prefill another prompt first.
    scheduler_.learn({InstanceId("two"), {{shortId(EndpointId("b")), 8000, {}}}}, now_);
    auto effects = scheduler_.submit(longCall(1), now_);
    // The request may be queued until then.
    for (int step = 0; effects.empty() && step < 20; ++step) {
        pass(milliseconds(20));
        effects = scheduler_.tick(now_);
    }
    ASSERT_NE(only<Send>(effects), nullptr);
    EXPECT_EQ(only<Send>(effects)->endpoint, EndpointId("b"));
}

// Two instances get the first requests for a part at the same time, before either has notified the
// other. Guards against each having a different engine prefill it.
TEST_F(SchedulerTest, InstancesAgreeOnTheEngineOfANewPart)
{
    Scheduler other(DispatchOptions(), InstanceId("two"), RegionName("home"), 99, Time());
    Catalog::Service model;
    model.name = ServiceName(Model);
    model.engine = Catalog::EngineTraits{8, 300000, true};
    other.setServices({{model.name, model}}, now_);
    setEndpoints({endpoint("a", Model), endpoint("b", Model), endpoint("c", Model)});
    other.setEndpoints(endpoints_, {}, now_);
    for (std::uint64_t part = 1; part <= 10; ++part) {
        const auto here = longCall(part);
        const auto there = longCall(part);
        const auto placedHere = scheduler_.submit(here, now_);
        const auto placedThere = other.submit(there, now_);
        EXPECT_EQ(only<Send>(placedHere)->endpoint, only<Send>(placedThere)->endpoint);
        scheduler_.answering(here.id, now_);
        scheduler_.ended(here.id, AttemptOutcome::Completed, false, now_);
        other.answering(there.id, now_);
        other.ended(there.id, AttemptOutcome::Completed, false, now_);
        pass(milliseconds(1000));
    }
}

TEST_F(SchedulerTest, LeavingAndEvacuatedEndpointsGetNothing)
{
    auto leaving = endpoint("a", Plain);
    leaving.leaving = true;
    auto evacuated = endpoint("b", Plain);
    evacuated.record.failureDomain = Common::FailureDomainName("burning");
    scheduler_.setEndpoints({leaving, evacuated, endpoint("c", Plain)},
                            {Common::FailureDomainName("burning")}, now_);
    for (int index = 0; index < 8; ++index) {
        const auto effects = scheduler_.submit(facts(Plain), now_);
        EXPECT_EQ(only<Send>(effects)->endpoint, EndpointId("c"));
    }
}

// The engines of a failure domain that returns to service may have become cold without requests.
// Guards against sending all queued requests there at once.
TEST_F(SchedulerTest, EndpointsThatComeBackFromAnEvacuationBeginWithFewRequests)
{
    scheduler_.setEndpoints({endpoint("a", Model)}, {Common::FailureDomainName("zone")}, now_);
    scheduler_.setEndpoints({endpoint("a", Model)}, {}, now_);
    int sent = 0;
    for (int index = 0; index < 8; ++index) {
        sent += only<Send>(scheduler_.submit(facts(Model), now_)) != nullptr ? 1 : 0;
    }
    EXPECT_LT(sent, 8);
}

// An address is reused by another endpoint while the record of the previous one still exists.
TEST_F(SchedulerTest, OfTwoEndpointsAtOneAddressTheLaterOneCounts)
{
    auto former = endpoint("a", Plain);
    auto later = endpoint("b", Plain);
    later.record.address = former.record.address;
    later.record.startedAt = 5;
    setEndpoints({former, later});
    for (int index = 0; index < 5; ++index) {
        const auto effects = scheduler_.submit(facts(Plain), now_);
        EXPECT_EQ(only<Send>(effects)->endpoint, EndpointId("b"));
    }
}

// Guards against an endpoint with a closed port attracting every request because it looks idle.
TEST_F(SchedulerTest, EndpointThatRefusesConnectionsIsEjected)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    int failures = 0;
    for (int index = 0; index < 50; ++index) {
        const auto call = facts(Plain);
        auto effects = scheduler_.submit(call, now_);
        while (only<Send>(effects) != nullptr && only<Send>(effects)->endpoint == EndpointId("a")) {
            ++failures;
            effects = scheduler_.ended(call.id, AttemptOutcome::NotConnected, true, now_);
        }
        scheduler_.ended(call.id, AttemptOutcome::Completed, false, now_);
        pass(milliseconds(20));
    }
    EXPECT_LE(failures, 4);
}

// After its ejection time an endpoint gets a single probe request first; when that succeeds, it
// gets all others.
TEST_F(SchedulerTest, EndpointThatAnswersAgainIsInService)
{
    setEndpoints({endpoint("a", Plain)});
    const auto first = facts(Plain);
    scheduler_.submit(first, now_);
    scheduler_.ended(first.id, AttemptOutcome::NotConnected, true, now_);
    pass(milliseconds(300));
    const auto probe = facts(Plain);
    ASSERT_NE(only<Send>(scheduler_.submit(probe, now_)), nullptr);
    EXPECT_EQ(only<Send>(scheduler_.submit(facts(Plain), now_)), nullptr);
    const auto effects = scheduler_.ended(probe.id, AttemptOutcome::Completed, false, now_);
    EXPECT_NE(only<Send>(effects), nullptr);
}

TEST_F(SchedulerTest, HomesAreAHardBound)
{
    setEndpoints({endpoint("a", Plain)});
    setSpareCapacityAway(Plain, 100);
    auto elsewhere = facts(Plain);
    elsewhere.allowedRegions = {RegionName("third")};
    EXPECT_NE(only<Reject>(scheduler_.submit(elsewhere, now_)), nullptr);
    auto away = facts(Plain);
    away.allowedRegions = {RegionName("away")};
    EXPECT_NE(only<Forward>(scheduler_.submit(away, now_)), nullptr);
}

// All processes were restarted. Guards against rejecting requests that only another region may
// serve in the half second before its first load report.
TEST_F(SchedulerTest, YoungProcessWaitsForTheFirstReportOfTheOnlyAllowedRegion)
{
    Scheduler young(DispatchOptions(), InstanceId("one"), RegionName("home"), 7, now_);
    auto call = facts(Plain);
    call.allowedRegions = {RegionName("away")};
    EXPECT_TRUE(young.submit(call, now_).empty());
    pass(milliseconds(200));
    EXPECT_TRUE(young.tick(now_).empty());
    young.setFleet({InstanceId("one")}, 2, {RegionName("away")});
    CrossRegionLoadReport report;
    report.spareCapacities = {{shortId(ServiceName(Plain)), 4, 100, 30}};
    young.setCrossRegionLoadReport(RegionName("away"), InstanceId("far"), report, now_);
    const auto effects = young.tick(now_);
    EXPECT_NE(only<Forward>(effects), nullptr);
}

// Guards against rejecting requests between the first load report of the only allowed region and
// the next look at which instances can be reached.
TEST_F(SchedulerTest, YoungProcessWaitsUntilTheOnlyAllowedRegionCanBeReached)
{
    Scheduler young(DispatchOptions(), InstanceId("one"), RegionName("home"), 7, now_);
    CrossRegionLoadReport report;
    report.spareCapacities = {{shortId(ServiceName(Plain)), 4, 100, 30}};
    young.setCrossRegionLoadReport(RegionName("away"), InstanceId("far"), report, now_);
    auto call = facts(Plain);
    call.allowedRegions = {RegionName("away")};
    EXPECT_TRUE(young.submit(call, now_).empty());
    young.setFleet({InstanceId("one")}, 2, {RegionName("away")});
    const auto effects = young.tick(now_);
    EXPECT_NE(only<Forward>(effects), nullptr);
}

TEST_F(SchedulerTest, YoungProcessRejectsWhatNoRegionHasReportedInTime)
{
    Scheduler young(DispatchOptions(), InstanceId("one"), RegionName("home"), 7, now_);
    auto call = facts(Plain);
    call.allowedRegions = {RegionName("away")};
    EXPECT_TRUE(young.submit(call, now_).empty());
    pass(milliseconds(500));
    const auto effects = young.tick(now_);
    ASSERT_NE(only<Reject>(effects), nullptr);
    EXPECT_EQ(only<Reject>(effects)->reason, RejectReason::NoEndpoint);
    auto withdrawn = facts(Plain);
    withdrawn.allowedRegions = {RegionName("away")};
    EXPECT_TRUE(young.submit(withdrawn, now_).empty());
    young.withdraw(withdrawn.id, now_);
    EXPECT_FALSE(young.knows(withdrawn.id));
    EXPECT_TRUE(young.tick(now_).empty());
}

// Guards against waiting where it is known at once that no region has an endpoint.
TEST_F(SchedulerTest, YoungProcessRejectsAtOnceWhatAllRegionsHaveNoEndpointFor)
{
    Scheduler young(DispatchOptions(), InstanceId("one"), RegionName("home"), 7, now_);
    young.setFleet({InstanceId("one")}, 2, {RegionName("away")});
    CrossRegionLoadReport report;
    report.spareCapacities = {{shortId(ServiceName(Plain)), 0, 0, 0}};
    young.setCrossRegionLoadReport(RegionName("away"), InstanceId("far"), report, now_);
    EXPECT_NE(only<Reject>(young.submit(facts(Plain), now_)), nullptr);
    auto atHomeOnly = facts(Plain);
    atHomeOnly.allowedRegions = {RegionName("home")};
    EXPECT_NE(only<Reject>(young.submit(atHomeOnly, now_)), nullptr);
    young.setFleet({InstanceId("one")}, 1, {});
    auto away = facts(Plain);
    away.allowedRegions = {RegionName("away")};
    EXPECT_NE(only<Reject>(young.submit(away, now_)), nullptr);
}

TEST_F(SchedulerTest, ForwardedRequestIsNotForwardedAgain)
{
    setSpareCapacityAway(Plain, 100);
    auto call = facts(Plain);
    call.forwarded = true;
    EXPECT_NE(only<Reject>(scheduler_.submit(call, now_)), nullptr);
}

// The only endpoint of a service in a region is being replaced: requests are forwarded to another
// region.
TEST_F(SchedulerTest, RegionWithoutAnEndpointForwardsToAnother)
{
    setSpareCapacityAway(Plain, 100);
    EXPECT_NE(only<Forward>(scheduler_.submit(facts(Plain), now_)), nullptr);
}

// A request crashes every endpoint that runs it, and its caller retries it. Guards against it
// crashing one endpoint after the other.
TEST_F(SchedulerTest, RequestThatCrashesItsEndpointsIsRejected)
{
    setEndpoints(
        {endpoint("a", Plain), endpoint("b", Plain), endpoint("c", Plain), endpoint("d", Plain)});
    int crashes = 0;
    for (int attempt = 0; attempt < 8; ++attempt) {
        auto poison = facts(Plain);
        poison.fingerprint = 4711;
        poison.maxRuns = 1;
        const auto effects = scheduler_.submit(poison, now_);
        const auto *send = only<Send>(effects);
        if (send == nullptr) {
            EXPECT_EQ(only<Reject>(effects)->reason, RejectReason::Quarantined);
            // It would be rejected again until the quarantine ends.
            EXPECT_GE(only<Reject>(effects)->retryAfter, seconds(300));
            continue;
        }
        ++crashes;
        const auto crashed = send->endpoint;
        scheduler_.ended(poison.id, AttemptOutcome::Broken, false, now_);
        // Other requests find the port closed.
        for (int probe = 0; probe < 12; ++probe) {
            auto innocent = facts(Plain);
            auto effects = scheduler_.submit(innocent, now_);
            while (only<Send>(effects) != nullptr) {
                const bool dead = only<Send>(effects)->endpoint == crashed;
                effects = scheduler_.ended(
                    innocent.id, dead ? AttemptOutcome::NotConnected : AttemptOutcome::Completed,
                    true, now_);
            }
        }
        // The crashed endpoint restarts under its old id.
        pass(seconds(4));
        for (auto &each : endpoints_) {
            each.record.startedAt += each.record.id == crashed ? 1 : 0;
        }
        scheduler_.setEndpoints(endpoints_, {}, now_);
    }
    EXPECT_LE(crashes, 3);
}

} // namespace LaburnumChute::Dispatch
