#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "Fleet/Fleet.h"

namespace LaburnumChute::Fleet {

namespace {

using std::chrono::seconds;

constexpr seconds Uptime{60};
constexpr Time Start = Time(seconds(1000));

Peer makePeer(const std::string &name, const std::string &region, milliseconds storeAge)
{
    Peer result;
    result.record.id = Common::InstanceId(name);
    result.record.region = Common::RegionName(region);
    result.record.storeAgeMs = static_cast<std::uint16_t>(storeAge.count());
    result.record.knownRevision = 10;
    result.recordedAt = Start;
    result.alive = true;
    result.reachable = true;
    return result;
}

std::vector<Peer> makePeers(std::size_t size, milliseconds storeAge)
{
    std::vector<Peer> peers;
    for (std::size_t index = 0; index < size; ++index) {
        peers.push_back(makePeer("n" + std::to_string(index), "north", storeAge));
    }
    return peers;
}

std::map<WatchDuty, int> countDuties(const std::vector<Peer> &all)
{
    std::map<WatchDuty, int> count;
    for (const auto &self : all) {
        auto others = all;
        std::erase_if(others, [&](const Peer &each) { return each.record.id == self.record.id; });
        ++count[watchDuty(self.record, others, Uptime, WatchOptions(), Start)];
    }
    return count;
}

/// Simulates the instances of one region, which exchange the age of their last store answer in
/// heartbeats.
class SimulatedRegion
{
public:
    SimulatedRegion(int size, milliseconds bound)
        : options_(watchOptionsFor(bound))
        // Without changes, a long-poll call is answered only when its wait time ends.
        , longestAnswerAge_(watchTimeout(bound) - watchMargin(bound))
    {
        std::set<std::string> addresses;
        for (int index = 0; index < size; ++index) {
            addresses.insert("n" + std::to_string(index));
        }
        for (const auto &address : addresses) {
            InstanceRecord record;
            record.id = Common::InstanceId(address);
            record.incarnation = 1;
            record.region = Common::RegionName("north");
            record.gossipAddress = address;
            rosters_[address] =
                std::make_unique<Roster>(RosterOptions(), record, rosters_.size() + 1);
            rosters_[address]->setSeeds(addresses);
            duties_[address] = WatchDuty::Watches;
        }
    }

    void run(milliseconds duration)
    {
        const auto end = now_ + duration;
        while (now_ < end) {
            // Instances send their heartbeats at different times of the interval.
            const auto step = RosterOptions().interval / static_cast<int>(rosters_.size());
            for (auto &[address, roster] : rosters_) {
                now_ += step;
                exchangeHeartbeats(address, *roster);
            }
        }
    }
    /// The store stops answering the watchers.
    void loseStore()
    {
        lostAt_ = now_;
    }
    int listeners() const
    {
        return static_cast<int>(std::count_if(duties_.begin(), duties_.end(), [](const auto &each) {
            return each.second == WatchDuty::Listens;
        }));
    }
    Time now() const
    {
        return now_;
    }
    /// The lowest age of the store's last response that any instance assumes.
    Duration lowestAge() const
    {
        Duration lowest = Duration::max();
        for (const auto &[address, peers] : peers_) {
            lowest = std::min(lowest, storeDataAge(std::nullopt, 0, peers, now_).value_or(lowest));
        }
        return lowest;
    }

private:
    void exchangeHeartbeats(const std::string &address, Roster &roster)
    {
        std::optional<Duration> answerAge;
        if (duties_[address] == WatchDuty::Watches) {
            answerAge = lostAt_ ? now_ - *lostAt_ : longestAnswerAge_;
        }
        // As in an instance, peers are those of the heartbeat before.
        auto &peers = peers_[address];
        roster.setStoreContact(storeDataAge(answerAge, 0, peers, now_), std::nullopt);
        deliver(roster.tick(now_));
        peers = roster.peers(now_);
        duties_[address] = watchDuty(roster.self(), peers, Uptime, options_, now_);
    }
    void deliver(const Sends &sends)
    {
        for (const auto &send : sends) {
            const auto &heartbeat = std::get<Heartbeat>(*send.message);
            deliver(rosters_.at(send.address)->receive(heartbeat, now_));
        }
    }

