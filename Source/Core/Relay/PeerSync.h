#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Catalog/Catalog.h"
#include "Fleet/Fleet.h"
#include "Relay/SimpleFetch.h"
#include "Relay/SyncSource.h"

namespace LaburnumChute::Relay {

/// Largest answer of another instance to a query, which may be a complete listing of the store.
inline constexpr std::uint64_t MaxPeerAnswerBytes = 8u << 20;

/// A query between instances.
struct PeerTarget
{
    /// Incarnation of the process that is asked. Only instances know it, and the answers contain
    /// API keys.
    std::uint64_t receiver = 0;
    /// The changes of the store after this revision are asked for; if empty, the prefix cache
    /// contents of the engines of the receiver's region.
    std::optional<Catalog::Revision> itemsAfter;
};

/// Request target of a query.
std::string peerTarget(const PeerTarget &target);
/// Returns nothing if the request target is not one of a query.
std::optional<PeerTarget> parsePeerTarget(std::string_view target);

/// Answer to a query for changes of the store.
std::string encodeItems(const Catalog::ItemChanges &changes);
Common::Result<Catalog::ItemChanges> decodeItems(std::string_view answer);

/// Fetches missing changes of the platform's store from peers.
///
/// The store may reject one instance, or stop responding to it, while it serves the others; that
/// instance's data would become stale unnoticed. Heartbeats carry the revision that each instance
/// has. An instance that stays behind for longer than the store's watch takes asks a peer with a
/// newer revision.
class PeerSync
{
public:
    using ChangesHandler =
        std::function<void(const Catalog::ItemChanges &, const Common::InstanceId &from)>;

    PeerSync(std::shared_ptr<OutboundPool> pool, SyncSource source, ChangesHandler changes);

    /// @param listens this instance does not watch the store itself, so it asks a peer immediately
    void tick(const std::vector<Fleet::Peer> &peers, Catalog::Revision known, bool listens,
              Common::Time now);
    /// Returns true if a request may be made now.
    bool mayRequest(Common::Time now) const
    {
        return !requestPending_ && now >= nextRequestAt_;
    }

private:
    void beginRequest(const Fleet::Peer &peer, Catalog::Revision known, Common::Time now);
    void handleAnswer(const Common::InstanceId &from, unsigned status, const std::string &body);

    SyncSource source_;
    ChangesHandler onChanges_;
    SimpleFetch fetch_;
    bool requestPending_ = false;
    std::optional<Common::Time> behindSince_;
    Common::Time nextRequestAt_{};
};

} // namespace LaburnumChute::Relay
