#include <gtest/gtest.h>

#include "Fleet/Fleet.h"

namespace LaburnumChute::Fleet {

namespace {

const Common::RegionName North("north");
const Common::RegionName South("south");

class PopulationTest : public testing::Test
{
protected:
    PopulationTest()
    {
        population_.setRegions({North, South});
    }

    void pass(Duration time)
    {
        now_ += time;
    }

    std::optional<std::size_t> total(bool seedsUnheard = false) const
    {
        return population_.total(seedsUnheard, now_);
    }

    PopulationOptions options_;
    Time now_ = Time(std::chrono::seconds(1000));
    Population population_{options_, North};
};

} // namespace

TEST_F(PopulationTest, IsUnknownUntilAllRegionsWereTold)
{
    population_.seen(North, 2, now_);
    EXPECT_EQ(total(), std::nullopt);
    population_.seen(South, 3, now_);
    EXPECT_EQ(total(), 5U);
}

// Guards against an instance of the only region that hears of nobody and takes itself for alone.
TEST_F(PopulationTest, IsUnknownWhileSeedsAreUnheardAndNobodyToldOfTheOwnRegion)
{
    population_.setRegions({North});
    population_.seen(North, 1, now_);
    EXPECT_EQ(total(true), std::nullopt);
    EXPECT_EQ(population_.inOwnRegion(2, now_), 3U);
    population_.merge({{North, 4, 0}}, now_);
    EXPECT_EQ(total(true), 4U);
    EXPECT_EQ(population_.inOwnRegion(2, now_), 4U);
}

// Guards against an instance without any other that never uses its bounds.
TEST_F(PopulationTest, IsKnownAfterTheMemoryHasPassed)
{
    population_.seen(North, 1, now_);
    pass(options_.memory + milliseconds(1));
    population_.seen(North, 1, now_);
    EXPECT_EQ(total(true), 1U);
}

TEST_F(PopulationTest, DecreasesOnlyAfterTheMemoryHasPassed)
{
    population_.seen(South, 3, now_);
    population_.seen(North, 9, now_);
    pass(options_.memory / 2);
    population_.seen(South, 3, now_);
    population_.seen(North, 6, now_);
    population_.seen(North, 2, now_);
    EXPECT_EQ(total(), 12U);
    pass(options_.memory / 2 + milliseconds(1));
    EXPECT_EQ(total(), 9U);
}

// Guards against taking the age of another instance's evidence for the time since the start.
TEST_F(PopulationTest, OldEvidenceOfOthersDoesNotEndTheWaitForTheRest)
{
    const auto age = std::chrono::duration_cast<milliseconds>(options_.memory) - milliseconds(100);
    population_.merge({{North, 9, static_cast<std::uint32_t>(age.count())}}, now_);
    pass(milliseconds(200));
    population_.seen(North, 1, now_);
    EXPECT_EQ(total(), std::nullopt);
}

// Guards against reports that grow with each instance that stops.
TEST_F(PopulationTest, ReportsHaveOneNumberForEachRegion)
{
    for (std::size_t instances = 100; instances > 0; --instances) {
        pass(milliseconds(250));
        population_.seen(North, instances, now_);
        population_.seen(South, instances, now_);
    }
    EXPECT_EQ(population_.reports(now_).size(), 2U);
    EXPECT_EQ(total(), 200U);
}

// Guards against two instances that repeat a number to each other for ever.
TEST_F(PopulationTest, RepeatedEvidenceExpires)
{
    Population other(options_, South);
    population_.seen(South, 3, now_);
    population_.seen(North, 9, now_);
    for (int round = 0; round < 30; ++round) {
        pass(options_.memory / 20);
        population_.seen(North, 1, now_);
        other.merge(population_.reports(now_), now_);
        population_.merge(other.reports(now_), now_);
    }
    EXPECT_EQ(population_.inOwnRegion(0, now_), 1U);
}

TEST_F(PopulationTest, EvidenceDoesNotAgeWhileTheProcessIsSuspended)
{
    population_.seen(North, 2, now_);
    population_.seen(South, 3, now_);
    const Duration suspension = options_.memory * 2;
    pass(suspension);
    population_.postpone(suspension);
    EXPECT_EQ(total(), 5U);
}

} // namespace LaburnumChute::Fleet