    WatchOptions options_;
    Duration longestAnswerAge_;
    std::map<std::string, std::unique_ptr<Roster>> rosters_;
    std::map<std::string, std::vector<Peer>> peers_;
    std::map<std::string, WatchDuty> duties_;
    std::optional<Time> lostAt_;
    Time now_ = Start;
};

} // namespace

TEST(StoreWatchTest, TwoInstancesOfARegionWatch)
{
    const auto count = countDuties(makePeers(10, milliseconds(300)));
    EXPECT_EQ(count.at(WatchDuty::Watches), 2);
    EXPECT_EQ(count.at(WatchDuty::Listens), 8);
}

TEST(StoreWatchTest, AllOfASmallRegionWatch)
{
    EXPECT_EQ(countDuties(makePeers(2, milliseconds(300))).at(WatchDuty::Watches), 2);
}

// Guards against relying on watchers whose calls the store rejects while it would serve the other
// instances. No instance would learn of a new configuration or of a draining endpoint.
TEST(StoreWatchTest, OthersQueryTheStoreWhenTheWatchersGetNoResponse)
{
    const auto count = countDuties(makePeers(10, milliseconds(9000)));
    EXPECT_EQ(count.at(WatchDuty::Looks), 8);
}

// Guards against applying a change late when the store stops responding to all watchers at the
// moment of the change while heartbeats still arrive. Listeners must not rely on the watchers for
// longer than the bound allows.
TEST(StoreWatchTest, ListenersAskTheStoreWithinTheBoundWhenAllWatchersLoseIt)
{
    constexpr int Instances = 12;
    const auto interval = RosterOptions().interval;
    for (const auto bound : {seconds(3), seconds(5)}) {
        SimulatedRegion region(Instances, bound);
        region.run(seconds(5));
        ASSERT_EQ(region.listeners(), Instances - static_cast<int>(WatchOptions().watchers));
        region.loseStore();
        const auto lostAt = region.now();
        while (region.listeners() > 0 && region.now() - lostAt < seconds(20)) {
            region.run(interval);
        }
        // Leaves time for the call to the store and for requests already assigned to an endpoint.
        EXPECT_LT(region.now() - lostAt, bound - milliseconds(600)) << bound.count();
    }
}

// Instances relay the age of the store's last response from one to the next. Guards against an age
// that falls behind on the way: an endpoint that has left would be used for longer than the bound
// allows.
TEST(StoreWatchTest, RelayedAgesAreNeverTooLow)
{
    for (const int instances : {4, 12, 40}) {
        SimulatedRegion region(instances, seconds(5));
        region.run(seconds(5));
        region.loseStore();
        const auto lostAt = region.now();
        while (region.now() - lostAt < seconds(10)) {
            region.run(milliseconds(50));
            EXPECT_GE(region.lowestAge(), region.now() - lostAt) << instances;
        }
    }
}

// Guards against needless store calls, each of which has a price, while the watchers' long-poll
// calls wait for a change.
TEST(StoreWatchTest, ListenersDoNotAskTheStoreWhileItHasNoChanges)
{
    constexpr int Instances = 12;
    SimulatedRegion region(Instances, seconds(3));
    region.run(seconds(5));
    EXPECT_EQ(region.listeners(), Instances - static_cast<int>(WatchOptions().watchers));
}

TEST(StoreWatchTest, InstanceWithoutLivingPeersWatches)
{
    auto others = makePeers(10, milliseconds(300));
    for (auto &other : others) {
        other.alive = false;
        other.reachable = false;
    }
    const auto self = makePeer("alone", "north", milliseconds(0)).record;
    EXPECT_EQ(watchDuty(self, others, Uptime, WatchOptions(), Start), WatchDuty::Watches);
}

// Guards against a watcher for each instance of a large region, where most instances have not
// heard each other directly for seconds: all calls to the store have a price.
TEST(StoreWatchTest, TwoInstancesWatchThoughMostAreKnownFromOthersOnly)
{
    auto all = makePeers(200, milliseconds(300));
    for (std::size_t index = 0; index < all.size(); ++index) {
        all[index].reachable = index % 3 == 0;
    }
    EXPECT_EQ(countDuties(all).at(WatchDuty::Watches), 2);
}

// Guards against calls by all instances of a large region at once when the store stops answering.
TEST(StoreWatchTest, FewInstancesQueryTheStoreAtFirst)
{
    const WatchOptions options;
    for (const std::size_t size : {40U, 200U, 1000U}) {
        const auto atFirst = options.answerAge + milliseconds(1);
        EXPECT_EQ(countDuties(makePeers(size, atFirst)).at(WatchDuty::Looks), 6) << size;
        const auto later = options.answerAge + options.lookStep + milliseconds(1);
        EXPECT_EQ(countDuties(makePeers(size, later)).at(WatchDuty::Looks), 30) << size;
        EXPECT_EQ(countDuties(makePeers(size, milliseconds(9000))).count(WatchDuty::Listens), 0U);
    }
}

TEST(StoreWatchTest, StoreDataIsAsRecentAsThatOfAPeerWithNoLaterRevision)
{
    const auto others = makePeers(3, milliseconds(200));
    const auto known = storeDataAge(std::chrono::seconds(60), 10, others, Start);
    ASSERT_TRUE(known.has_value());
    EXPECT_LT(*known, std::chrono::seconds(2));
    EXPECT_EQ(storeDataAge(std::chrono::seconds(60), 9, others, Start), std::chrono::seconds(60));
}

// All instances of a region start during a store outage, so that none has any store data. Guards
// against treating the data of a peer without store contact as current, in which case callers would
// be told that their route does not exist.
TEST(StoreWatchTest, StoreDataAgeIsUnknownWithoutStoreContact)
{
    auto others = makePeers(3, milliseconds(200));
    for (auto &other : others) {
        other.record.storeAgeMs.reset();
    }
    EXPECT_FALSE(storeDataAge(std::nullopt, 10, others, Start).has_value());
    EXPECT_EQ(storeDataAge(std::chrono::seconds(3), 10, others, Start), std::chrono::seconds(3));
}

} // namespace LaburnumChute::Fleet
