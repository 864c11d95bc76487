#include <algorithm>

#include <gtest/gtest.h>

#include "SimulatedInstances.h"

namespace LaburnumChute::Relay {

namespace {

constexpr double RequestsPerSecond = 40;
constexpr seconds StaggerTime{8};

/// The retry budget of all instances together, at several numbers of instances.
class SharedRetryBudgetTest : public testing::TestWithParam<std::size_t>
{
protected:
    SharedRetryBudgetTest()
        : instances_(GetParam(), RequestsPerSecond, bounds())
    {
    }

    static Catalog::Bounds bounds()
    {
        Catalog::Bounds bounds;
        bounds.retryRatio = 0.2;
        bounds.retrySlack = 58;
        bounds.retryWindow = seconds(10);
        return bounds;
    }

    /// Starts the instances one after another.
    void startAll()
    {
        const auto pause = milliseconds(StaggerTime) / static_cast<int>(instances_.size());
        for (std::size_t index = 0; index < instances_.size(); ++index) {
            instances_.start(index);
            instances_.run(pause);
        }
    }

    /// Starts all instances and lets them run until they know each other.
    void startAndSettle()
    {
        startAll();
        instances_.run(seconds(12));
    }

    static bool betweenRegions(std::size_t from, std::size_t to)
    {
        return SimulatedInstances::regionOf(from) != SimulatedInstances::regionOf(to);
    }

    static bool everywhere(std::size_t, std::size_t)
    {
        return true;
    }

    void expectWithinBudget()
    {
        EXPECT_LE(instances_.fullestWindow(), 1.0) << instances_.retries() << " retries";
    }

    SimulatedInstances instances_;
};

} // namespace

INSTANTIATE_TEST_SUITE_P(Instances, SharedRetryBudgetTest, testing::Values(1, 2, 4, 12, 120));

// Guards against a budget so cautious that failed requests are hardly retried.
TEST_P(SharedRetryBudgetTest, IsUsedWhileInstancesKnowEachOther)
{
    startAndSettle();
    instances_.setFailing(true);
    instances_.run(seconds(20));
    expectWithinBudget();
    EXPECT_GE(instances_.fullestWindow(), 0.5);
}

// Guards against the whole budget in each process that has just started and knows nobody.
TEST_P(SharedRetryBudgetTest, HoldsWhileInstancesStartOneAfterAnother)
{
    instances_.setFailing(true);
    startAll();
    instances_.run(seconds(12));
    expectWithinBudget();
}

TEST_P(SharedRetryBudgetTest, HoldsWhileRegionsAreCutFromEachOther)
{
    startAndSettle();
    instances_.setDropRule(betweenRegions);
    instances_.run(seconds(3));
    instances_.setFailing(true);
    instances_.run(seconds(20));
    expectWithinBudget();
}

TEST_P(SharedRetryBudgetTest, HoldsWhileAllInstancesAreCutFromEachOther)
{
    startAndSettle();
    instances_.setDropRule(everywhere);
    instances_.run(seconds(3));
    instances_.setFailing(true);
    instances_.run(seconds(20));
    expectWithinBudget();
}

// Guards against spending the budget again after each restart.
TEST_P(SharedRetryBudgetTest, HoldsWhileAllInstancesRestartInSeries)
{
    startAndSettle();
    instances_.setFailing(true);
    for (int round = 0; round < 6; ++round) {
        instances_.run(milliseconds(2500));
        instances_.restartAll();
    }
    instances_.run(seconds(12));
    expectWithinBudget();
}

TEST_P(SharedRetryBudgetTest, HoldsWhileInstancesRestartAndRegionsAreCutFromEachOther)
{
    startAndSettle();
    instances_.setDropRule(betweenRegions);
    instances_.run(seconds(1));
    instances_.setFailing(true);
    instances_.restartAll();
    instances_.run(seconds(25));
    expectWithinBudget();
}

TEST_P(SharedRetryBudgetTest, HoldsWhileInstancesRestartAndAllAreCutFromEachOther)
{
    startAndSettle();
    instances_.setDropRule(everywhere);
    instances_.setFailing(true);
    instances_.restartAll();
    instances_.run(seconds(25));
    expectWithinBudget();
}

// Guards against figures of others that are taken for current when datagrams are late.
TEST_P(SharedRetryBudgetTest, HoldsWhileDatagramsAreLateAndInstancesRestart)
{
    startAndSettle();
    instances_.setExtraLatency(milliseconds(2500));
    instances_.setFailing(true);
    for (int round = 0; round < 2; ++round) {
        for (std::size_t index = 0; index < instances_.size(); index += 2) {
            instances_.restart(index);
        }
        instances_.run(seconds(6));
    }
    instances_.run(seconds(12));
    expectWithinBudget();
}

} // namespace LaburnumChute::Relay
