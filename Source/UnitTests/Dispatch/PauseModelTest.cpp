#include "Dispatch/PauseModel.h"

#include "Dispatch/Dispatch.h"
#include "Support.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr std::size_t Large = 5;
constexpr std::uint32_t LargePrompt = 17000;

PauseReport report(std::uint16_t streams, std::uint16_t paused)
{
    PauseReport result;
    result.classes.resize(Large + 1);
    result.classes.front() = {streams, 0};
    result.classes.back() = {streams, paused};
    return result;
}

/// @param now of the end, at least a second after the previous call
void end(PauseModel &model, std::size_t largest, int streams, int paused, Time now)
{
    for (int index = 0; index < streams; ++index) {
        model.ended(largest, index < paused, now);
    }
    model.refresh(now);
}

} // namespace

class PauseModelTest : public testing::Test
{
protected:
    PauseModel model_;
    Time now_ = Time(seconds(1000));
};

// Guards against costs that follow from a few streams, or from pauses that are rare.
TEST_F(PauseModelTest, IsActiveOnlyWithSufficientEvidence)
{
    end(model_, Large, 20, 10, now_);
    EXPECT_FALSE(model_.active());
    EXPECT_EQ(model_.share(LargePrompt), 0);
    end(model_, Large, 20, 10, now_ + seconds(1));
    EXPECT_TRUE(model_.active());
    EXPECT_NEAR(model_.share(LargePrompt), 0.5, 0.01);
    EXPECT_EQ(model_.share(500), 0);
    PauseModel rare;
    end(rare, Large, 2000, 60, now_);
    EXPECT_FALSE(rare.active());
}

// Guards against avoiding prompts because of pauses with other causes.
TEST_F(PauseModelTest, PausesWithoutPromptsAreSubtracted)
{
    end(model_, 0, 400, 80, now_);
    end(model_, Large, 400, 80, now_ + seconds(1));
    EXPECT_FALSE(model_.active());
}

// Guards against a share that is lower for larger prompts by chance.
TEST_F(PauseModelTest, NeighboringSizesSupportEachOther)
{
    end(model_, Large, 100, 30, now_);
    end(model_, Large + 1, 10, 0, now_ + seconds(1));
    EXPECT_NEAR(model_.share(40000), 30.0 / 110, 0.01);
    EXPECT_DOUBLE_EQ(model_.share(40000), model_.share(LargePrompt));
}

// Guards against costs that come and go because the evidence becomes rare while they are used.
TEST_F(PauseModelTest, RemainsActiveUntilTheEvidenceIsOutdated)
{
    end(model_, Large, 100, 30, now_);
    end(model_, 0, 1, 0, now_ + seconds(120));
    EXPECT_TRUE(model_.active());
    end(model_, 0, 1, 0, now_ + seconds(400));
    EXPECT_FALSE(model_.active());
}

// Guards against reports with wrong or absurd counts: one instance cannot outweigh the others.
TEST_F(PauseModelTest, OneInstanceDoesNotOutweighTheOthers)
{
    end(model_, Large, 100, 0, now_);
    model_.learn(InstanceId("two"), report(100, 0), now_);
    model_.learn(InstanceId("three"), report(60000, 65535), now_);
    model_.refresh(now_ + seconds(2));
    EXPECT_FALSE(model_.active());
    model_.learn(InstanceId("two"), report(100, 40), now_);
    end(model_, Large, 60, 40, now_ + seconds(4));
    EXPECT_TRUE(model_.active());
    EXPECT_LE(model_.share(LargePrompt), 0.75);
}

// Guards against the loss of what an instance knows when others' reports are lost, and against
// counts of instances that are gone.
TEST_F(PauseModelTest, CountsOfOthersAreAddedAndDropped)
{
    end(model_, Large, 20, 8, now_);
    model_.learn(InstanceId("two"), report(200, 80), now_);
    model_.learn(InstanceId("three"), report(200, 60), now_);
    model_.refresh(now_ + seconds(2));
    EXPECT_TRUE(model_.active());
    model_.keep({InstanceId("one")});
    model_.refresh(now_ + seconds(3));
    EXPECT_NEAR(model_.share(LargePrompt), 0.4, 0.01);
}

class StreamPausesOfSchedulerTest : public SchedulerTest
{
protected:
    static constexpr milliseconds Allowed{300};

