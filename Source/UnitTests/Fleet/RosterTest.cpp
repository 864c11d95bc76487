#include <functional>

#include <gtest/gtest.h>

#include "Fleet/Fleet.h"

namespace LaburnumChute::Fleet {

namespace {

/// Simulates instances that exchange heartbeats, with message loss and suspended processes.
class SimulatedFleet
{
public:
    using DropRule = std::function<bool(const std::string &from, const std::string &to)>;

    explicit SimulatedFleet(const std::vector<std::string> &seeds)
        : seeds_(seeds.begin(), seeds.end())
    {
    }

    void start(const std::string &name, const std::string &region, std::uint64_t incarnation = 1)
    {
        InstanceRecord record;
        record.id = Common::InstanceId(name);
        record.incarnation = incarnation;
        record.region = Common::RegionName(region);
        // Two failure domains per region.
        record.failureDomain = Common::FailureDomainName(region + (name.back() % 2 ? "-a" : "-b"));
        record.gossipAddress = name;
        record.ready = true;
        auto roster =
            std::make_unique<Roster>(RosterOptions(), record, incarnation * 31 + rosters_.size());
        roster->setSeeds(seeds_);
        rosters_[name] = std::move(roster);
    }
    void stop(const std::string &name)
    {
        rosters_.erase(name);
    }
    void setDropRule(DropRule rule)
    {
        dropRule_ = std::move(rule);
    }

    void run(milliseconds time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            // Instances send their heartbeats at different times of the interval.
            const auto roundEnd = now_ + RosterOptions().interval;
            const auto step = Duration(RosterOptions().interval) / rosters_.size();
            for (auto &[name, roster] : rosters_) {
                if (suspended_.count(name) == 0) {
                    deliver(name, roster->tick(now_));
                }
                now_ += step;
                learnDueRevisions();
            }
            now_ = roundEnd;
        }
    }
    void suspend(const std::string &name)
    {
        suspended_.insert(name);
    }
    void resume(const std::string &name)
    {
        suspended_.erase(name);
    }
    void deliver(const std::string &from, const Sends &sends)
    {
        for (const auto &send : sends) {
            const auto receiver = rosters_.find(send.address);
            const bool runs = receiver != rosters_.end() && suspended_.count(send.address) == 0;
            const bool reaches = runs && !(dropRule_ && dropRule_(from, send.address)) && !isLost();
            const bool crossesDomains = runs && domain(from) != domain(send.address);
            sentInRegion_ += runs && region(from) == region(send.address) ? 1 : 0;
            sentBetweenDomains_ += crossesDomains && region(from) == region(send.address) ? 1 : 0;
            const bool crosses = runs && region(from) != region(send.address);
            sentToStopped_ += runs ? 0 : 1;
            sentBetweenRegions_ += crosses ? 1 : 0;
            if (reaches) {
                ++deliveredCount_;
                noteRevision(send.address, *send.message);
                deliver(send.address, receive(*receiver->second, *send.message));
            }
        }
    }

    Sends receive(Roster &receiver, const Message &message)
    {
        if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
            return receiver.receive(*heartbeat, now_);
        }
        return receiver.receive(std::get<RegionDigest>(message), now_).sends;
    }

