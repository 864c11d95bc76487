#include <gtest/gtest.h>

#include "Fleet/Fleet.h"

namespace LaburnumChute::Fleet {

namespace {

Peer peer(const std::string &name, const std::string &region, milliseconds storeAge)
{
    Peer result;
    result.record.id = Common::InstanceId(name);
    result.record.region = Common::RegionName(region);
    result.record.storeAgeMs = static_cast<std::uint16_t>(storeAge.count());
    result.record.knownRevision = 10;
    result.alive = true;
    result.reachable = true;
    return result;
}

std::vector<Peer> fleet(std::size_t size, milliseconds storeAge)
{
    std::vector<Peer> peers;
    for (std::size_t index = 0; index < size; ++index) {
        peers.push_back(peer("n" + std::to_string(index), "north", storeAge));
    }
    return peers;
}

std::map<WatchDuty, int> duties(const std::vector<Peer> &all)
{
    std::map<WatchDuty, int> count;
    for (const auto &self : all) {
        auto others = all;
        std::erase_if(others, [&](const Peer &each) { return each.record.id == self.record.id; });
        ++count[watchDuty(self.record, others, WatchOptions())];
    }
    return count;
}

} // namespace

TEST(StoreWatchTest, TwoInstancesOfARegionWatch)
{
    const auto count = duties(fleet(10, milliseconds(300)));
    EXPECT_EQ(count.at(WatchDuty::Watches), 2);
    EXPECT_EQ(count.at(WatchDuty::Listens), 8);
}

TEST(StoreWatchTest, AllOfASmallRegionWatch)
{
    EXPECT_EQ(duties(fleet(2, milliseconds(300))).at(WatchDuty::Watches), 2);
}

// The store turns the region's watchers away and would serve the others. Nobody would learn of a
// configuration or of an endpoint that leaves.
TEST(StoreWatchTest, OthersLookForThemselvesWhenTheWatchersHearNothing)
{
    const auto count = duties(fleet(10, milliseconds(9000)));
    EXPECT_EQ(count.at(WatchDuty::Looks), 8);
}

TEST(StoreWatchTest, InstanceThatReachesNobodyWatches)
{
    auto others = fleet(10, milliseconds(300));
    for (auto &other : others) {
        other.reachable = false;
    }
    const auto self = peer("alone", "north", milliseconds(0)).record;
    EXPECT_EQ(watchDuty(self, others, WatchOptions()), WatchDuty::Watches);
}

TEST(StoreWatchTest, KnowledgeIsAsFreshAsThatOfAPeerWhoKnowsNoMore)
{
    const auto others = fleet(3, milliseconds(200));
    const auto known = knowledgeAge(std::chrono::seconds(60), 10, others);
    ASSERT_TRUE(known.has_value());
    EXPECT_LT(*known, std::chrono::seconds(2));
    EXPECT_EQ(knowledgeAge(std::chrono::seconds(60), 9, others), std::chrono::seconds(60));
}

// All instances of a region are started while the platform's store is away. None of them knows
// anything of the store; none may take another's ignorance for knowledge, or it would tell callers
// that their route does not exist.
TEST(StoreWatchTest, WhoeverNeverHeardTheStoreKnowsNothing)
{
    auto others = fleet(3, milliseconds(200));
    for (auto &other : others) {
        other.record.storeAgeMs.reset();
    }
    EXPECT_FALSE(knowledgeAge(std::nullopt, 10, others).has_value());
    EXPECT_EQ(knowledgeAge(std::chrono::seconds(3), 10, others), std::chrono::seconds(3));
}

} // namespace LaburnumChute::Fleet
