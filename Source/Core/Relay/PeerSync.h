#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Catalog/Catalog.h"
#include "Fleet/Fleet.h"
#include "Relay/SimpleFetch.h"

namespace LaburnumChute::Relay {

/// Path at which an instance serves the prefix cache contents of its region's engines to peers.
inline constexpr const char *CachesPath = "/laburnumchute/caches";

/// Path of the request that fetches the store changes after a given revision from a peer.
inline constexpr std::string_view ItemsPath = "/laburnumchute/items";
std::string itemsTarget(Catalog::Revision known);
/// Returns the revision in such a target, or nothing if the target is a different one.
std::optional<Catalog::Revision> parseItemsTarget(std::string_view target);

/// Fetches missing changes of the platform's store from peers.
///
/// The store may reject one instance, or stop responding to it, while it serves the others; that
/// instance's data would become stale unnoticed. Heartbeats carry the revision that each instance
/// has. An instance that stays behind for longer than the store's watch takes asks a peer with a
/// newer revision. A peer whose last request failed recently is asked only if no other reachable
/// peer has a newer revision.
class PeerSync
{
public:
    using ChangesHandler =
        std::function<void(const Catalog::ItemChanges &, const Common::InstanceId &from)>;

    PeerSync(std::shared_ptr<OutboundPool> pool, Common::RegionName ownRegion,
             ChangesHandler changes);

    /// @param listens this instance does not watch the store itself, so it asks a peer immediately
    void tick(const std::vector<Fleet::Peer> &peers, Catalog::Revision known, bool listens,
              Common::Time now);

private:
    const Fleet::Peer *choosePeer(const std::vector<Fleet::Peer> &peers, Catalog::Revision known,
                                  Common::Time now) const;
    bool failedRecently(const Common::InstanceId &peer, Common::Time now) const;
    void beginRequest(const Fleet::Peer &peer, Catalog::Revision known, Common::Time now);

    Common::RegionName ownRegion_;
    ChangesHandler onChanges_;
    SimpleFetch fetch_;
    bool requestPending_ = false;
    /// Time of the last failed request to each peer; removed when a later request succeeds.
    std::map<Common::InstanceId, Common::Time> lastFailureAt_;
    std::optional<Common::Time> behindSince_;
    Common::Time nextRequestAt_{};
};

} // namespace LaburnumChute::Relay