    Roster &at(const std::string &name)
    {
        return *rosters_.at(name);
    }
    std::size_t alive(const std::string &viewer)
    {
        const auto peers = at(viewer).peers(now_);
        return static_cast<std::size_t>(
            std::count_if(peers.begin(), peers.end(), [](const Peer &peer) { return peer.alive; }));
    }
    std::optional<Peer> view(const std::string &viewer, const std::string &of)
    {
        for (const auto &peer : at(viewer).peers(now_)) {
            if (peer.record.id == Common::InstanceId(of)) {
                return peer;
            }
        }
        return std::nullopt;
    }
    std::size_t aliveIn(const std::string &viewer, const std::string &region)
    {
        return countIn(viewer, region, &Peer::alive);
    }
    std::size_t reachableIn(const std::string &viewer, const std::string &region)
    {
        return countIn(viewer, region, &Peer::reachable);
    }
    /// The instance has a new revision of the store; the others fetch it from those that tell of
    /// it.
    void publish(const std::string &name, std::uint64_t revision)
    {
        at(name).setStoreRevision(revision);
        deliver(name, at(name).spreadRevision(now_));
    }
    std::size_t countWithRevision(std::uint64_t revision) const
    {
        return static_cast<std::size_t>(
            std::count_if(rosters_.begin(), rosters_.end(), [&](const auto &item) {
                return item.second->self().knownRevision >= revision;
            }));
    }
    /// Loses this fraction of all messages.
    void lose(double fraction)
    {
        lostFraction_ = fraction;
    }
    std::size_t sentBetweenRegions() const
    {
        return sentBetweenRegions_;
    }
    /// Of the messages within regions, the fraction between failure domains.
    double fractionBetweenDomains() const
    {
        return static_cast<double>(sentBetweenDomains_) / static_cast<double>(sentInRegion_);
    }
    std::size_t sentToStopped() const
    {
        return sentToStopped_;
    }
    Time now() const
    {
        return now_;
    }

private:
    void noteRevision(const std::string &receiver, const Message &message)
    {
        const auto *heartbeat = std::get_if<Heartbeat>(&message);
        const auto known = at(receiver).self().knownRevision;
        if (heartbeat != nullptr && heartbeat->self.knownRevision > known) {
            fetches_.try_emplace(receiver, now_ + FetchTime, heartbeat->self.knownRevision);
        }
    }
    void learnDueRevisions()
    {
        std::vector<std::pair<std::string, std::uint64_t>> due;
        for (const auto &[name, fetch] : fetches_) {
            if (fetch.first <= now_) {
                due.emplace_back(name, fetch.second);
            }
        }
        for (const auto &[name, revision] : due) {
            fetches_.erase(name);
            publish(name, revision);
        }
    }
    const Common::RegionName &region(const std::string &name)
    {
        return at(name).self().region;
    }
    const Common::FailureDomainName &domain(const std::string &name)
    {
        return at(name).self().failureDomain;
    }
    bool isLost()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < lostFraction_;
    }
    std::size_t countIn(const std::string &viewer, const std::string &region, bool Peer::*flag)
    {
        const auto peers = at(viewer).peers(now_);
        return static_cast<std::size_t>(
            std::count_if(peers.begin(), peers.end(), [&](const Peer &peer) {
                return peer.*flag && peer.record.region == Common::RegionName(region);
            }));
    }

    std::set<std::string> seeds_;
    std::map<std::string, std::unique_ptr<Roster>> rosters_;
    std::set<std::string> suspended_;
    DropRule dropRule_;
    /// Request to a peer of the region and its answer, in an instance with a fraction of a core.
    static constexpr milliseconds FetchTime{30};
    /// When each instance that has been told of a newer revision will have it.
    std::map<std::string, std::pair<Time, std::uint64_t>> fetches_;
    std::mt19937_64 random_{1};
    double lostFraction_ = 0;
    std::size_t sentBetweenRegions_ = 0;
    std::size_t sentInRegion_ = 0;
    std::size_t sentBetweenDomains_ = 0;
    std::size_t sentToStopped_ = 0;
    Time now_ = Time(std::chrono::seconds(1000));
    std::size_t deliveredCount_ = 0;
};

} // namespace

TEST(RosterTest, InstancesFindEachOtherThroughOneSeed)
{
    SimulatedFleet fleet({"a"});
    for (const auto *name : {"a", "b", "c", "d"}) {
        fleet.start(name, "north");
    }
    fleet.run(milliseconds(3000));
    for (const auto *name : {"a", "b", "c", "d"}) {
        EXPECT_EQ(fleet.alive(name), 3U) << name;
    }
}

