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

// All instances in the callers' region are shutting down. Most routes allow central or north; a few
// rarely used ones allow only one region. Callers sent to south would reach an instance that must
// not read their requests.
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

// During a rolling replacement, the instances in the caller's region and in the only other home
// region are shutting down, and no new one has started yet. They still serve for several seconds,
// while an instance outside the home regions must not read the requests at all.
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

// No instance is left in the allowed regions. An instance elsewhere can at least return an error
// with a reason.
TEST(DirectoryAnswerTest, ListsAnyInstanceIfNoHomeRegionHasOne)
{
    const std::vector<std::vector<RegionName>> homes = {{RegionName("north")}};
    const auto addresses =
        chooseAddresses(candidatesOutside("north"), RegionName("north"), homes, NoLimit);
    EXPECT_FALSE(addresses.empty());
}

} // namespace LaburnumChute::Relay
