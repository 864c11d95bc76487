#include "Support.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr milliseconds Report{400};

/// The endpoint of the own region is full, and "away" reports spare capacity.
class RegionChoiceTest : public SchedulerTest
{
protected:
    void overloadHome(int sparePerSecond)
    {
        setEndpoints({endpoint("a", Plain, 6)});
        setSpareCapacityAway(Plain, sparePerSecond);
        pass(Report);
        setSpareCapacityAway(Plain, sparePerSecond);
        setHomeLoad(FullWithQueue, 99);
    }

    /// Load that instance "two" reports.
    void setHomeLoad(std::uint16_t inFlight, std::uint16_t sentPerSecond,
                     std::uint32_t waitingMs = 0)
    {
        scheduler_.setFleet({InstanceId("one"), InstanceId("two")}, 3, {RegionName("away")});
        RegionLoadReport busy;
        busy.uses = {{shortId(EndpointId("a")), inFlight}};
        busy.services = {{shortId(ServiceName(Plain)), 0, waitingMs, sentPerSecond}};
        scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_);
    }

    std::optional<RegionDecision> choose(const CallFacts &facts, HomeProspect home,
                                         Duration prefill = Duration(0))
    {
        return choice_.choose(facts, {}, home, {{RegionName("away"), prefill}}, now_);
    }

    void reportAway(std::uint16_t waitMs)
    {
        CrossRegionLoadReport report;
        report.spareCapacities = {{shortId(ServiceName(Plain)), 4, 1000, waitMs}};
        spare_.update(RegionName("away"), InstanceId("far"), report, now_);
        spare_.setReachable({RegionName("away")});
    }

    static constexpr std::uint16_t FullWithQueue = 18;
    DispatchOptions options_;
    SpareCapacity spare_{options_};
    RegionChoice choice_{options_, spare_};
};

} // namespace

// Guards against moving balanced load: at home the request takes 60 ms of its objective of 800 ms.
TEST_F(RegionChoiceTest, NothingChangesWithinAFractionOfTheObjective)
{
    overloadHome(1000);
    setHomeLoad(0, 99);
    EXPECT_NE(only<Send>(scheduler_.submit(facts(Plain), now_)), nullptr);
    reportAway(0);
    pass(Report);
    EXPECT_FALSE(choose(facts(Plain), {milliseconds(359), true, false}));
}

// Guards against a choice that changes with each report: the difference of 60 ms is between the
// margins.
TEST_F(RegionChoiceTest, RegionInUseIsKeptForASmallerMargin)
{
    reportAway(220);
    pass(Report);
    reportAway(220);
    const HomeProspect home{milliseconds(400), true, false};
    EXPECT_FALSE(choose(facts(Plain), home));
    const auto sooner = choose(facts(Plain), {milliseconds(430), true, false});
    ASSERT_TRUE(sooner);
    EXPECT_EQ(sooner->reason, ForwardReason::Early);
    spare_.sent(sooner->region, ServiceName(Plain), now_);
    EXPECT_TRUE(choose(facts(Plain), home));
}

// Guards against filling the links between regions with long prompts that would be in time at home,
// and against prefilling them again elsewhere for longer than they would wait.
TEST_F(RegionChoiceTest, LongPromptsLeaveOnlyIfTheyWouldBeLate)
{
    reportAway(30);
    pass(Report);
    auto large = facts(Plain);
    large.bodyBytes = 17000;
    EXPECT_FALSE(choose(large, {milliseconds(700), true, false}));
    EXPECT_TRUE(choose(large, {milliseconds(900), false, false}));
    EXPECT_TRUE(choose(large, {milliseconds(700), false, true}));
    EXPECT_FALSE(choose(large, {milliseconds(900), false, true}, milliseconds(760)));
}

