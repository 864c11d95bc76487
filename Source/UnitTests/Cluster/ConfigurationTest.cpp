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

void startFleet(SimulatedCluster &bus, std::size_t perRegion)
{
    for (const char *region : {"north", "central", "south"}) {
        for (std::size_t i = 0; i < perRegion; ++i) {
            bus.start(region);
        }
    }
    bus.publishSeeds();
}

/// Content of about the given size, made of lines like those of a real document.
std::string document(std::size_t bytes, int variant)
{
    std::string text = "{\"variant\": " + std::to_string(variant) + "\n";
    for (int line = 0; text.size() < bytes; ++line) {
        text += "\"route-" + std::to_string(line) + "\": {\"model\": \"inscription\"},\n";
    }
    return text + "}";
}

std::size_t processesWithConflict(const SimulatedCluster &bus, Common::ConfigurationNumber number)
{
    return static_cast<std::size_t>(
        std::count_if(bus.processes.begin(), bus.processes.end(), [&](const auto &process) {
            return std::count(process.conflicts.begin(), process.conflicts.end(), number) > 0;
        }));
}

TEST(ConfigurationTest, NewVersionIsInForceEverywhereWithinFourSeconds)
{
    for (std::uint64_t seed = 0; seed < 5; ++seed) {
        SimulatedCluster bus(seed);
        bus.loss = 0.05;
        startFleet(bus, 10);
        bus.service = {1, document(20'000, 1)};
        ASSERT_TRUE(bus.runUntil([&] { return bus.allInForce(1); }, seconds(20)));
        bus.run(seconds(5));
        bus.service = {2, document(20'000, 2)};
        EXPECT_TRUE(bus.runUntil([&] { return bus.allInForce(2); }, seconds(4)));
        std::size_t reading = 0;
        for (const auto &process : bus.processes) {
            reading += process.reading ? 1 : 0;
        }
        EXPECT_LE(reading, 6u) << "two watchers in each of three regions";
        EXPECT_LE(bus.largestDatagram, MaxDatagramBytes);
    }
}

// The platform replaces all instances but one while its service is down, or gives an old version.
// If the new ones believed it, operators would see a change that was in force everywhere undone.
TEST(ConfigurationTest, OneSurvivorCarriesTheVersionOverARestartOfAllOthers)
{
    for (const bool stale : {false, true}) {
        SimulatedCluster bus(11);
        startFleet(bus, 4);
        bus.service = {7, document(5'000, 7)};
        ASSERT_TRUE(bus.runUntil([&] { return bus.allInForce(7); }, seconds(20)));
        bus.serviceUp = stale;
        bus.service = {6, document(5'000, 6)};
        bus.serviceIgnoresNumber = true;
        for (std::size_t i = 1; i < 12; ++i) {
            bus.kill(i);
            bus.start(bus.processes[i].info.region.text(), i);
        }
        bus.publishSeeds();
        EXPECT_TRUE(bus.runUntil([&] { return bus.allInForce(7); }, seconds(10)));
        bus.run(seconds(20));
        for (const auto &process : bus.processes) {
            EXPECT_EQ(process.adopted, std::vector<Common::ConfigurationNumber>{7});
        }
    }
}

// The service is set back to an old state, as from a backup, and gives it to all who read.
TEST(ConfigurationTest, RevertedServiceTakesNobodyBackAndIsNotAskedWithoutPause)
{
    SimulatedCluster bus(12);
    startFleet(bus, 4);
    bus.service = {9, "nine"};
    ASSERT_TRUE(bus.runUntil([&] { return bus.allInForce(9); }, seconds(20)));
    bus.service = {4, "four"};
    bus.serviceIgnoresNumber = true;
    const auto reads = [&] {
        std::uint64_t sum = 0;
        for (const auto &process : bus.processes) {
            sum += process.node->dump()["configuration"]["reads"].get<std::uint64_t>();
        }
        return sum;
    };
    const auto before = reads();
    bus.run(seconds(60));
    EXPECT_TRUE(bus.allInForce(9));
    EXPECT_LE(reads() - before, 6u * 20u) << "six watchers, one read in five seconds after backoff";
    bus.service = {10, "ten"};
    EXPECT_TRUE(bus.runUntil([&] { return bus.allInForce(10); }, seconds(15)));
}

// An operator restores the service on one side of a partition and publishes again, so that one
// number has two contents. Nobody can say which one is right: each keeps what it had first, and
// both sides must say so, or callers of two regions get different routes for weeks.
TEST(ConfigurationTest, TwoContentsUnderOneNumberAreReportedByBothSides)
{
    SimulatedCluster bus(13);
    startFleet(bus, 4);
    bus.service = {1, "one"};
    ASSERT_TRUE(bus.runUntil([&] { return bus.allInForce(1); }, seconds(20)));
    const auto side = [](std::size_t index) { return index < 4; };
    bus.cut = [side](std::size_t from, std::size_t to) { return side(from) != side(to); };
    bus.serviceFor = [side](std::size_t index) {
        return ConfigurationVersion{2, side(index) ? "two" : "another two"};
    };
    ASSERT_TRUE(bus.runUntil([&] { return bus.allInForce(2); }, seconds(20)));
    EXPECT_EQ(processesWithConflict(bus, 2), 0u);
    bus.cut = [](std::size_t, std::size_t) { return false; };
    EXPECT_TRUE(bus.runUntil([&] { return processesWithConflict(bus, 2) >= 6; }, seconds(60)));
    EXPECT_EQ(bus.processes[0].node->configuration().content, "two");
    EXPECT_EQ(bus.processes[11].node->configuration().content, "another two");
    std::size_t ownSide = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        ownSide += bus.processes[i].conflicts.empty() ? 0 : 1;
    }
    EXPECT_GT(ownSide, 0u);
    bus.serviceFor = [](std::size_t) { return ConfigurationVersion{3, "three"}; };
    EXPECT_TRUE(bus.runUntil([&] { return bus.allInForce(3); }, seconds(20)));
}

// An operator publishes a version that names a model that does not exist. It must not take a route
// out of service, and the next good version must come through.
TEST(ConfigurationTest, InvalidVersionLeavesTheLastGoodOneInForce)
{
    SimulatedCluster bus(14);
    startFleet(bus, 4);
    bus.valid = [](const ConfigurationVersion &version) { return version.content != "bad"; };
    bus.service = {1, "good"};
    ASSERT_TRUE(bus.runUntil([&] { return bus.allInForce(1); }, seconds(20)));
    bus.service = {2, "bad"};
    bus.serviceIgnoresNumber = true;
    bus.run(seconds(20));
    EXPECT_TRUE(bus.allInForce(1));
    std::size_t reports = 0;
    for (const auto &process : bus.processes) {
        reports += process.rejected.size();
    }
    EXPECT_GT(reports, 0u);
    EXPECT_LE(reports, 6u) << "each watcher says it once";
    bus.service = {3, "good again"};
    EXPECT_TRUE(bus.runUntil([&] { return bus.allInForce(3); }, seconds(4)));
}

// The first content of a number was refused as invalid, and the operator publishes another one
// under the same number. Instances that started later would take it, the others would not.
TEST(ConfigurationTest, SecondContentOfARefusedNumberIsAnAlarmAndStaysOut)
{
    ConfigurationStore store(1000);
    Effects effects;
    store.release(effects);
    store.offer({2, "bad"}, {}, effects);
    store.judged(2, Common::makeError(Common::ErrorCode::InvalidArgument, "bad"), effects);
    effects.clear();
    store.offer({2, "good"}, {}, effects);
    ASSERT_EQ(effects.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<ConfigurationConflict>(effects[0]));
    EXPECT_EQ(store.newestMet(), 2u);
}

// A region reaches neither the service nor the other regions for a while, and changes go on.
TEST(ConfigurationTest, HealedPartitionCatchesUpFromPeersAlone)
{
    SimulatedCluster bus(15);
    startFleet(bus, 4);
    bus.service = {1, document(200'000, 1)};
    ASSERT_TRUE(bus.runUntil([&] { return bus.allInForce(1); }, seconds(20)));
    const auto away = [](std::size_t index) { return index >= 8; };
    bus.cut = [away](std::size_t from, std::size_t to) { return away(from) != away(to); };
    bus.serviceFor = [&bus, away](std::size_t index) {
        return away(index) ? ConfigurationVersion{1, document(200'000, 1)} : bus.service;
    };
    bus.service = {5, document(200'000, 5)};
    bus.run(seconds(30));
    bus.cut = [](std::size_t, std::size_t) { return false; };
    EXPECT_TRUE(bus.runUntil([&] { return bus.allInForce(5); }, seconds(15)));
}

RC_GTEST_PROP(ConfigurationTest, NumberNeverDecreasesWithoutARestart, ())
{
    SimulatedCluster bus(*rc::gen::arbitrary<std::uint64_t>());
    bus.loss = 0.1;
    startFleet(bus, 2);
    for (int step = 0; step < 12; ++step) {
        const auto number = *rc::gen::inRange<Common::ConfigurationNumber>(0, 6);
        bus.service = {number, "content " + std::to_string(number)};
        bus.serviceUp = *rc::gen::arbitrary<bool>();
        bus.serviceIgnoresNumber = *rc::gen::arbitrary<bool>();
        const int split = *rc::gen::inRange(0, 6);
        bus.cut = [split](std::size_t from, std::size_t to) {
            return (static_cast<int>(from) < split) != (static_cast<int>(to) < split);
        };
        bus.run(milliseconds(*rc::gen::inRange(10, 4000)));
    }
    for (const auto &process : bus.processes) {
        RC_ASSERT(std::is_sorted(process.adopted.begin(), process.adopted.end()));
    }
}

RC_GTEST_PROP(DeltaTest, DeltaMakesTheTarget, (std::string base, int edits))
{
    base = document(3000, 1) + base;
    std::string target = base;
    for (int i = 0; i < std::abs(edits % 5); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, target.size());
        target.replace(at, *rc::gen::inRange<std::size_t>(0, 40),
                       *rc::gen::arbitrary<std::string>());
    }
    const auto made = applyDelta(base, makeDelta(base, target), std::size_t{1} << 20);
    RC_ASSERT(made);
    RC_ASSERT(*made == target);
}

RC_GTEST_PROP(DeltaTest, DamagedDeltaIsRefusedOrBounded, (const std::string &delta))
{
    const auto made = applyDelta(document(500, 1), delta, 10'000);
    RC_ASSERT(!made || made->size() <= 10'000);
}

TEST(DeltaTest, SmallChangeOfALargeDocumentIsSmall)
{
    const std::string base = document(1'000'000, 1);
    std::string target = base;
    target.replace(500'000, 11, "inscription-2");
    target.insert(900'000, "\"route-new\": {},\n");
    EXPECT_LT(makeDelta(base, target).size(), 1000u);
}

TEST(WatchTest, WatchesStayUnderTheReadsOfTheService)
{
    ClusterOptions options;
    EXPECT_EQ(watchersPerRegion(options, 3), 2u);
    EXPECT_EQ(watchersPerRegion(options, 31), 2u);
    options.readsPerSecond = 8;
    EXPECT_EQ(watchersPerRegion(options, 31), 1u);
}

} // namespace