// Guards against losing known peers while no seed responds: two seeds are outdated, the third one
// is stopped and later restarted. Peers must stay known meanwhile, and all instances must join
// again after the restart.
TEST(RosterTest, KnownPeersStayAliveWhileSeedsAreDown)
{
    SimulatedFleet fleet({"gone1", "gone2", "a"});
    fleet.start("a", "north");
    fleet.start("b", "north");
    fleet.start("c", "south");
    fleet.run(milliseconds(3000));
    fleet.stop("a");
    fleet.run(milliseconds(10000));
    EXPECT_EQ(fleet.alive("b"), 1U);
    fleet.start("a", "north", 2);
    fleet.run(milliseconds(5000));
    EXPECT_EQ(fleet.alive("b"), 2U);
    EXPECT_EQ(fleet.alive("c"), 2U);
}

// Guards against a slow join when all instances start in the same second and a seed is not up yet.
// With a retry only every two seconds, the first instance would assume for as long that it is
// alone, and could send a newly started endpoint the load that all instances together may send.
TEST(RosterTest, FirstInstanceJoinsAsSoonAsItsSeedIsUp)
{
    SimulatedFleet fleet({"seed"});
    fleet.start("first", "north");
    fleet.run(milliseconds(500));
    fleet.start("seed", "north");
    fleet.run(milliseconds(500));
    EXPECT_EQ(fleet.alive("first"), 1U);
    EXPECT_EQ(fleet.alive("seed"), 1U);
}

// Guards against directing callers to a killed instance for too long: each of them would
// lose a second on a connection attempt without response.
TEST(RosterTest, KilledInstanceIsDetectedWithinSeconds)
{
    SimulatedFleet fleet({"a"});
    for (const auto *name : {"a", "b", "c"}) {
        fleet.start(name, "north");
    }
    fleet.run(milliseconds(3000));
    fleet.stop("b");
    fleet.run(milliseconds(2750));
    EXPECT_FALSE(fleet.view("a", "b")->alive);
    EXPECT_FALSE(fleet.view("a", "b")->reachable);
    EXPECT_TRUE(fleet.view("a", "c")->alive);
}

// Guards against considering all peers dead after the own process was suspended for seconds, in
// which it received nothing. Callers would then be directed to this instance alone.
TEST(RosterTest, ResumedProcessKeepsItsPeersAlive)
{
    SimulatedFleet fleet({"a"});
    for (const auto *name : {"a", "b", "c"}) {
        fleet.start(name, "north");
    }
    fleet.run(milliseconds(3000));
    fleet.suspend("a");
    fleet.run(milliseconds(8000));
    fleet.resume("a");
    fleet.deliver("a", fleet.at("a").tick(fleet.now()));
    EXPECT_EQ(fleet.alive("a"), 2U);
}

TEST(RosterTest, LeavingIsAnnouncedImmediately)
{
    SimulatedFleet fleet({"a"});
    fleet.start("a", "north");
    fleet.start("b", "south");
    fleet.run(milliseconds(3000));
    fleet.at("b").setLeaving();
    fleet.deliver("b", fleet.at("b").announce(fleet.now()));
    EXPECT_TRUE(fleet.view("a", "b")->record.leaving);
}

// Guards against applying the leaving state of an earlier incarnation to an instance that was
// restarted under the same id, which would keep callers away from it.
TEST(RosterTest, NewIncarnationReplacesTheLeavingOne)
{
    SimulatedFleet fleet({"a"});
    fleet.start("a", "north");
    fleet.start("b", "north");
    fleet.run(milliseconds(3000));
    fleet.at("b").setLeaving();
    fleet.run(milliseconds(1000));
    fleet.stop("b");
    fleet.start("b", "north", 2);
    fleet.run(milliseconds(3000));
    EXPECT_FALSE(fleet.view("a", "b")->record.leaving);
    EXPECT_TRUE(fleet.view("a", "b")->alive);
}

