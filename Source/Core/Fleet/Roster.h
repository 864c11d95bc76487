#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Fleet/Heartbeat.h"
#include "Fleet/Population.h"

namespace LaburnumChute::Fleet {

using Common::Duration;
using Common::milliseconds;
using Common::Time;

/// Timing and fan-out of the messages between instances.
struct RosterOptions
{
    /// Interval between heartbeats to instances of the same region. The endpoint load that they
    /// report is up to this old; a request holds its slot on an endpoint for about as long.
    milliseconds interval{250};
    /// An instance counts as alive for this long after the last evidence of it. Equals four
    /// intervals of digests, which tolerates the loss of two.
    milliseconds aliveTimeout{2000};
    /// Requests are forwarded only to an instance that was heard from this recently.
    milliseconds reachableTimeout{1600};
    /// Receivers per round in the own region. In regions of up to 16 other instances, every
    /// instance sends to every other one; in larger ones, ages are also relayed in the heartbeats
    /// of peers.
    std::size_t fanout = 16;
    /// Of the receivers of a message that goes to a part of the region, one in this many is in
    /// another failure domain. Traffic between failure domains costs more than within one.
    std::size_t otherDomainDivisor = 4;
    /// Instances of a region that send digests to the other regions. Three, so that the loss of a
    /// failure domain seldom leaves none.
    std::size_t speakers = 3;
    /// Rounds between digests.
    int digestRoundInterval = 2;
    /// Receivers of a digest in each other region.
    std::size_t digestFanout = 6;
    /// Peers to which an instance relays a digest or a new revision of the store. With four, all
    /// but a few percent of a region get it, whatever its size.
    std::size_t relayFanout = 4;
    /// Contacts in one digest.
    std::size_t digestContacts = 4;
    /// Rounds between attempts to reach silent instances and seeds that are not known to be alive.
    int retryRoundInterval = 8;
    /// For this many rounds after its start (5 s), an instance makes them in every round: its seeds
    /// may be starting as well, and until one responds it assumes that it is alone.
    int initialRetryRounds = 20;
    /// Silent instances that are contacted per attempt, chosen at random: after the loss of a
    /// failure domain there may be hundreds of them.
    std::size_t retryFanout = 4;
    /// Maximum records per heartbeat: at about 130 bytes each, it fits into one datagram.
    std::size_t recordsPerMessage = 5;
    /// Entries of silent instances are removed after this time.
    milliseconds forgetAfter{120000};
    PopulationOptions population;
};

/// Another instance as this one knows it.
struct Peer
{
    InstanceRecord record;
    bool alive = false;
    /// This instance has recently received a heartbeat from the peer itself, or a digest that names
    /// it if it is in another region.
    bool reachable = false;
    /// When the record was received from the peer itself. The ages in the record count from then.
    Time recordedAt{};
};

struct Send
{
    std::string address;
    /// Never null. Receivers of the same message share it.
    std::shared_ptr<const Message> message;
};

using Sends = std::vector<Send>;

/// Instances that may use a bound of their region.
struct RegionSharers
{
    /// Those that are known, including this one, alive or not.
    std::vector<Common::InstanceId> known;
    /// How many there may be; at least as many as are known.
    std::size_t count = 1;
};

/// Encoded reports that messages carry.
struct Reports
{
    std::string load;
    std::string usage;
};

/// What follows from a digest.
struct DigestOutcome
{
    /// Set if the digest was not known yet: time since it was made.
    std::optional<Duration> newWithAge;
    Sends sends;
};

/// Gossip-based membership. At short intervals, every instance sends some peers of its region its
/// own record and the times at which it last heard of others. A new instance contacts the seeds and
/// learns the remaining instances of its region from their responses; it asks the senders of
/// heartbeats for the records of instances that it does not know.
///
/// Without it, callers would be directed to instances that no longer exist and lose a second on
/// each of them, and a region that is partitioned off would look idle. A process that was suspended
/// receives nothing during that time; the gap is subtracted from all ages so that it does not
/// consider all peers dead.
///
/// Of other regions, an instance knows the number of instances and a few that accept requests. Both
/// come in digests from a few speakers of each region, which every instance relays once to some
/// peers of its own region. The traffic between regions therefore does not depend on their size.
class Roster
{
public:
    Roster(RosterOptions options, InstanceRecord self, std::uint64_t seed);

    /// Sets the addresses that are contacted before any peer is known; may be called again.
    void setSeeds(const std::set<std::string> &gossipAddresses);
    /// Sets the regions in which there may be instances.
    void setRegions(const std::set<Common::RegionName> &regions);
    void setReady(bool ready);
    void setLeaving();
    void setStoreRevision(std::uint64_t revision);
    void setConfiguration(Common::ConfigurationNumber version);
    /// @param dataAge time since the copy of the store was known to be up to date
    /// @param failureAge time since the last failed call to the store that is known of
    void setStoreContact(std::optional<Duration> dataAge, std::optional<Duration> failureAge);
    /// Sets the reports that heartbeats carry.
    void setReports(Reports reports);
    /// Sets the reports that digests carry; needed only if speaks() is true.
    void setDigestReports(Reports reports);

