#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "Cluster/Effects.h"
#include "Cluster/Options.h"
#include "Cluster/Types.h"
#include "Common/Error.h"

namespace LaburnumChute::Cluster {

/// Gossip traffic of this node.
struct ControlTraffic
{
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

/// One instance's view of the cluster: members of its region, contacts and load of the other
/// regions, the version of the configuration, notices. It is a state machine: each input takes the
/// current time and returns the effects to be carried out. Not thread-safe; use it from one thread
/// or strand at a time.
class ClusterNode
{
public:
    /// The seed randomizes the choice of peers and must differ between nodes.
    ClusterNode(const ClusterOptions &options, const MemberInfo &self, std::uint64_t seed,
                Common::Time now);
    ~ClusterNode();
    ClusterNode(ClusterNode &&) noexcept;
    ClusterNode &operator=(ClusterNode &&) noexcept;

    Effects receive(const Address &from, const GossipMessage &message, Common::Time now);
    /// Must be called every ClusterOptions::tickInterval. The wall time orders the summaries of
    /// this region, since different instances publish them over time.
    Effects tick(Common::Time now, Common::WallTime wallNow);

    /// Replaces the platform's instance list.
    Effects updateSeeds(const std::vector<Seed> &seeds, Common::Time now);

    /// The service answered ReadConfiguration with a version.
    Effects configurationRead(const ConfigurationVersion &version, Common::Time now);
    /// The service answered that there is no newer version.
    Effects configurationUnchanged(Common::Time now);
    Effects configurationReadFailed(Common::Time now);
    /// The result of ValidateConfiguration; on success the version comes into force.
    Effects configurationValidated(Common::ConfigurationNumber number,
                                   const Common::Result<void> &result, Common::Time now);

    /// Announces to all instances that this one leaves. It keeps answering until it is stopped.
    Effects announceLeaving(Common::Time now);
    /// Sets the load of this instance for the next load report.
    void setLocalLoad(const LoadSummary &load);
    /// Distributes a notice to all instances of all regions.
    Effects publishNotice(const Notice &notice, Common::Time now);

    const MemberInfo &self() const;
    /// All known members of the own region, including this instance and recently dead ones.
    std::vector<MemberView> members() const;
    std::optional<MemberView> member(const Common::InstanceId &id) const;
    /// The highest known incarnation of an instance of any region.
    std::optional<Common::Incarnation> newestIncarnation(const Common::InstanceId &id) const;
    /// The version in force; before the first one its number is 0 and its content empty.
    const ConfigurationVersion &configuration() const;
    bool isWatcher() const;
    /// The member of this region that sends engine orders for the scope (for example, a model). The
    /// views of two instances may differ for a while.
    Common::InstanceId orderer(std::string_view scope) const;
    /// Summaries of all known regions, including the own one.
    std::vector<RegionSummary> regions() const;
    /// Notices in force.
    std::vector<Notice> notices() const;
    const ControlTraffic &traffic() const;
    nlohmann::json dump() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace LaburnumChute::Cluster