    StreamPausesOfSchedulerTest()
    {
        setEndpoints({endpoint("a", Model), endpoint("b", Model), endpoint("c", Model)});
        scheduler_.setFleet({InstanceId("one"), InstanceId("two"), InstanceId("three")}, 3, {});
    }

    /// Reports many paused streams from two instances.
    void reportPauses(const std::vector<EndpointUse> &uses)
    {
        // Reports are applied to the services that requests have been placed for.
        submitShort();
        RegionLoadReport loadReport;
        loadReport.pauses = {report(500, 200)};
        loadReport.pauses.front().service = shortId(ServiceName(Model));
        scheduler_.setRegionLoadReport(InstanceId("two"), loadReport, now_);
        loadReport.uses = uses;
        scheduler_.setRegionLoadReport(InstanceId("three"), loadReport, now_);
        pass(milliseconds(200));
    }

    Send submitShort()
    {
        auto call = facts(Model, RequestKind::Stream);
        call.promptTokens = 300;
        call.longestPause = Allowed;
        const auto effects = scheduler_.submit(call, now_);
        return std::get<Send>(effects.at(0));
    }

    /// Ends a stream with the pause beside a prompt that starts on its engine.
    void endStream(milliseconds pause)
    {
        const auto send = submitShort();
        scheduler_.answering(send.call, now_);
        pass(milliseconds(1));
        scheduler_.learn(
            PromptNotices{InstanceId("two"), {{shortId(send.endpoint), LargePrompt, {}, 0, 0}}},
            now_);
        pass(pause);
        scheduler_.progressed(send.call, 1, pause, now_);
        scheduler_.ended(send.call, AttemptOutcome::Completed, false, now_);
        pass(seconds(2));
    }
};

// Guards against counting streams in the wrong class, or those that were not paused too long.
TEST_F(StreamPausesOfSchedulerTest, StreamsAreCountedByTheLargestPromptBesideThem)
{
    endStream(Allowed + milliseconds(50));
    endStream(Allowed - milliseconds(50));
    const auto counted = scheduler_.regionLoadReport(now_).pauses.at(0).classes;
    ASSERT_EQ(counted.size(), Large + 1);
    EXPECT_EQ(counted.back().streams, 2);
    EXPECT_EQ(counted.back().paused, 1);
}

// Guards against a large prefill at an engine with many streams while another has few.
TEST_F(StreamPausesOfSchedulerTest, LargePrefillsAvoidEnginesWithManyStreams)
{
    reportPauses({{shortId(EndpointId("a")), 3}, {shortId(EndpointId("b")), 3}});
    // The engine with few streams would be avoided because it prefills another prompt.
    scheduler_.learn(
        PromptNotices{InstanceId("three"), {{shortId(EndpointId("c")), 2500, {}, 0, 0}}}, now_);
    auto call = longCall(1);
    // With a long deadline, the constant cost of a disturbance is small.
    call.deadline = now_ + seconds(60);
    const auto effects = scheduler_.submit(call, now_);
    EXPECT_EQ(std::get<Send>(effects.at(0)).endpoint, EndpointId("c"));
}

// Guards against short streams at all engines, and against requests that wait for an engine of the
// group that has left or has no free slot.
TEST_F(StreamPausesOfSchedulerTest, ShortStreamsPreferTheNextEngineOnceOneIsLostOrFull)
{
    reportPauses({});
    const auto first = submitShort();
    EXPECT_EQ(submitShort().endpoint, first.endpoint);
    scheduler_.leavingSeen(first.endpoint);
    const auto second = submitShort();
    EXPECT_EQ(second.grouped, true);
    EXPECT_NE(second.endpoint, first.endpoint);
    scheduler_.loadSeen(second.endpoint, {8, 2, 8, std::nullopt}, now_);
    EXPECT_EQ(submitShort().grouped, false);
}

// Guards against a group of all engines because of an absurd number of streams in one report.
TEST(LoadEstimateTest, ShortStreamsOfOneInstanceAreBoundedByThoseOfAllOthers)
{
    LoadEstimate estimate;
    RegionLoadReport loadReport;
    loadReport.services = {{7, 0, 0, 0, 65535}};
    estimate.reported(InstanceId("two"), loadReport, Time());
    EXPECT_EQ(estimate.shortStreams(7, 20), 40);
}

} // namespace LaburnumChute::Dispatch
