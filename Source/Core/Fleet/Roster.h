#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Fleet/Heartbeat.h"

namespace LaburnumChute::Fleet {

using Common::Duration;
using Common::milliseconds;
using Common::Time;

/// Timing and fan-out of the heartbeats.
struct RosterOptions
{
    /// Interval between heartbeats to instances of the same region. The endpoint load that they
    /// report is up to this old; a request holds its slot on an endpoint for about as long.
    milliseconds interval{250};
    /// Rounds between heartbeats to other regions: traffic between regions costs four times as much
    /// as traffic within one.
    int otherRegionRoundInterval = 2;
    /// An instance counts as alive for this long after the last evidence of it. Equals four
    /// heartbeats between regions, which tolerates the loss of two.
    milliseconds aliveTimeout{2000};
    /// Requests are forwarded only to an instance that itself sent a heartbeat this recently.
    milliseconds reachableTimeout{1600};
    /// Receivers per round in the own region and in the others. In regions of up to 16 instances,
    /// every instance sends to every other one; in larger ones, ages are also relayed in the
    /// heartbeats of peers.
    std::size_t ownRegionFanout = 16;
    std::size_t otherRegionFanout = 6;
    /// Rounds between heartbeats to silent instances and to seeds that are not known to be alive.
    int retryRoundInterval = 8;
    /// For this many rounds after its start (5 s), an instance contacts them in every round: its
    /// seeds may be starting as well, and until one responds it assumes that it is alone.
    int initialRetryRounds = 20;
    /// Entries of silent instances are removed after this time.
    milliseconds forgetAfter{120000};
};

/// Another instance as this one knows it.
struct Peer
{
    InstanceRecord record;
    bool alive = false;
    /// This instance has recently received a heartbeat from the peer itself.
    bool reachable = false;
};

struct SendHeartbeat
{
    std::string address;
    Heartbeat heartbeat;
};

using Sends = std::vector<SendHeartbeat>;

/// Encoded reports that heartbeats carry.
struct Reports
{
    std::string load;
    std::string usage;
};

/// Gossip-based membership. At short intervals, every instance sends some of its peers its own
/// record and the times at which it last heard of others. A new instance contacts the seeds and
/// learns the remaining instances from their responses.
///
/// Without it, callers would be directed to instances that no longer exist and lose a second on
/// each of them, and a region that is partitioned off would look idle. A process that was suspended
/// receives nothing during that time; the gap is subtracted from all ages so that it does not
/// consider all peers dead.
class Roster
{
public:
    Roster(RosterOptions options, InstanceRecord self, std::uint64_t seed);

    /// Sets the addresses that are contacted before any peer is known; may be called again.
    void setSeeds(const std::set<std::string> &gossipAddresses);
    void setReady(bool ready);
    void setLeaving();
    void setStoreRevision(std::uint64_t revision);
    void setConfiguration(Common::ConfigurationNumber version);
    /// @param sinceAnswer empty if the store has never answered
    void setStoreContact(std::optional<Duration> sinceAnswer, bool settled);
    /// Sets the reports that heartbeats carry to the own region and to other regions.
    void setReports(Reports ownRegion, Reports otherRegions);

    /// Returns the heartbeats of one round. To be called once per interval.
    Sends tick(Time now);
    /// Returns heartbeats to all peers that are alive, for changes that must be known immediately.
    Sends announce(Time now);
    /// Processes a heartbeat; returns the heartbeats to be sent in response.
    Sends receive(const Heartbeat &heartbeat, Time now);

    std::vector<Peer> peers(Time now) const;
    const InstanceRecord &self() const
    {
        return self_;
    }

private:
    struct Entry
    {
        InstanceRecord record;
        Time heard{};
        Time heardDirectly{};
        bool everHeardDirectly = false;
    };

    Heartbeat makeHeartbeat(const Common::RegionName &receiver, Time now) const;
    std::vector<HeardInstance> nextHeardBatch(const Common::RegionName &receiver, Time now) const;
    void addHeartbeat(Sends &sends, const Entry &entry, Time now) const;
    void mergeRecord(const InstanceRecord &record, Time now);
    std::vector<InstanceRecord> sampleAliveRecords(Time now);
    bool alive(const Entry &entry, Time now) const;
    std::vector<const Entry *> chooseReceivers(bool ownRegion, Time now);
    void addRetryHeartbeats(Sends &sends, Time now);
    void compensateForSuspension(Time now);

    RosterOptions options_;
    InstanceRecord self_;
    std::set<std::string> seeds_;
    std::map<Common::InstanceId, Entry> entries_;
    Reports ownRegionReports_;
    Reports otherRegionsReports_;
    std::mt19937_64 random_;
    int round_ = 0;
    Time lastTick_{};
};

} // namespace LaburnumChute::Fleet