// Guards against forwarding a prompt that would be prefilled from its beginning there, and against
// keeping one at home whose shared part is cached only there. Engines do not copy parts.
TEST_F(RegionChoiceTest, CachedPartsOfOtherRegionsCount)
{
    Catalog::Service model;
    model.name = ServiceName(Model);
    model.engine = Catalog::EngineTraits{8, 300000, false};
    scheduler_.setServices({{model.name, model}}, now_);
    setEndpoints({endpoint("a", Model)});
    auto remote = endpoint("r", Model);
    remote.record.failureDomain = Common::FailureDomainName("far-zone");
    scheduler_.setRemoteEndpoints({remote});
    scheduler_.setRegions({{Common::FailureDomainName("far-zone"), RegionName("away")}});
    setSpareCapacityAway(Model, 1000);
    pass(Report);
    for (const bool cached : {false, true}) {
        // A part that was sent to "a" before is of no use, since that engine has restarted.
        setEndpoints({});
        setEndpoints({endpoint("a", Model)});
        CrossRegionLoadReport report;
        report.spareCapacities = {{shortId(ServiceName(Model)), 1, 1000, 30}};
        report.placements = {{shortId(remote.record.id), cached ? 1U : 2U, SharedTokens}};
        scheduler_.setCrossRegionLoadReport(RegionName("away"), InstanceId("far"), report, now_);
        // The engine prefills another prompt for 117 ms first.
        auto other = facts(Model, RequestKind::Stream);
        other.promptTokens = 3750;
        scheduler_.submit(other, now_);
        const auto effects = scheduler_.submit(longCall(1), now_);
        EXPECT_EQ(only<Forward>(effects) != nullptr, cached);
        scheduler_.ended(nextId_ - 1, AttemptOutcome::Completed, false, now_);
        scheduler_.ended(nextId_ - 2, AttemptOutcome::Completed, false, now_);
        pass(seconds(1));
    }
}

// Guards against rejecting a large request at home, by the margin for estimation errors, without
// asking the other regions.
TEST_F(RegionChoiceTest, LargeRequestThatHomeRejectsIsForwarded)
{
    for (const bool large : {false, true}) {
        overloadHome(1000);
        setHomeLoad(FullWithQueue, 99, 2700);
        auto call = facts(Plain);
        call.bodyBytes = large ? 17000 : 500;
        EXPECT_NE(only<Forward>(scheduler_.submit(call, now_)), nullptr) << large;
    }
}

TEST_F(RegionChoiceTest, StaleReportsAreNotUsed)
{
    overloadHome(1000);
    pass(milliseconds(1600));
    setHomeLoad(FullWithQueue, 99);
    EXPECT_EQ(only<Forward>(scheduler_.submit(facts(Plain), now_)), nullptr);
}

// The link is cut, or the region has filled up and rejects. Guards against a rejection of a request
// for which the own region has a slot by then, and against a second forward to that region.
TEST_F(RegionChoiceTest, RequestThatDidNotRunElsewhereIsPlacedAtHome)
{
    for (const auto outcome : {AttemptOutcome::NotConnected, AttemptOutcome::NotRun}) {
        overloadHome(1000);
        const auto call = facts(Plain);
        ASSERT_NE(only<Forward>(scheduler_.submit(call, now_)), nullptr);
        pass(milliseconds(120));
        setHomeLoad(0, 99);
        EXPECT_NE(only<Send>(scheduler_.ended(call.id, outcome, true, now_)), nullptr);
        pass(seconds(3));
    }
}

TEST_F(RegionChoiceTest, OwnRegionDecidesWhileAllAreFull)
{
    overloadHome(0);
    EXPECT_TRUE(scheduler_.submit(facts(Plain), now_).empty());
    EXPECT_EQ(scheduler_.waiting(), 1U);
}

// Guards against spare capacity that is held by an instance which needs none: "two" sends 99 of the
// region's requests.
TEST_F(RegionChoiceTest, SpareCapacityIsDividedByDemand)
{
    overloadHome(40);
    scheduler_.tick(now_);
    pass(Report);
    setSpareCapacityAway(Plain, 40);
    setHomeLoad(FullWithQueue, 99);
    scheduler_.tick(now_);
    pass(Report);
    int forwards = 0;
    for (int index = 0; index < 20; ++index) {
        forwards += only<Forward>(scheduler_.submit(facts(Plain), now_)) != nullptr ? 1 : 0;
    }
    EXPECT_LE(forwards, 1);
}

} // namespace LaburnumChute::Dispatch
