#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Cluster/Cluster.h"
#include "Common/Common.h"
#include "Configuration/Configuration.h"
#include "Peers/Peers.h"

namespace LaburnumChute::Gateway {

struct EndpointEntry
{
    Common::EndpointId id;
    Common::RegionName region;
    /// "ip:port".
    std::string address;
};

/// Another instance of the system, or this one.
struct PeerEntry
{
    Common::InstanceId id;
    Common::RegionName region;
    /// 0 while it has not been heard of.
    Common::Incarnation incarnation = 0;
    std::string httpAddress;
    /// Takes new work.
    bool usable = false;
    /// The members of its region hold it to be dead.
    bool gone = false;
    /// Null for this instance.
    std::shared_ptr<Peers::ChannelClient> channel;
};

/// What the path of a request looks up. Immutable; replaced as a whole when any of it changes.
struct RoutingTable
{
    Common::ConfigurationNumber number = 0;
    /// Null until the first version is in force.
    std::shared_ptr<const Configuration::Configuration> configuration;
    std::map<Common::EndpointId, EndpointEntry> endpoints;
    std::map<Common::InstanceId, PeerEntry> peers;

    const PeerEntry *peer(const Common::InstanceId &id) const
    {
        const auto found = peers.find(id);
        return found == peers.end() ? nullptr : &found->second;
    }
};

using RoutingTableCell = Common::RcuCell<RoutingTable>;

} // namespace LaburnumChute::Gateway
