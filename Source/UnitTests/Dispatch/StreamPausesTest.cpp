#include <gtest/gtest.h>

#include "RegionSimulation.h"

namespace LaburnumChute::Dispatch::RegionLoad {

namespace {

/// Engines that prefill in large chunks: an event takes ten times as long meanwhile.
Load engines()
{
    Load load;
    load.longPerEngine = 0.5;
    load.shortPerEngine = 10;
    load.sharedParts = 1200;
    load.eventTime = milliseconds(36);
    load.eventTimeBesidePrefill = milliseconds(350);
    load.longestPause = milliseconds(290);
    load.warmUp = milliseconds(8000);
    load.measured = milliseconds(12000);
    return load;
}

} // namespace

// Guards against prompts that start at engines with many streams, and short streams at all engines.
TEST(StreamPausesTest, FewerStreamsArePausedThanWithoutAStatedPause)
{
    constexpr double PausedRatio = 0.5;
    constexpr double Loss = 0.01;
    for (const std::size_t instances : {1, 8, 24}) {
        auto load = engines();
        const auto considered = RegionSimulation(load, instances).simulate();
        load.statesPause = false;
        const auto ignored = RegionSimulation(load, instances).simulate();
        EXPECT_LE(considered.paused, PausedRatio * ignored.paused) << instances;
        EXPECT_GE(considered.inTime, (1 - Loss) * ignored.inTime) << instances;
    }
}

// Guards against a change of the placement where prompts do not pause streams too long.
TEST(StreamPausesTest, NothingChangesWithoutPausedStreams)
{
    auto load = engines();
    load.eventTimeBesidePrefill = milliseconds(72);
    const auto considered = RegionSimulation(load, 4).simulate();
    load.statesPause = false;
    const auto ignored = RegionSimulation(load, 4).simulate();
    EXPECT_EQ(considered.paused, 0);
    EXPECT_EQ(considered.inTime, ignored.inTime);
    EXPECT_EQ(considered.rejected, ignored.rejected);
    EXPECT_EQ(considered.sharedPrefills, ignored.sharedPrefills);
    EXPECT_EQ(considered.busiest, ignored.busiest);
}

} // namespace LaburnumChute::Dispatch::RegionLoad
