#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Cluster/ConfigurationStore.h"
#include "Cluster/ConfigurationWatch.h"
#include "Cluster/Delta.h"
#include "Cluster/SimulatedCluster.h"

using namespace LaburnumChute;
using namespace LaburnumChute::Cluster;
using Common::milliseconds;
using Common::seconds;
using Testing::SimulatedCluster;

namespace {

void startRegions(SimulatedCluster &cluster, std::size_t perRegion)
{
    for (const char *region : {"north", "central", "south"}) {
        for (std::size_t i = 0; i < perRegion; ++i) {
            cluster.start(region);
        }
    }
    cluster.publishSeeds();
}

/// Content of about the given size, with lines like those of a real configuration.
std::string document(std::size_t bytes, int variant)
{
    std::string text = "{\"variant\": " + std::to_string(variant) + "\n";
    for (int line = 0; text.size() < bytes; ++line) {
        text += "\"route-" + std::to_string(line) + "\": {\"model\": \"inscription\"},\n";
    }
    return text + "}";
}

std::size_t processesWithConflict(const SimulatedCluster &cluster,
                                  Common::ConfigurationNumber number)
{
    return static_cast<std::size_t>(
        std::count_if(cluster.processes.begin(), cluster.processes.end(), [&](const auto &process) {
            return std::count(process.conflicts.begin(), process.conflicts.end(), number) > 0;
        }));
}

TEST(ConfigurationTest, NewVersionIsInForceEverywhereWithinFourSeconds)
{
    for (std::uint64_t seed = 0; seed < 5; ++seed) {
        SimulatedCluster cluster(seed);
        cluster.loss = 0.05;
        startRegions(cluster, 10);
        cluster.service = {1, document(20'000, 1)};
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.allInForce(1); }, seconds(20)));
        cluster.run(seconds(5));
        cluster.service = {2, document(20'000, 2)};
        EXPECT_TRUE(cluster.runUntil([&] { return cluster.allInForce(2); }, seconds(4)));
        std::size_t reading = 0;
        for (const auto &process : cluster.processes) {
            reading += process.reading ? 1 : 0;
        }
        EXPECT_LE(reading, 6u) << "two watchers in each of three regions";
        EXPECT_LE(cluster.largestDatagram, MaxDatagramBytes);
    }
}

// The platform replaces all instances but one while its service is down or returns an old version.
// If the new instances adopted that, a change that was in force everywhere would be reverted.
TEST(ConfigurationTest, VersionSurvivesTheRestartOfAllInstancesButOne)
{
    for (const bool stale : {false, true}) {
        SimulatedCluster cluster(11);
        startRegions(cluster, 4);
        cluster.service = {7, document(5'000, 7)};
        ASSERT_TRUE(cluster.runUntil([&] { return cluster.allInForce(7); }, seconds(20)));
        cluster.serviceUp = stale;
        cluster.service = {6, document(5'000, 6)};
        cluster.serviceIgnoresNumber = true;
        for (std::size_t i = 1; i < 12; ++i) {
            cluster.kill(i);
            cluster.start(cluster.processes[i].info.region.text(), i);
        }
        cluster.publishSeeds();
        EXPECT_TRUE(cluster.runUntil([&] { return cluster.allInForce(7); }, seconds(10)));
        cluster.run(seconds(20));
        for (const auto &process : cluster.processes) {
            EXPECT_EQ(process.adopted, std::vector<Common::ConfigurationNumber>{7});
        }
    }
}

// The service is reverted to an old state, for example from a backup, and returns that to all
// readers.
TEST(ConfigurationTest, RevertedServiceDowngradesNoInstanceAndIsReadWithBackoff)
{
    SimulatedCluster cluster(12);
    startRegions(cluster, 4);
    cluster.service = {9, "nine"};
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.allInForce(9); }, seconds(20)));
    cluster.service = {4, "four"};
    cluster.serviceIgnoresNumber = true;
    const auto reads = [&] {
        std::uint64_t sum = 0;
        for (const auto &process : cluster.processes) {
            sum += process.node->dump()["configuration"]["reads"].get<std::uint64_t>();
        }
        return sum;
    };
    const auto before = reads();
    cluster.run(seconds(60));
    EXPECT_TRUE(cluster.allInForce(9));
    EXPECT_LE(reads() - before, 6u * 20u)
        << "six watchers, one read per five seconds after backoff";
    cluster.service = {10, "ten"};
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.allInForce(10); }, seconds(15)));
}

