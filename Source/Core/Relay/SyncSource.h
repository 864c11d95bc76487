#pragma once

#include <map>
#include <random>
#include <vector>

#include "Catalog/Catalog.h"
#include "Fleet/Fleet.h"

namespace LaburnumChute::Relay {

/// Chooses the peer from which missing changes of the store are fetched.
///
/// Load pattern: a change, or the whole listing after a restart of all instances, spreads from the
/// few instances that watch the store to hundreds of others. Each asks some peer that has more,
/// preferably in its own failure domain; those that have it serve the next ones. If all asked the
/// peer with the newest revision, it would have to serve the whole region.
class SyncSource
{
public:
    SyncSource(Common::RegionName region, Common::FailureDomainName failureDomain,
               std::uint64_t seed);

    /// Returns null if no reachable peer has a newer revision.
    const Fleet::Peer *choose(const std::vector<Fleet::Peer> &peers, Catalog::Revision known,
                              Common::Time now);
    /// The peer did not answer or failed: others are preferred for some seconds.
    void failed(const Common::InstanceId &peer, Common::Time now);
    /// The peer is serving others: others are preferred for a moment.
    void busy(const Common::InstanceId &peer, Common::Time now);
    void succeeded(const Common::InstanceId &peer);

private:
    bool isAvoided(const Common::InstanceId &peer, Common::Time now) const;
    int rank(const Fleet::Peer &peer, Common::Time now) const;

    Common::RegionName region_;
    Common::FailureDomainName failureDomain_;
    std::mt19937_64 random_;
    std::map<Common::InstanceId, Common::Time> avoidedUntil_;
};

} // namespace LaburnumChute::Relay
