#include <random>

#include "Dispatch/Silence.h"
#include "Support.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr milliseconds Expected{100};

/// Answers of which one in seven states 250; they take 2.5 times as long if the figures are true.
void answer(SpeedModel &model, int count, bool trueFigures)
{
    std::mt19937 random(3);
    std::exponential_distribution<double> scatter(1);
    for (int index = 0; index < count; ++index) {
        const double factor = index % 7 == 0 ? 2.5 : 1;
        const double took = scatter(random) * (trueFigures ? factor : 1);
        model.answerSeen(Expected, scaled(Expected, factor / 1.2), scaled(Expected, took));
    }
}

} // namespace

// Guards against a dependence on figures that no endpoint states.
TEST(EndpointSpeedTest, WithoutAFigureTheFactorIsExactlyOne)
{
    EXPECT_EQ(EndpointSpeed().factor(SpeedModel(), Time(seconds(9))), 1);
    EXPECT_EQ(EndpointState().workFactor(Time(seconds(9))), 1);
}

// Guards against taking a machine for slow long after its last figure, as when reports are lost.
TEST(EndpointSpeedTest, AFigureLosesItsValueWithAge)
{
    SpeedModel model;
    EndpointSpeed speed;
    speed.learn({250, Time(seconds(1))});
    EXPECT_NEAR(speed.factor(model, Time(seconds(1))), 2.5, 0.01);
    EXPECT_NEAR(speed.factor(model, Time(seconds(4))), 1, 0.01);
}

// Guards against reports that arrive late, and against figures of an earlier run of an endpoint.
TEST(EndpointSpeedTest, OlderFiguresAreNotTaken)
{
    SpeedModel model;
    EndpointSpeed speed{Time(seconds(2))};
    speed.learn({250, Time(seconds(1))});
    EXPECT_EQ(speed.factor(model, Time(seconds(2))), 1);
    speed.record({100, Time(seconds(4))}, model);
    speed.learn({250, Time(seconds(3))});
    EXPECT_EQ(speed.last()->percent, 100);
}

// Guards against a hold time that fits only one deployment.
TEST(EndpointSpeedTest, HoldTimeFollowsHowLongFiguresLast)
{
    for (const int slowMs : {150, 1500}) {
        SpeedModel model;
        EndpointSpeed speed;
        for (int at = 0; at < 60000; at += 50) {
            const bool slow = at % (slowMs * 7) < slowMs;
            speed.record({slow ? 250 : 100, Time(milliseconds(at))}, model);
        }
        EXPECT_GE(model.holdTime(), milliseconds(slowMs / 3));
        EXPECT_LE(model.holdTime(), milliseconds(slowMs * 2));
    }
}

// Guards against false figures that direct requests to slow endpoints.
TEST(EndpointSpeedTest, FiguresAreUsedOnlyWhileTheyExplainTheTimes)
{
    SpeedModel model;
    answer(model, 1000, false);
    EXPECT_FALSE(model.explainsTimes());
    answer(model, 1500, true);
    EXPECT_TRUE(model.explainsTimes());
    answer(model, 3000, false);
    EXPECT_FALSE(model.explainsTimes());
}

// Guards against reports that grow with every answer, and against avoiding a machine that is usual
// again.
TEST(EndpointSpeedTest, DeviationsAndTheirEndsAreReportedOnce)
{
    SpeedModel model;
    EndpointSpeed speed;
    const std::optional<int> reported[] = {std::nullopt, 250, 100, std::nullopt};
    const int stated[] = {100, 250, 100, 100};
    for (int index = 0; index < 4; ++index) {
        speed.record({stated[index], Time(milliseconds(100 * index))}, model);
        const auto report = speed.takeReport();
        EXPECT_EQ(report ? std::optional(report->percent) : std::nullopt, reported[index]) << index;
        EXPECT_FALSE(speed.takeReport());
    }
}

// Guards against taking a slow machine for a silent endpoint.
TEST(EndpointSpeedTest, ASlowMachineIsNotSilent)
{
    Call call;
    call.expected = Expected;
    const DispatchOptions options;
    EXPECT_EQ(overdueAfter(call, options, 1), options.silenceFloor);
    EXPECT_EQ(overdueAfter(call, options, 2), 2 * options.silenceFloor);
}

// Guards against figures that survive a restart, and against an age that is lost on the way.
TEST_F(SchedulerTest, ARestartedEndpointHasNoFigures)
{
    auto listed = endpoint("a", Model);
    setEndpoints({listed});
    const auto factor = [this] {
        return scheduler_.dump(now_)["endpoints"][0]["stated_work_factor"].get<double>();
    };
    pass(milliseconds(3000));
    RegionLoadReport report;
    report.speeds = {{shortId(listed.record.id), 250, 1000}};
    scheduler_.setRegionLoadReport(InstanceId("two"), report, now_);
    EXPECT_GT(factor(), 1);
    EXPECT_LT(factor(), 1.3);
    ++listed.record.startedAt;
    setEndpoints({listed});
    EXPECT_EQ(factor(), 1);
    scheduler_.setRegionLoadReport(InstanceId("two"), report, now_);
    EXPECT_EQ(factor(), 1);
}

// Guards against counting a slow machine twice, by its figures and by the endpoint's slowness.
TEST_F(SchedulerTest, ASlowMachineIsNoSlowEndpoint)
{
    setEndpoints({endpoint("a", Model)});
    double slowest = 0;
    double fastest = 10;
    for (int index = 0; index < 700; ++index) {
        const int percent = index % 7 < 2 ? 250 : 100;
        auto call = longCall(1);
        call.parts.clear();
        const auto effects = scheduler_.submit(call, now_);
        const auto *send = only<Send>(effects);
        ASSERT_TRUE(send);
        pass(milliseconds(25 + 4 * percent));
        scheduler_.loadSeen(send->endpoint, {1, 0, 8, percent}, now_);
        scheduler_.answering(call.id, now_);
        scheduler_.ended(call.id, AttemptOutcome::Completed, false, now_);
        const auto dumped = scheduler_.dump(now_)["endpoints"][0];
        if (index >= 350) {
            slowest = std::max(slowest, dumped["slowness"].get<double>());
            fastest = std::min(fastest, dumped["slowness"].get<double>());
        }
    }
    EXPECT_LT(slowest, 1.05 * fastest);
    EXPECT_NE(scheduler_.dump(now_)["endpoints"][0]["work_factor"], 1.0);
}

} // namespace LaburnumChute::Dispatch