// Heartbeats are lost in one direction only. The instance that receives none must consider the
// sender unreachable, since a forwarded request would lose its response. Each instance judges a
// peer only by the heartbeats that it receives itself.
TEST(RosterTest, OneWayLossMakesTheSilentSideUnreachable)
{
    SimulatedFleet fleet({"a"});
    fleet.start("a", "north");
    fleet.start("b", "south");
    fleet.run(milliseconds(3000));
    fleet.setDropRule([](const std::string &from, const std::string &) { return from == "a"; });
    fleet.run(milliseconds(4000));
    EXPECT_FALSE(fleet.view("b", "a")->reachable);
    EXPECT_TRUE(fleet.view("a", "b")->reachable);
}

// Guards against a permanent split after a partition between regions that lasts longer than the
// alive timeout: the instances must find each other again without a running seed.
TEST(RosterTest, RegionsRejoinAfterAPartition)
{
    SimulatedFleet fleet({"a"});
    fleet.start("a", "north");
    fleet.start("b", "south");
    fleet.run(milliseconds(3000));
    fleet.setDropRule([](const std::string &, const std::string &) { return true; });
    fleet.run(milliseconds(15000));
    EXPECT_EQ(fleet.alive("a"), 0U);
    fleet.setDropRule(nullptr);
    fleet.run(milliseconds(4000));
    EXPECT_EQ(fleet.alive("a"), 1U);
    EXPECT_EQ(fleet.alive("b"), 1U);
}

// Guards against instances of a region that are cut from each other and each take a bound of the
// region for themselves.
TEST(RosterTest, SilentInstancesShareTheBoundsOfTheirRegion)
{
    SimulatedFleet fleet({"a", "b"});
    fleet.start("a", "north");
    fleet.start("b", "north");
    fleet.run(milliseconds(3000));
    fleet.setDropRule([](const std::string &, const std::string &) { return true; });
    fleet.run(milliseconds(15000));
    EXPECT_EQ(fleet.alive("a"), 0U);
    EXPECT_EQ(fleet.at("a").regionSharers(fleet.now()).known.size(), 2U);
    fleet.start("a", "north", 2);
    fleet.run(milliseconds(5000));
    EXPECT_EQ(fleet.at("a").regionSharers(fleet.now()).count, 2U);
}

// In a large fleet, an instance exchanges heartbeats with only some of its peers. The ages in their
// heartbeats must keep the remaining ones alive.
TEST(RosterTest, LargeRegionStaysAliveThroughRelayedAges)
{
    SimulatedFleet fleet({"n0", "n1"});
    constexpr int Instances = 60;
    for (int index = 0; index < Instances; ++index) {
        fleet.start("n" + std::to_string(index), index % 2 == 0 ? "north" : "south");
    }
    fleet.run(milliseconds(20000));
    EXPECT_EQ(fleet.aliveIn("n7", "south"), Instances / 2 - 1U);
    EXPECT_EQ(fleet.at("n7").aliveInstances(fleet.now()), static_cast<std::size_t>(Instances));
}

// Guards against omitting the same instances from all heartbeats when a large region exceeds the
// entries of one heartbeat. Peers that get no heartbeats from them would consider them dead until
// the next one arrives.
TEST(RosterTest, NoRunningInstanceOfALargeRegionIsConsideredDead)
{
    for (const std::size_t size : {40U, 300U}) {
        SimulatedFleet fleet({"n100"});
        fleet.lose(0.02);
        fleet.start("lone", "south");
        for (std::size_t index = 0; index < size; ++index) {
            fleet.start("n" + std::to_string(100 + index), "north");
        }
        fleet.run(milliseconds(5000));
        for (int round = 0; round < 8; ++round) {
            fleet.run(milliseconds(250));
            for (const std::string viewer : {"n100", "n117", "n139"}) {
                EXPECT_EQ(fleet.aliveIn(viewer, "north"), size - 1) << viewer << " of " << size;
                EXPECT_EQ(fleet.at(viewer).aliveInstances(fleet.now()), size + 1) << viewer;
            }
        }
    }
}

