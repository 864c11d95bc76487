#include <random>

#include <gtest/gtest.h>

#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Dispatch {

namespace {

const InstanceId One("1");
const InstanceId Two("2");
const InstanceId Three("3");
const ServiceName Model("model");

class ReachabilityTest : public testing::Test
{
protected:
    ReachabilityTest()
    {
        reachability_.setInstances({One, Two, Three});
    }

    std::optional<InstanceId> neighbor(const std::vector<InstanceId> &excluded = {})
    {
        return reachability_.chooseNeighbor(Model, excluded, random_);
    }

    Reachability reachability_{Two};
    std::mt19937_64 random_{7};
};

} // namespace

// Guards against handing requests over to an instance of which nothing is known.
TEST_F(ReachabilityTest, OnlyInstancesThatHaveReportedAreNeighbors)
{
    EXPECT_EQ(neighbor(), std::nullopt);
    reachability_.reported(Three, {});
    EXPECT_EQ(neighbor(), Three);
    EXPECT_EQ(neighbor({Three}), std::nullopt);
    reachability_.reported(Three, {shortId(Model)});
    EXPECT_EQ(neighbor(), std::nullopt);
    reachability_.reported(Three, {shortId(ServiceName("desk"))});
    EXPECT_EQ(neighbor(), Three);
    reachability_.setInstances({One, Two});
    EXPECT_EQ(neighbor(), std::nullopt);
}

TEST_F(ReachabilityTest, SlotsAreSharedByThoseThatReachTheService)
{
    EXPECT_EQ(reachability_.sharers(Model).count, 3U);
    EXPECT_EQ(reachability_.sharers(Model).rank, 1U);
    reachability_.reported(One, {shortId(Model)});
    EXPECT_EQ(reachability_.sharers(Model).count, 2U);
    EXPECT_EQ(reachability_.sharers(Model).rank, 0U);
    EXPECT_EQ(reachability_.sharers(ServiceName("desk")).count, 3U);
    EXPECT_EQ(reachability_.all().count, 3U);
    reachability_.reported(One, {});
    EXPECT_EQ(reachability_.sharers(Model).count, 3U);
}

} // namespace LaburnumChute::Dispatch
