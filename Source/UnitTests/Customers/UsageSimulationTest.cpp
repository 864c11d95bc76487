#include <gtest/gtest.h>

#include "UsageSimulation.h"

namespace LaburnumChute::Customers {

namespace {

/// Usage that all instances together may admit in any window: the limit with the burst, a quarter
/// more, and a fixed amount.
double allowedUsage(const SimulatedFleet &fleet)
{
    constexpr double Overshoot = 0.25;
    const double limited = fleet.limit * Common::toSeconds(UsageSimulation::window()) + fleet.limit;
    return limited * (1 + Overshoot) + fleet.slack;
}

Common::seconds at(int seconds)
{
    return Common::seconds(seconds);
}

/// Demand that is spread evenly over the instances.
UsageSimulation::Demand evenly(const SimulatedFleet &fleet, double usual, double later, int changes)
{
    return [=](Duration elapsed, int) {
        return (elapsed < at(changes) ? usual : later) / fleet.instances;
    };
}

} // namespace

class UsageSimulationTest : public testing::TestWithParam<std::pair<int, double>>
{
protected:
    SimulatedFleet fleet() const
    {
        SimulatedFleet fleet;
        fleet.instances = GetParam().first;
        fleet.regions = std::min(3, fleet.instances);
        fleet.limit = GetParam().second;
        return fleet;
    }
};

// Fixed fractions of the limit per instance reject large requests of customers far below it.
TEST_P(UsageSimulationTest, UsageBelowTheLimitIsAdmitted)
{
    const auto fleet = this->fleet();
    UsageSimulation simulation(fleet, evenly(fleet, 0.55 * fleet.limit, 0, 100));
    simulation.run(at(20));
    EXPECT_LE(simulation.rejectedFraction(at(4), at(20)),
              simulation.exactlyRejectedFraction(at(4), at(20)) + 0.01);
}

// The usage of all instances rises together, and each learns of the others' usage late.
TEST_P(UsageSimulationTest, SuddenDemandStaysWithinTheAllowedUsage)
{
    const auto fleet = this->fleet();
    UsageSimulation simulation(fleet, evenly(fleet, 0.55 * fleet.limit, 4.2 * fleet.limit, 6));
    simulation.run(at(22));
    EXPECT_LE(simulation.highestUsage(at(0)), allowedUsage(fleet));
    EXPECT_GE(simulation.admittedUsage(at(6), at(22)), 0.9 * 16 * fleet.limit);
}

// The instances of the other region know nothing of the customer's usage until it arrives there.
TEST_P(UsageSimulationTest, UsageThatMovesToAnotherRegionIsAdmitted)
{
    const auto fleet = this->fleet();
    const auto perRegion = 0.55 * fleet.limit / (std::max(1, fleet.instances / fleet.regions));
    UsageSimulation simulation(fleet, [=](Duration elapsed, int instance) {
        const int busyRegion = elapsed < at(6) ? 0 : fleet.regions - 1;
        return instance % fleet.regions == busyRegion ? perRegion : 0;
    });
    simulation.run(at(16));
    EXPECT_LE(simulation.rejectedFraction(at(4), at(16)),
              simulation.exactlyRejectedFraction(at(4), at(16)) + 0.02);
}

TEST_P(UsageSimulationTest, LimitFarBelowTheDemandIsKept)
{
    auto fleet = this->fleet();
    UsageSimulation simulation(fleet, evenly(fleet, 0.55 * fleet.limit, 0, 100));
    simulation.run(at(8));
    fleet.limit *= 0.2;
    simulation.setLimit(fleet.limit);
    simulation.run(at(16));
    EXPECT_LE(simulation.highestUsage(at(13)), allowedUsage(fleet));
    EXPECT_GE(simulation.admittedUsage(at(13), at(24)), 0.9 * 11 * fleet.limit);
}

// Each half of a partitioned system sees only its own usage.
TEST_P(UsageSimulationTest, SuddenDemandDuringAPartitionStaysWithinTheAllowedUsage)
{
    const auto fleet = this->fleet();
    UsageSimulation simulation(fleet, evenly(fleet, 0.55 * fleet.limit, 4.2 * fleet.limit, 9));
    simulation.setConnected([=](Duration elapsed, int from, int to) {
        const bool cut = elapsed >= at(8) && elapsed < Common::milliseconds(13500);
        return !cut || (from % fleet.regions == 0) == (to % fleet.regions == 0);
    });
    simulation.run(at(24));
    EXPECT_LE(simulation.highestUsage(at(0)), allowedUsage(fleet));
}

// Instances that restart with a full burst each would add it to every window.
TEST_P(UsageSimulationTest, RestartOfAllInstancesStaysWithinTheAllowedUsage)
{
    const auto fleet = this->fleet();
    UsageSimulation simulation(fleet, evenly(fleet, 0.55 * fleet.limit, 4.2 * fleet.limit, 6));
    simulation.run(at(11));
    simulation.restartAll();
    simulation.run(at(13));
    EXPECT_LE(simulation.highestUsage(at(0)), allowedUsage(fleet));
}

TEST_P(UsageSimulationTest, LossyLinksDoNotLoosenTheLimit)
{
    auto fleet = this->fleet();
    fleet.loss = 0.3;
    UsageSimulation simulation(fleet, evenly(fleet, 0.55 * fleet.limit, 4.2 * fleet.limit, 6));
    simulation.run(at(22));
    EXPECT_LE(simulation.highestUsage(at(0)), allowedUsage(fleet));
}

INSTANTIATE_TEST_SUITE_P(Fleets, UsageSimulationTest,
                         testing::Values(std::pair(1, 500000.0), std::pair(4, 500000.0),
                                         std::pair(34, 47000.0), std::pair(34, 500000.0),
                                         std::pair(120, 500000.0), std::pair(300, 500000.0)));

} // namespace LaburnumChute::Customers
