#include <gtest/gtest.h>

#include "RegionSimulation.h"

namespace LaburnumChute::Dispatch::RegionLoad {

namespace {

/// All long prompts of a quarter of a second share one part, which most engines do not have.
Load popularParts(double bytesPerToken, double linkBitsPerSecond, bool statesLink)
{
    Load load;
    load.shortPerEngine = 8;
    load.longPerEngine = 2;
    load.partPopularFor = milliseconds(250);
    load.longObjective = milliseconds(1000);
    load.bytesPerToken = bytesPerToken;
    load.linkBitsPerSecond = linkBitsPerSecond;
    load.statesLink = statesLink;
    return load;
}

constexpr std::size_t Instances[] = {1, 8};

} // namespace

// A part has gigabytes, so that each transfer takes 130 ms. Guards against copies that wait for
// each other at one source: without the schedule, a third to a half of the prompts are late.
TEST(TransferLoadTest, FewPromptsAreLateWhenLargePartsAreCopied)
{
    constexpr double MayBeLate = 0.08;
    for (const auto instances : Instances) {
        const auto outcome =
            RegionSimulation(popularParts(327680, 280e9, true), instances).simulate();
        EXPECT_LE(outcome.lateLong, MayBeLate * outcome.submittedLong) << instances;
        EXPECT_EQ(outcome.rejected, 0) << instances;
        EXPECT_GE(outcome.copies, 0.1 * outcome.submittedLong) << instances;
        EXPECT_LE(outcome.mostCopiesFromOne, outcome.copies / 4) << instances;
        const auto before =
            RegionSimulation(popularParts(327680, 280e9, false), instances).simulate();
        EXPECT_GT(before.lateLong, 3 * MayBeLate * before.submittedLong) << instances;
    }
}

// A part has 240 MB, which take 15 ms. Guards against prompts that wait or are prefilled again
// although a copy is much sooner.
TEST(TransferLoadTest, SmallPartsAreStillCopied)
{
    for (const auto instances : Instances) {
        const auto outcome =
            RegionSimulation(popularParts(18432, 370e9, true), instances).simulate();
        const auto before =
            RegionSimulation(popularParts(18432, 370e9, false), instances).simulate();
        EXPECT_EQ(outcome.lateLong, 0) << instances;
        EXPECT_GE(outcome.copies, 0.8 * before.copies) << instances;
        EXPECT_LE(outcome.sharedPrefills, before.sharedPrefills) << instances;
    }
}

} // namespace LaburnumChute::Dispatch::RegionLoad
