#pragma once

#include <map>
#include <random>
#include <set>
#include <string>

#include "Cluster/ClusterNode.h"
#include "Cluster/ConfigurationStore.h"
#include "Cluster/ConfigurationTransfer.h"
#include "Cluster/ConfigurationWatch.h"
#include "Cluster/FailureDetector.h"
#include "Cluster/Membership.h"
#include "Cluster/NoticeTable.h"
#include "Cluster/RegionDirectory.h"

namespace LaburnumChute::Cluster {

/// Connects the components of a node: dispatches inputs to them and turns their output into
/// messages. Private to the library.
class ClusterNode::Impl
{
public:
    Impl(const ClusterOptions &options, const MemberInfo &self, std::uint64_t seed,
         Common::Time now);

    void receive(const Address &from, const GossipMessage &message, Common::Time now);
    void tick(Common::Time now, Common::WallTime wallNow);
    void updateSeeds(const std::vector<Seed> &seeds);
    void configurationRead(const ConfigurationVersion &version, Common::Time now);
    void configurationUnchanged(Common::Time now);
    void configurationReadFailed(Common::Time now);
    void configurationValidated(Common::ConfigurationNumber number,
                                const Common::Result<void> &result, Common::Time now);
    void announceLeaving(Common::Time now);
    void publishNotice(const Notice &notice, Common::Time now);
    Effects takeEffects();

    MemberView preferListedAddresses(MemberView view) const;
    std::optional<Common::Incarnation> newestIncarnation(const Common::InstanceId &id) const;
    nlohmann::json dump() const;

    ClusterOptions options;
    Membership membership;
    FailureDetector detector;
    NoticeTable notices;
    RegionDirectory directory;
    ConfigurationStore store;
    ConfigurationFetch fetch;
    ConfigurationSource source;
    ConfigurationWatch watch;
    LoadSummary localLoad;
    ControlTraffic traffic;
    Common::Time lastInput;

    /// The roles of this instance in its region, derived from the membership.
    struct Roles
    {
        std::uint64_t changes = ~0ull;
        std::vector<Common::InstanceId> peers;
        std::vector<Common::InstanceId> eligible;
        Common::InstanceId summaryPublisher;
        bool bridge = false;
        bool watcher = false;
    };
    const Roles &roles();

private:
    enum class Locality { OwnRegion, OtherRegion };

    /// An indirect probe that this instance performs for another one.
    struct IndirectProbe
    {
        Address requester;
        std::uint32_t sequence = 0;
        Common::Time expires;
    };
    struct Report
    {
        LoadSummary load;
        Common::Time received;
    };
    struct Timers
    {
        Common::Time join;
        Common::Time compareMembers;
        Common::Time exchangeRegions;
        Common::Time bridge;
        Common::Time loadReport;
        Common::Time housekeeping;
        Common::Time holdEnds;
    };

    // Receiving; NodeReceive.cpp.
    void detectPause(Common::Time now);
    void handleSenderUpdates(const Address &from, const GossipMessage &message, Common::Time now);
    void handleNotices(const GossipMessage &message, Common::Time now);
    bool applyNotice(const Notice &notice, Common::Time now);
    void handleConfigurationDigest(const Address &from, const GossipMessage &message,
                                   Common::Time now);
    void handle(const PiggybackOnly &, const Address &, const GossipMessage &, Common::Time) { }
    void handle(const Ping &ping, const Address &from, const GossipMessage &message,
                Common::Time now);
    void handle(const Ack &ack, const Address &from, const GossipMessage &message,
                Common::Time now);
    void handle(const PingRequest &request, const Address &from, const GossipMessage &message,
                Common::Time now);
    void handle(const MembersRequest &request, const Address &from, const GossipMessage &message,
                Common::Time now);
    void handle(const MembersPage &page, const Address &from, const GossipMessage &message,
                Common::Time now);
    void handle(const LoadReport &report, const Address &from, const GossipMessage &message,
                Common::Time now);
    void handle(const RegionsDigest &digest, const Address &from, const GossipMessage &message,
                Common::Time now);
    void handle(const RegionsPage &page, const Address &from, const GossipMessage &message,
                Common::Time now);
    void handle(const ConfigurationRequest &request, const Address &from,
                const GossipMessage &message, Common::Time now);
    void handle(const ConfigurationChunk &chunk, const Address &from, const GossipMessage &message,
                Common::Time now);
    Locality localityOf(const GossipMessage &message) const;
    void updateHold(Common::Time now);

    // Periodic work; NodeTick.cpp.
    void probe(Common::Time now);
    void join(Common::Time now);
    void releaseHoldIfDue(Common::Time now);
    void compareMembers(Common::Time now);
    void exchangeRegions(Common::Time now);
    void exchangeWithOtherRegion(Common::Time now);
    void reportLoad(Common::Time now, Common::WallTime wallNow);
    Common::Duration reportInterval();
    RegionSummary makeSummary(Common::Time now, Common::WallTime wallNow);

    // Sending; NodeImpl.cpp.
    void send(const Address &to, Locality locality, GossipBody body,
              std::vector<MemberUpdate> firstUpdates = {}, std::vector<Notice> firstNotices = {});
    void sendToMember(const Common::InstanceId &id, GossipBody body,
                      std::vector<MemberUpdate> firstUpdates = {});
    void flood(const std::vector<Notice> &newNotices);
    void floodOtherRegions(const std::vector<Notice> &newNotices, std::size_t regions,
                           std::size_t contacts);
    std::optional<Address> memberAddress(const Common::InstanceId &id) const;
    const Common::InstanceId *randomPeer();

    std::mt19937_64 random_;
    Effects effects_;
    Roles roles_;
    Timers timers_;
    /// Instances heard from, and the newest version that they announced, until the join hold is
    /// released.
    std::set<Common::InstanceId> heardPeers_;
    Common::ConfigurationNumber newestPeerNumber_ = 0;
    std::map<std::uint32_t, IndirectProbe> indirectProbes_;
    std::map<Common::InstanceId, Report> reports_;
    std::uint32_t refutationsSeen_ = 0;
    std::uint64_t pauses_ = 0;
};

} // namespace LaburnumChute::Cluster
