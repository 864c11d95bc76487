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

/// What this node sent and received to keep the cluster together.
struct ControlTraffic
{
    std::uint64_t messagesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesReceived = 0;
};

/// One instance's part in the cluster: membership of its region, contacts and load of the others,
/// the version of the configuration, notices. A state machine: each input takes the time and gives
/// back what is to be done. It is used by one thread (or strand) at a time.
class ClusterNode
{
public:
    /// The seed is for the choice of peers; two nodes need different ones.
    ClusterNode(const ClusterOptions &options, const MemberInfo &self, std::uint64_t seed,
                Common::Time now);
    ~ClusterNode();
    ClusterNode(ClusterNode &&) noexcept;
    ClusterNode &operator=(ClusterNode &&) noexcept;

    Effects receive(const Address &from, const GossipMessage &message, Common::Time now);
    /// To be called every ClusterOptions::tickInterval. The wall time orders the summaries of this
    /// region, which different instances make one after the other.
    Effects tick(Common::Time now, Common::WallTime wallNow);

    /// The platform's instance list, whole.
    Effects updateSeeds(const std::vector<Seed> &seeds, Common::Time now);

    /// The service answered a ReadConfiguration with a version.
    Effects configurationRead(const ConfigurationVersion &version, Common::Time now);
    /// The service answered that there is nothing newer.
    Effects configurationUnchanged(Common::Time now);
    Effects configurationReadFailed(Common::Time now);
    /// The answer to ValidateConfiguration: a value puts the version in force.
    Effects configurationValidated(Common::ConfigurationNumber number,
                                   const Common::Result<void> &result, Common::Time now);

    /// Tells all that this instance leaves. It goes on answering until it is stopped.
    Effects announceLeaving(Common::Time now);
    /// Load of this instance; it travels with the next report.
    void setLocalLoad(const LoadSummary &load);
    /// Spreads a notice to all instances of all regions.
    Effects publishNotice(const Notice &notice, Common::Time now);

    const MemberInfo &self() const;
    /// All members of the own region that are remembered, this instance among them.
    std::vector<MemberView> members() const;
    std::optional<MemberView> member(const Common::InstanceId &id) const;
    /// The highest incarnation under which this instance of any region was ever heard of.
    std::optional<Common::Incarnation> newestIncarnation(const Common::InstanceId &id) const;
    /// The version in force; number 0 and no content before the first.
    const ConfigurationVersion &configuration() const;
    bool isWatcher() const;
    /// The member of this region that gives orders for the scope (a model, say); this instance's
    /// view, which may differ from that of others for a while.
    Common::InstanceId orderer(std::string_view scope) const;
    /// Summaries of all regions known, the own one among them.
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