// An operator restores the service on one side of a partition and publishes again, so that one
// number has two contents. Neither can be known to be right, so each instance keeps the one it saw
// first. Both sides must report the conflict; otherwise callers of two regions could get different
// routes for weeks.
TEST(ConfigurationTest, TwoContentsUnderOneNumberAreReportedByBothSides)
{
    SimulatedCluster cluster(13);
    startRegions(cluster, 4);
    cluster.service = {1, "one"};
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.allInForce(1); }, seconds(20)));
    const auto inFirstHalf = [](std::size_t index) { return index < 4; };
    cluster.isBlocked = [inFirstHalf](std::size_t from, std::size_t to) {
        return inFirstHalf(from) != inFirstHalf(to);
    };
    cluster.serviceFor = [inFirstHalf](std::size_t index) {
        return ConfigurationVersion{2, inFirstHalf(index) ? "two" : "another two"};
    };
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.allInForce(2); }, seconds(20)));
    EXPECT_EQ(processesWithConflict(cluster, 2), 0u);
    cluster.isBlocked = [](std::size_t, std::size_t) { return false; };
    EXPECT_TRUE(
        cluster.runUntil([&] { return processesWithConflict(cluster, 2) >= 6; }, seconds(60)));
    EXPECT_EQ(cluster.processes[0].node->configuration().content, "two");
    EXPECT_EQ(cluster.processes[11].node->configuration().content, "another two");
    std::size_t ownSide = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        ownSide += cluster.processes[i].conflicts.empty() ? 0 : 1;
    }
    EXPECT_GT(ownSide, 0u);
    cluster.serviceFor = [](std::size_t) { return ConfigurationVersion{3, "three"}; };
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.allInForce(3); }, seconds(20)));
}

// An operator publishes a version that refers to a model that does not exist. It must not take a
// route out of service, and the next valid version must be adopted.
TEST(ConfigurationTest, InvalidVersionLeavesTheLastGoodOneInForce)
{
    SimulatedCluster cluster(14);
    startRegions(cluster, 4);
    cluster.valid = [](const ConfigurationVersion &version) { return version.content != "bad"; };
    cluster.service = {1, "good"};
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.allInForce(1); }, seconds(20)));
    cluster.service = {2, "bad"};
    cluster.serviceIgnoresNumber = true;
    cluster.run(seconds(20));
    EXPECT_TRUE(cluster.allInForce(1));
    std::size_t reports = 0;
    for (const auto &process : cluster.processes) {
        reports += process.rejected.size();
    }
    EXPECT_GT(reports, 0u);
    EXPECT_LE(reports, 6u) << "each watcher reports it once";
    cluster.service = {3, "good again"};
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.allInForce(3); }, seconds(4)));
}

// The first content of a number was rejected as invalid, and the operator publishes another one
// under the same number. If it were adopted, only instances that did not see the first one would do
// so.
TEST(ConfigurationTest, SecondContentOfARejectedNumberIsAConflictAndIsNotAdopted)
{
    ConfigurationStore store(1000);
    Effects effects;
    store.release(effects);
    store.offer({2, "bad"}, {}, effects);
    store.validated(2, Common::makeError(Common::ErrorCode::InvalidArgument, "bad"), effects);
    effects.clear();
    store.offer({2, "good"}, {}, effects);
    ASSERT_EQ(effects.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<ConfigurationConflict>(effects[0]));
    EXPECT_EQ(store.newestSeen(), 2u);
}

