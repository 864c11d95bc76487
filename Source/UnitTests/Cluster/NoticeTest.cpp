#include <gtest/gtest.h>

#include "Cluster/NoticeTable.h"
#include "Cluster/SimulatedCluster.h"

using namespace LaburnumChute;
using namespace LaburnumChute::Cluster;
using Common::milliseconds;
using Common::seconds;
using Testing::SimulatedCluster;

namespace {

Notice poison(const std::string &fingerprint, std::uint64_t version = 1)
{
    return {NoticeKind::SuspectedPoison, fingerprint, "", version, true, seconds(60)};
}

// A request crashes its endpoint, and its caller sends it again two seconds later to an instance in
// another region. What one instance suspects must be known there by then, or the next endpoint
// goes.
TEST(NoticeTest, ReachesAllInstancesOfAllRegionsBeforeAResend)
{
    for (std::uint64_t seed = 0; seed < 5; ++seed) {
        SimulatedCluster bus(seed);
        bus.loss = 0.05;
        for (int i = 0; i < 60; ++i) {
            bus.start("sapporo");
        }
        for (int i = 0; i < 60; ++i) {
            bus.start("hakodate");
        }
        bus.publishSeeds();
        bus.run(seconds(20));
        bus.applyEffects(3, bus.processes[3].node->publishNotice(poison("abc"), bus.now()));
        bus.run(seconds(1));
        std::size_t knowing = 0;
        for (const auto &process : bus.processes) {
            knowing += process.node->notices().size();
        }
        EXPECT_GE(knowing, 118u) << "of 120 after one second";
        bus.run(seconds(1));
        knowing = 0;
        for (const auto &process : bus.processes) {
            knowing += process.node->notices().size();
        }
        EXPECT_EQ(knowing, 120u);
        EXPECT_LE(bus.largestDatagram, MaxDatagramBytes);
    }
}

TEST(NoticeTest, NewerVersionReplacesAndExpiryForgets)
{
    NoticeTable board(4);
    const Common::Time now{seconds(1)};
    EXPECT_TRUE(board.apply(poison("a", 2), now));
    EXPECT_FALSE(board.apply(poison("a", 1), now));
    EXPECT_FALSE(board.apply(poison("a", 2), now));
    EXPECT_TRUE(board.apply(poison("a", 3), now));
    board.expire(now + seconds(61));
    EXPECT_TRUE(board.all(now + seconds(61)).empty());
    EXPECT_EQ(board.hash(), NoticeTable(4).hash());
}

// A caller sends thousands of different requests that crash endpoints. The table stays small.
TEST(NoticeTest, TableIsBounded)
{
    NoticeTable board(4);
    const Common::Time now{seconds(1)};
    for (int i = 0; i < 100; ++i) {
        board.apply(poison(std::to_string(i)), now + milliseconds(i));
    }
    EXPECT_EQ(board.all(now).size(), 4u);
}

} // namespace
