#include <gtest/gtest.h>

#include "Decisions/DemandMeter.h"
#include "Support.h"

namespace LaburnumChute::Decisions {

using namespace Testing;

namespace {

TEST(DemandMeterTest, MeanAndDeviationAreOfCompleteWindows)
{
    DemandMeter meter(seconds(1), 10);
    Time now = Time() + seconds(100);
    for (int second = 0; second < 10; ++second) {
        meter.add(Inscription, second % 2 == 0 ? 100 : 300, now);
        now += seconds(1);
    }
    const auto demand = meter.demand(now);
    ASSERT_EQ(demand.size(), 1U);
    EXPECT_DOUBLE_EQ(demand.front().mean, 200);
    EXPECT_DOUBLE_EQ(demand.front().deviation, 100);
}

// Demand falls for a minute during the day. If the model were unloaded at once, the weight store
// would have to load it again a minute later while callers wait.
TEST(PlacementTest, ReplicasAreReducedOnlyAfterDemandStayedLow)
{
    Placement placement({});
    Time now = Time() + seconds(100);
    EXPECT_EQ(placement.desired({Inscription, 7000, 0}, 1000, 4, now), 10);
    EXPECT_EQ(placement.desired({Inscription, 700, 0}, 1000, 10, now), 10);
    now += std::chrono::minutes(4);
    EXPECT_EQ(placement.desired({Inscription, 700, 0}, 1000, 10, now), 10);
    now += std::chrono::minutes(1);
    EXPECT_EQ(placement.desired({Inscription, 700, 0}, 1000, 10, now), 1);
}

TEST(PlacementTest, AnUnknownRateKeepsTheReplicaCount)
{
    Placement placement({});
    EXPECT_EQ(placement.desired({Inscription, 7000, 0}, 0, 4, Time()), 4);
}

} // namespace

} // namespace LaburnumChute::Decisions
