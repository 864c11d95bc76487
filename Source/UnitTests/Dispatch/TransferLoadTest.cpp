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

/// Engines in four failure domains, and a region far away that has all parts.
Load partsOnAllPaths(double bytesPerToken, double linkBitsPerSecond)
{
    auto load = popularParts(bytesPerToken, linkBitsPerSecond, true);
    load.domains = 4;
    load.remoteEngines = 4;
    load.partPopularFor = milliseconds(0);
    load.factorBetweenDomains = 2.4;
    load.factorBetweenRegions = 10;
    return load;
}

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

// A copy of a large part between regions takes 1.4 s, one between failure domains about as long as
// prefilling. Guards against many instances that each learn it from copies of their own. A copy of
// a small part between regions takes 183 ms, prefilling 325 ms. Guards against an uncertain time of
// a path that ends copies which are worth it even when they take that much longer.
TEST(TransferLoadTest, CopiesAreMadeOnPathsWhereTheyAreSooner)
{
    constexpr double MayBeLate = 0.08;
    for (const std::size_t instances : {1, 20}) {
        const auto large = RegionSimulation(partsOnAllPaths(327680, 280e9), instances).simulate();
        EXPECT_LE(large.lateLong, MayBeLate * large.submittedLong) << instances;
        EXPECT_LE(large.copiesBetweenRegions, 12) << instances;
        const auto small = RegionSimulation(partsOnAllPaths(18432, 370e9), instances).simulate();
        EXPECT_GE(small.copiesBetweenRegions, 20) << instances;
        EXPECT_EQ(small.lateLong, 0) << instances;
    }
}

} // namespace LaburnumChute::Dispatch::RegionLoad
