#include <gtest/gtest.h>

#include "Cluster/NoticeTable.h"
#include "Cluster/SimulatedCluster.h"

using namespace LaburnumChute;
using namespace LaburnumChute::Cluster;
using Common::milliseconds;
using Common::seconds;
using Testing::SimulatedCluster;

namespace {

Notice poisonNotice(const std::string &fingerprint, std::uint64_t version = 1)
{
    return {NoticeKind::SuspectedPoison, fingerprint, "", version, true, seconds(60)};
}

// A request crashes its endpoint, and its caller sends it again two seconds later to an instance in
// another region. By then that instance must know of the suspicion, or the request crashes another
// endpoint.
TEST(NoticeTest, ReachesAllInstancesOfAllRegionsBeforeAResend)
{
    for (std::uint64_t seed = 0; seed < 5; ++seed) {
        SimulatedCluster cluster(seed);
        cluster.loss = 0.05;
        for (int i = 0; i < 60; ++i) {
            cluster.start("sapporo");
        }
        for (int i = 0; i < 60; ++i) {
            cluster.start("hakodate");
        }
        cluster.publishSeeds();
        cluster.run(seconds(20));
        cluster.applyEffects(
            3, cluster.processes[3].node->publishNotice(poisonNotice("abc"), cluster.now()));
        cluster.run(seconds(1));
        std::size_t instancesWithNotice = 0;
        for (const auto &process : cluster.processes) {
            instancesWithNotice += process.node->notices().size();
        }
        EXPECT_GE(instancesWithNotice, 118u) << "of 120 after one second";
        cluster.run(seconds(1));
        instancesWithNotice = 0;
        for (const auto &process : cluster.processes) {
            instancesWithNotice += process.node->notices().size();
        }
        EXPECT_EQ(instancesWithNotice, 120u);
        EXPECT_LE(cluster.largestDatagram, MaxDatagramBytes);
    }
}

TEST(NoticeTest, NewerVersionReplacesAndExpiryRemoves)
{
    NoticeTable table(4);
    const Common::Time now{seconds(1)};
    EXPECT_TRUE(table.apply(poisonNotice("a", 2), now));
    EXPECT_FALSE(table.apply(poisonNotice("a", 1), now));
    EXPECT_FALSE(table.apply(poisonNotice("a", 2), now));
    EXPECT_TRUE(table.apply(poisonNotice("a", 3), now));
    table.expire(now + seconds(61));
    EXPECT_TRUE(table.all(now + seconds(61)).empty());
    EXPECT_EQ(table.hash(), NoticeTable(4).hash());
}

// Guards against unbounded memory use when a caller sends thousands of different requests that
// crash endpoints.
TEST(NoticeTest, TableIsBounded)
{
    NoticeTable table(4);
    const Common::Time now{seconds(1)};
    for (int i = 0; i < 100; ++i) {
        table.apply(poisonNotice(std::to_string(i)), now + milliseconds(i));
    }
    EXPECT_EQ(table.all(now).size(), 4u);
}

} // namespace
