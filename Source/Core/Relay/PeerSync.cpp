#include "Relay/PeerSync.h"

#include <algorithm>
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
constexpr std::string_view ItemsPath = "/laburnumchute/items?process=";
constexpr std::string_view CachesPath = "/laburnumchute/caches?process=";
constexpr std::string_view RevisionSeparator = "&after=";

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

} // namespace

std::string peerTarget(const PeerTarget &target)
{
    return target.itemsAfter ? fmt::format("{}{}{}{}", ItemsPath, target.receiver,
                                           RevisionSeparator, *target.itemsAfter)
                             : fmt::format("{}{}", CachesPath, target.receiver);
}

std::optional<PeerTarget> parsePeerTarget(std::string_view target)
{
    const auto startsWith = [target](std::string_view path) {
        return target.substr(0, path.size()) == path;
    };
    if (startsWith(CachesPath)) {
        const auto receiver = parseNumber(target.substr(CachesPath.size()));
        return receiver ? std::optional(PeerTarget{*receiver, std::nullopt}) : std::nullopt;
    }
    if (!startsWith(ItemsPath)) {
        return std::nullopt;
    }
    target.remove_prefix(ItemsPath.size());
    const auto separator = std::min(target.find(RevisionSeparator), target.size());
    const auto receiver = parseNumber(target.substr(0, separator));
    target.remove_prefix(std::min(target.size(), separator + RevisionSeparator.size()));
    const auto revision = parseNumber(target);
    return receiver && revision ? std::optional(PeerTarget{*receiver, *revision}) : std::nullopt;
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
        peer.record.peerAddress, peerTarget({peer.record.incarnation, known}), RequestTimeout,
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
