#include <map>
#include <set>

#include <gtest/gtest.h>

#include "Relay/SyncSource.h"
#include "Relay/TransferBudget.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;
using Common::seconds;
using Common::Time;

Fleet::Peer makePeer(std::size_t index, Catalog::Revision known)
{
    Fleet::Peer peer;
    peer.record.id = Common::InstanceId("n" + std::to_string(index));
    peer.record.region = Common::RegionName("home");
    peer.record.failureDomain = Common::FailureDomainName(index % 2 == 0 ? "home-a" : "home-b");
    peer.record.knownRevision = known;
    peer.alive = true;
    peer.reachable = true;
    return peer;
}

SyncSource makeSource(std::size_t index)
{
    return SyncSource(Common::RegionName("home"), makePeer(index, 0).record.failureDomain,
                      index + 1);
}

/// Simulates the instances of a region that fetch a listing from each other after one of them has
/// read it from the store.
class SimulatedRestart
{
public:
    SimulatedRestart(std::size_t size, std::size_t listingBytes, double linkBytesPerSecond)
        : listingBytes_(listingBytes)
        , transferTime_(std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(
              static_cast<double>(listingBytes) / linkBytesPerSecond)))
    {
        for (std::size_t index = 0; index < size; ++index) {
            peers_.push_back(makePeer(index, 0));
            sources_.push_back(makeSource(index));
            budgets_.emplace_back(linkBytesPerSecond);
        }
        peers_.front().record.knownRevision = 1;
        doneAt_[0] = now_;
    }

    Common::Duration untilAllHaveIt()
    {
        const auto start = now_;
        while (doneAt_.size() < peers_.size() && now_ - start < seconds(60)) {
            now_ += milliseconds(10);
            step();
        }
        return now_ - start;
    }
    std::size_t mostServedByOne() const
    {
        std::size_t most = 0;
        for (const auto &[index, count] : served_) {
            most = std::max(most, count);
        }
        return most;
    }

private:
    void step()
    {
        for (const auto &[index, at] : arrivesAt_) {
            if (at <= now_ && doneAt_.emplace(index, at).second) {
                peers_[index].record.knownRevision = 1;
            }
        }
        for (std::size_t index = 0; index < peers_.size(); ++index) {
            if (arrivesAt_.count(index) == 0 && doneAt_.count(index) == 0
                && now_ >= nextRequestAt_[index]) {
                request(index);
            }
        }
    }
    void request(std::size_t index)
    {
        nextRequestAt_[index] = now_ + milliseconds(150);
        const auto *peer = sources_[index].choose(peers_, 0, now_);
        if (peer == nullptr) {
            return;
        }
        const auto server = static_cast<std::size_t>(peer - peers_.data());
        if (budgets_[server].admit(listingBytes_, now_)) {
            // Transfers that were admitted together share the link.
            arrivesAt_[index] = now_ + transferTime_ * 3;
            ++served_[server];
        } else {
            sources_[index].busy(peer->record.id, now_);
        }
    }

    std::size_t listingBytes_;
    Common::Duration transferTime_;
    std::vector<Fleet::Peer> peers_;
    std::vector<SyncSource> sources_;
    std::vector<TransferBudget> budgets_;
    std::map<std::size_t, Time> arrivesAt_;
    std::map<std::size_t, Time> doneAt_;
    std::map<std::size_t, Time> nextRequestAt_;
    std::map<std::size_t, std::size_t> served_;
    Time now_ = Time(seconds(1000));
};

} // namespace

// Guards against serving a whole region from the one instance with the newest revision.
TEST(SyncSourceTest, RequestsAreSpreadOverThePeersThatHaveMore)
{
    for (const std::size_t size : {40U, 400U}) {
        std::vector<Fleet::Peer> peers;
        for (std::size_t index = 0; index < 20; ++index) {
            peers.push_back(makePeer(index, 2 + index));
        }
        std::map<Common::InstanceId, std::size_t> requests;
        for (std::size_t index = 0; index < size; ++index) {
            ++requests[makeSource(index).choose(peers, 1, Time(seconds(1)))->record.id];
        }
        for (const auto &[id, count] : requests) {
            EXPECT_LE(count, size / 20 * 2 + 8) << id.text();
        }
    }
}

TEST(SyncSourceTest, PeersOfTheOwnFailureDomainArePreferred)
{
    const std::vector<Fleet::Peer> peers = {makePeer(0, 5), makePeer(1, 9), makePeer(2, 3)};
    auto source = makeSource(3);
    EXPECT_EQ(source.choose(peers, 1, Time(seconds(1)))->record.id, peers[1].record.id);
    source.busy(peers[1].record.id, Time(seconds(1)));
    EXPECT_NE(source.choose(peers, 1, Time(seconds(1)))->record.id, peers[1].record.id);
    EXPECT_EQ(source.choose(peers, 9, Time(seconds(1))), nullptr);
}

// Guards against a restart of all instances in which the few that have the listing serve hundreds
// at once over their narrow links, so that no transfer ends in time.
TEST(SyncSourceTest, AListingReachesAllInstancesWithinSeconds)
{
    constexpr std::size_t ListingBytes = 300'000;
    constexpr double LinkBytesPerSecond = 3e6 * 0.7;
    for (const std::size_t size : {34U, 195U, 1000U}) {
        SimulatedRestart restart(size, ListingBytes, LinkBytesPerSecond);
        EXPECT_LT(restart.untilAllHaveIt(), seconds(6)) << size;
        EXPECT_LE(restart.mostServedByOne(), 50U) << size;
    }
}

} // namespace LaburnumChute::Relay