// A region reaches neither the service nor the other regions for a while, and new versions are
// published meanwhile.
TEST(ConfigurationTest, HealedPartitionCatchesUpFromPeersAlone)
{
    SimulatedCluster cluster(15);
    startRegions(cluster, 4);
    cluster.service = {1, document(200'000, 1)};
    ASSERT_TRUE(cluster.runUntil([&] { return cluster.allInForce(1); }, seconds(20)));
    const auto isIsolated = [](std::size_t index) { return index >= 8; };
    cluster.isBlocked = [isIsolated](std::size_t from, std::size_t to) {
        return isIsolated(from) != isIsolated(to);
    };
    cluster.serviceFor = [&cluster, isIsolated](std::size_t index) {
        return isIsolated(index) ? ConfigurationVersion{1, document(200'000, 1)} : cluster.service;
    };
    cluster.service = {5, document(200'000, 5)};
    cluster.run(seconds(30));
    cluster.isBlocked = [](std::size_t, std::size_t) { return false; };
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.allInForce(5); }, seconds(15)));
}

RC_GTEST_PROP(ConfigurationTest, NumberNeverDecreasesWithoutARestart, ())
{
    SimulatedCluster cluster(*rc::gen::arbitrary<std::uint64_t>());
    cluster.loss = 0.1;
    startRegions(cluster, 2);
    for (int step = 0; step < 12; ++step) {
        const auto number = *rc::gen::inRange<Common::ConfigurationNumber>(0, 6);
        cluster.service = {number, "content " + std::to_string(number)};
        cluster.serviceUp = *rc::gen::arbitrary<bool>();
        cluster.serviceIgnoresNumber = *rc::gen::arbitrary<bool>();
        const int split = *rc::gen::inRange(0, 6);
        cluster.isBlocked = [split](std::size_t from, std::size_t to) {
            return (static_cast<int>(from) < split) != (static_cast<int>(to) < split);
        };
        cluster.run(milliseconds(*rc::gen::inRange(10, 4000)));
    }
    for (const auto &process : cluster.processes) {
        RC_ASSERT(std::is_sorted(process.adopted.begin(), process.adopted.end()));
    }
}

RC_GTEST_PROP(DeltaTest, AppliedDeltaYieldsTheTarget, (std::string base, int edits))
{
    base = document(3000, 1) + base;
    std::string target = base;
    for (int i = 0; i < std::abs(edits % 5); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, target.size());
        target.replace(at, *rc::gen::inRange<std::size_t>(0, 40),
                       *rc::gen::arbitrary<std::string>());
    }
    const auto result = applyDelta(base, makeDelta(base, target), std::size_t{1} << 20);
    RC_ASSERT(result);
    RC_ASSERT(*result == target);
}

RC_GTEST_PROP(DeltaTest, DamagedDeltaIsRejectedOrBounded, (const std::string &delta))
{
    const auto result = applyDelta(document(500, 1), delta, 10'000);
    RC_ASSERT(!result || result->size() <= 10'000);
}

TEST(DeltaTest, SmallChangeOfALargeDocumentIsSmall)
{
    const std::string base = document(1'000'000, 1);
    std::string target = base;
    target.replace(500'000, 11, "inscription-2");
    target.insert(900'000, "\"route-new\": {},\n");
    EXPECT_LT(makeDelta(base, target).size(), 1000u);
}

TEST(WatchTest, WatchersStayWithinTheReadLimit)
{
    ClusterOptions options;
    EXPECT_EQ(watchersPerRegion(options, 3), 2u);
    EXPECT_EQ(watchersPerRegion(options, 31), 2u);
    options.readsPerSecond = 8;
    EXPECT_EQ(watchersPerRegion(options, 31), 1u);
}

} // namespace
