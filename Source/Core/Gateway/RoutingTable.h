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

/// An instance of the system, including this one.
struct PeerEntry
{
    Common::InstanceId id;
    Common::RegionName region;
    /// 0 while it is unknown.
    Common::Incarnation incarnation = 0;
    std::string httpAddress;
    /// Accepts new requests.
    bool usable = false;
    /// The failure detection of its region considers it dead.
    bool dead = false;
    /// Null for this instance.
    std::shared_ptr<Peers::ChannelClient> channel;
};

/// Lookup data for request processing. Immutable; replaced as a whole on any change.
struct RoutingTable
{
    Common::ConfigurationNumber configurationNumber = 0;
    /// Null until the first version is active.
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
