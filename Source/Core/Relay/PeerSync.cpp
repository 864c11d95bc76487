#include "Relay/PeerSync.h"

#include <charconv>
#include <tuple>

#include "Peers/ValueCodec.h"
#include "Relay/SteadyNow.h"

namespace LaburnumChute::Relay {

namespace {

constexpr unsigned Ok = 200;
/// How long this instance waits for its own store watch before it asks a peer. Watches deliver a
/// change to all instances at about the same time; delays from batching differ by less than this.
constexpr Common::milliseconds MaxLag{200};
constexpr Common::milliseconds RequestTimeout{800};
constexpr Common::milliseconds RequestInterval{150};
/// Longer than the time for which an unresponsive instance is still considered reachable.
constexpr Common::milliseconds RecentFailurePeriod{3000};
constexpr std::string_view RevisionQuery = "?after=";

} // namespace

std::string itemsTarget(Catalog::Revision known)
{
    return fmt::format("{}{}{}", ItemsPath, RevisionQuery, known);
}

std::optional<Catalog::Revision> parseItemsTarget(std::string_view target)
{
    if (target.substr(0, ItemsPath.size()) != ItemsPath) {
        return std::nullopt;
    }
    target.remove_prefix(ItemsPath.size());
    if (target.substr(0, RevisionQuery.size()) != RevisionQuery) {
        return std::nullopt;
    }
    target.remove_prefix(RevisionQuery.size());
    Catalog::Revision revision = 0;
    const auto parsed = std::from_chars(target.data(), target.data() + target.size(), revision);
    return parsed.ec == std::errc() ? std::optional(revision) : std::nullopt;
}

PeerSync::PeerSync(std::shared_ptr<OutboundPool> pool, Common::RegionName ownRegion,
                   ChangesHandler changes)
    : ownRegion_(std::move(ownRegion))
    , onChanges_(std::move(changes))
    , fetch_(std::move(pool))
{
}

bool PeerSync::failedRecently(const Common::InstanceId &peer, Common::Time now) const
{
    const auto found = lastFailureAt_.find(peer);
    return found != lastFailureAt_.end() && now - found->second < RecentFailurePeriod;
}

const Fleet::Peer *PeerSync::choosePeer(const std::vector<Fleet::Peer> &peers,
                                        Catalog::Revision known, Common::Time now) const
{
    // Prefers the own region, since traffic between regions costs more, then the newest revision.
    const auto rank = [this, now](const Fleet::Peer &peer) {
        return std::tuple(!failedRecently(peer.record.id, now), peer.record.region == ownRegion_,
                          peer.record.knownRevision);
    };
    const Fleet::Peer *best = nullptr;
    for (const auto &peer : peers) {
        const bool knowsMore = peer.reachable && peer.record.knownRevision > known;
        if (knowsMore && (best == nullptr || rank(peer) > rank(*best))) {
            best = &peer;
        }
    }
    return best;
}

void PeerSync::tick(const std::vector<Fleet::Peer> &peers, Catalog::Revision known, bool listens,
                    Common::Time now)
{
    fetch_.tick(now);
    const auto *peer = choosePeer(peers, known, now);
    if (peer == nullptr) {
        behindSince_.reset();
        return;
    }
    behindSince_ = behindSince_.value_or(now);
    // An instance that has no data yet has no running watch to wait for.
    const bool waitedEnough = listens || known == 0 || now - *behindSince_ >= MaxLag;
    if (waitedEnough && !requestPending_ && now >= nextRequestAt_) {
        beginRequest(*peer, known, now);
    }
}

void PeerSync::beginRequest(const Fleet::Peer &peer, Catalog::Revision known, Common::Time now)
{
    std::erase_if(lastFailureAt_,
                  [&](const auto &entry) { return !failedRecently(entry.first, now); });
    nextRequestAt_ = now + RequestInterval;
    requestPending_ = true;
    fetch_.get(
        peer.record.peerAddress, itemsTarget(known), RequestTimeout,
        [this, from = peer.record.id](unsigned status, const std::string &body) {
            requestPending_ = false;
            const auto changes = Peers::decodeValue<Catalog::ItemChanges>(body);
            if (status != Ok || !changes) {
                lastFailureAt_[from] = steadyNow();
                return;
            }
            lastFailureAt_.erase(from);
            onChanges_(*changes, from);
        },
        now);
}

} // namespace LaburnumChute::Relay