    /// Returns the messages of one round. To be called once per interval.
    Sends tick(Time now);
    /// Returns heartbeats to all known peers that are alive, for changes that must be known
    /// immediately.
    Sends announce(Time now);
    /// Returns brief heartbeats to some peers of the region, after a new revision of the store
    /// became known here.
    Sends spreadRevision(Time now);
    /// Processes a heartbeat; returns the messages to be sent in response.
    Sends receive(const Heartbeat &heartbeat, Time now);
    DigestOutcome receive(const RegionDigest &digest, Time now);

    /// Returns true if this instance sends digests to the other regions.
    bool speaks(Time now) const;
    /// Returns true if other instances contact this one when they start.
    bool isSeed() const
    {
        return isSeed_;
    }
    /// Known instances of the own region and contacts in the others.
    std::vector<Peer> peers(Time now) const;
    /// Number of instances of all regions that are alive, including this one.
    std::size_t aliveInstances(Time now) const;
    /// Number of instances that may use bounds of all instances together, see Population; nothing
    /// while it is not known.
    std::optional<std::size_t> sharers(Time now) const;
    /// Likewise for bounds of the instances of the own region.
    RegionSharers regionSharers(Time now) const;
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
        /// Rank among the instances that may send digests.
        std::uint64_t speakerWeight = 0;
    };
    struct LastDigest
    {
        std::uint64_t incarnation = 0;
        std::uint32_t sequence = 0;
    };
    /// What is known of another region.
    struct OtherRegion
    {
        std::map<Common::InstanceId, Entry> contacts;
        std::map<Common::InstanceId, LastDigest> digests;
        std::uint32_t aliveInstances = 0;
        Time digestMadeAt{};
        Time relayedDigestMadeAt{};
    };
    using MessagePtr = std::shared_ptr<const Message>;

    static std::uint64_t speakerWeight(const InstanceRecord &record);
    bool alive(const Entry &entry, Time now) const;
    Peer peerOf(const Entry &entry, Time now) const;
    Entry &entryOf(const InstanceRecord &record);
    Heartbeat makeHeartbeat(Time now);
    MessagePtr makeResponse(const Common::RegionName &receiver, Time now);
    std::vector<HeardInstance> chooseHeard(Time now);
    std::vector<InstanceRecord> sampleRecords(const Common::RegionName &receiver, Time now);
    std::vector<const Entry *> aliveEntries(Time now) const;
    std::vector<const Entry *> chooseAlive(std::size_t count, Time now);
    std::vector<const Entry *> chooseReceivers(std::size_t count, Time now);
    std::vector<const Entry *> chooseContacts(const OtherRegion &region, Time now);
    void addRetryHeartbeats(Sends &sends, const MessagePtr &message, Time now);
    void addDigests(Sends &sends, Time now);
    /// Seeds of which nothing has been heard since the start.
    std::size_t unheardSeeds() const;
    void countOwnRegion(Time now);
    bool seedIsKnown(const std::string &address, Time now) const;
    Sends receiveFromOwnRegion(const Heartbeat &heartbeat, Time now);
    Sends receiveFromOtherRegion(const Heartbeat &heartbeat, Time now);
    /// Returns the instances among them that are unknown.
    std::vector<std::uint32_t> updateAges(const std::vector<HeardInstance> &heard, Time now);
    Heartbeat briefHeartbeat() const;
    Send requestRecords(const std::string &address, const std::vector<std::uint32_t> &unknown);
    Send answerRecords(const std::string &address, const std::vector<std::uint32_t> &wanted) const;
    void setRecord(Entry &entry, const InstanceRecord &record);
    /// Returns true if the instance was unknown.
    bool mergeRecord(const InstanceRecord &record, Time now);
    void mergeContact(OtherRegion &region, const InstanceRecord &record, Time heard);
    Sends relay(const RegionDigest &digest, Duration age, Time now);
    milliseconds digestInterval() const;
    void compensateForSuspension(Time now);
    void forgetSilent(Time now);

    RosterOptions options_;
    InstanceRecord self_;
    std::uint64_t selfSpeakerWeight_ = 0;
    std::set<std::string> seeds_;
    /// Regions of the seeds of other regions, as far as they have been heard from.
    std::map<std::string, Common::RegionName> seedRegions_;
    bool isSeed_ = false;
    /// Instances of the own region.
    std::map<Common::InstanceId, Entry> entries_;
    std::unordered_map<std::uint32_t, Entry *> byShortId_;
    std::map<Common::RegionName, OtherRegion> otherRegions_;
    Population population_;
    Reports reports_;
    Reports digestReports_;
    std::mt19937_64 random_;
    int round_ = 0;
    Time lastTick_{};
};

} // namespace LaburnumChute::Fleet
