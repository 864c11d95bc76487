#include <gtest/gtest.h>

#include "Relay/DirectoryAnswer.h"

namespace LaburnumChute::Relay {

namespace {

using Common::RegionName;

const std::vector<DirectoryCandidate> AllCandidates = {{"n1", RegionName("north")},
                                                       {"n2", RegionName("north")},
                                                       {"c1", RegionName("central")},
                                                       {"s1", RegionName("south")}};
constexpr std::size_t NoLimit = 64;

std::vector<DirectoryCandidate> candidatesOutside(const std::string &region)
{
    auto candidates = AllCandidates;
    std::erase_if(candidates,
                  [&](const auto &candidate) { return candidate.region == RegionName(region); });
    return candidates;
}

} // namespace

TEST(DirectoryAnswerTest, ListsInstancesInTheCallersRegion)
{
    const auto addresses = chooseAddresses(AllCandidates, RegionName("north"), {}, NoLimit);
    EXPECT_EQ(addresses, (std::vector<std::string>{"n1", "n2"}));
}

// All instances of the callers' region leave together. Most routes may be served in central or
// north; a few that hardly anyone uses are bound to one region each. Callers led to the south would
// send their requests to an instance that must not read them.
TEST(DirectoryAnswerTest, WithoutOwnRegionListsTheHomeRegionsOfMostRoutes)
{
    const std::vector<std::vector<RegionName>> homes = {
        {RegionName("north"), RegionName("central")},
        {RegionName("central")},
        {RegionName("north")}};
    const auto addresses =
        chooseAddresses(candidatesOutside("north"), RegionName("north"), homes, NoLimit);
    EXPECT_EQ(addresses, (std::vector<std::string>{"c1"}));
}

TEST(DirectoryAnswerTest, WithoutHomeRegionsListsAllOtherRegions)
{
    const auto addresses =
        chooseAddresses(candidatesOutside("north"), RegionName("north"), {}, NoLimit);
    EXPECT_EQ(addresses, (std::vector<std::string>{"c1", "s1"}));
}

// The instances are replaced one after the other: those of the caller's region and of the only
// other home are about to stop, the next one has not started yet. They still serve for seconds; an
// instance of a region that is no home must not read the requests at all.
TEST(DirectoryAnswerTest, PrefersLeavingInstancesOverThoseOutsideTheHomeRegions)
{
    auto candidates = AllCandidates;
    for (auto &candidate : candidates) {
        candidate.leaving = candidate.region != RegionName("south");
    }
    const std::vector<std::vector<RegionName>> homes = {
        {RegionName("north"), RegionName("central")}};
    const auto addresses = chooseAddresses(candidates, RegionName("central"), homes, NoLimit);
    EXPECT_EQ(addresses, (std::vector<std::string>{"c1"}));
}

// The regions that are allowed have no instance left: an answer from elsewhere, which can at least
// say what is wrong, is better than none.
TEST(DirectoryAnswerTest, ListsAnyInstanceIfNoHomeRegionHasOne)
{
    const std::vector<std::vector<RegionName>> homes = {{RegionName("north")}};
    const auto addresses =
        chooseAddresses(candidatesOutside("north"), RegionName("north"), homes, NoLimit);
    EXPECT_FALSE(addresses.empty());
}

} // namespace LaburnumChute::Relay
