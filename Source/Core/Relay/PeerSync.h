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

/// Where an instance tells others what the memory of its region's engines holds.
inline constexpr const char *CachesPath = "/laburnumchute/caches";

/// Target of the call by which an instance asks another for what it lacks.
inline constexpr std::string_view ItemsPath = "/laburnumchute/items";
std::string itemsTarget(Catalog::Revision known);
/// The revision of such a call; nothing for other targets.
std::optional<Catalog::Revision> parseItemsTarget(std::string_view target);

/// Fetches from other instances what this one lacks of the platform's store.
///
/// The store may turn away one instance and serve the others, or go silent towards it; its view
/// would stay old without a sign. Heartbeats tell the revision that each instance knows, and one
/// that lags behind for longer than the store takes asks an instance that knows more. A peer whose
/// last request failed recently is asked only if no other reachable peer knows more.
class PeerSync
{
public:
    using ChangesHandler =
        std::function<void(const Catalog::ItemChanges &, const Common::InstanceId &from)>;

    PeerSync(std::shared_ptr<OutboundPool> pool, Common::RegionName ownRegion,
             ChangesHandler changes);

    /// @param listens this instance does not watch the store and has nothing else to wait for
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
    /// Time of the last failed request to each peer; removed when a request succeeds.
    std::map<Common::InstanceId, Common::Time> lastFailureAt_;
    std::optional<Common::Time> behindSince_;
    Common::Time nextRequestAt_{};
};

} // namespace LaburnumChute::Relay