// Guards against a region without usable contacts in a large one: a single instance must always
// know several running instances of the other region to which it can forward.
TEST(RosterTest, SingleInstanceOfARegionKnowsContactsInALargeRegion)
{
    for (const std::size_t size : {60U, 200U}) {
        SimulatedFleet fleet({"n100", "n101"});
        fleet.start("lone", "south");
        for (std::size_t index = 0; index < size; ++index) {
            fleet.start("n" + std::to_string(100 + index), "north");
        }
        fleet.run(milliseconds(10000));
        for (int second = 0; second < 5; ++second) {
            fleet.run(milliseconds(1000));
            EXPECT_GE(fleet.reachableIn("lone", "north"), 16U) << size;
            EXPECT_EQ(fleet.at("lone").aliveInstances(fleet.now()), size + 1);
        }
    }
}

// Guards against messages to other regions from every instance: their number must not depend on
// the size of the regions.
TEST(RosterTest, MessagesBetweenRegionsDoNotGrowWithTheRegions)
{
    for (const std::size_t size : {12U, 60U, 200U}) {
        SimulatedFleet fleet({"north100"});
        for (const std::string region : {"north", "south", "west"}) {
            for (std::size_t index = 0; index < size; ++index) {
                fleet.start(region + std::to_string(100 + index), region);
            }
        }
        fleet.run(milliseconds(6000));
        const auto before = fleet.sentBetweenRegions();
        fleet.run(milliseconds(4000));
        // Three speakers of three regions send 6 digests to each of two regions, twice a second.
        EXPECT_LE(fleet.sentBetweenRegions() - before, 3U * 3 * 6 * 2 * 8) << size;
    }
}

// Guards against sending half of all messages between failure domains, which costs more.
TEST(RosterTest, MostMessagesOfALargeRegionStayInTheirFailureDomain)
{
    for (const std::size_t size : {60U, 300U}) {
        SimulatedFleet fleet({"n100"});
        for (std::size_t index = 0; index < size; ++index) {
            fleet.start("n" + std::to_string(100 + index), "north");
        }
        fleet.run(milliseconds(6000));
        EXPECT_LT(fleet.fractionBetweenDomains(), 0.4) << size;
        EXPECT_EQ(fleet.aliveIn("n107", "north"), size - 1);
    }
}

// Guards against a change of the store that reaches a large region only with the next heartbeats of
// those that have it, or that is told to all instances by each of the watchers.
TEST(RosterTest, RevisionReachesALargeRegionWithinHalfASecond)
{
    for (const std::size_t size : {40U, 300U}) {
        SimulatedFleet fleet({"n100"});
        fleet.lose(0.01);
        for (std::size_t index = 0; index < size; ++index) {
            fleet.start("n" + std::to_string(100 + index), "north");
        }
        fleet.run(milliseconds(4000));
        fleet.publish("n107", 5);
        fleet.run(milliseconds(250));
        EXPECT_GE(fleet.countWithRevision(5), size * 9 / 10) << size;
        fleet.run(milliseconds(250));
        EXPECT_GE(fleet.countWithRevision(5), size * 99 / 100) << size;
        fleet.run(milliseconds(250));
        EXPECT_EQ(fleet.countWithRevision(5), size);
    }
}

// Guards against a flood to the silent instances after the loss of a failure domain: what an
// instance sends must not grow with their number.
TEST(RosterTest, AttemptsToReachSilentInstancesAreBounded)
{
    for (const std::size_t size : {40U, 300U}) {
        SimulatedFleet fleet({"n100"});
        for (std::size_t index = 0; index < size; ++index) {
            fleet.start("n" + std::to_string(100 + index), "north");
        }
        fleet.run(milliseconds(4000));
        const std::size_t running = size / 2;
        for (std::size_t index = running; index < size; ++index) {
            fleet.stop("n" + std::to_string(100 + index));
        }
        fleet.run(milliseconds(4000));
        const auto before = fleet.sentToStopped();
        fleet.run(milliseconds(4000));
        const auto perInstance =
            static_cast<double>(fleet.sentToStopped() - before) / static_cast<double>(running);
        EXPECT_LE(perInstance, 8.0) << size;
        EXPECT_EQ(fleet.aliveIn("n101", "north"), running - 1);
    }
}

} // namespace LaburnumChute::Fleet
