#include "Relay/PeerSync.h"

#include <charconv>

#include "Peers/Compression.h"
#include "Peers/ValueCodec.h"
#include "Relay/Statuses.h"
#include "Relay/SteadyNow.h"

namespace LaburnumChute::Relay {

namespace {

/// How long this instance waits for its own store watch before it asks a peer. Watches deliver a
/// change to all instances at about the same time; delays from batching differ by less than this.
constexpr Common::milliseconds MaxLag{200};
constexpr Common::milliseconds RequestTimeout{800};
/// A complete listing of a large deployment takes longer than a few changes.
constexpr Common::milliseconds ListingTimeout{3000};
constexpr Common::milliseconds RequestInterval{150};
/// Bounds the memory for an answer.
constexpr std::size_t MaxItemBytes = 64u << 20;
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

std::string encodeItems(const Catalog::ItemChanges &changes)
{
    return Peers::compress(Peers::encodeValue(changes));
}

Common::Result<Catalog::ItemChanges> decodeItems(std::string_view answer)
{
    const auto bytes = Peers::decompress(answer, MaxItemBytes);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    return Peers::decodeValue<Catalog::ItemChanges>(*bytes);
}

PeerSync::PeerSync(std::shared_ptr<OutboundPool> pool, SyncSource source, ChangesHandler changes)
    : source_(std::move(source))
    , onChanges_(std::move(changes))
    , fetch_(std::move(pool))
{
}

void PeerSync::tick(const std::vector<Fleet::Peer> &peers, Catalog::Revision known, bool listens,
                    Common::Time now)
{
    fetch_.tick(now);
    if (!mayRequest(now)) {
        return;
    }
    const auto *peer = source_.choose(peers, known, now);
    if (peer == nullptr) {
        behindSince_.reset();
        return;
    }
    behindSince_ = behindSince_.value_or(now);
    // An instance that has no data yet has no running watch to wait for.
    const bool waitedEnough = listens || known == 0 || now - *behindSince_ >= MaxLag;
    if (waitedEnough) {
        beginRequest(*peer, known, now);
    }
}

void PeerSync::beginRequest(const Fleet::Peer &peer, Catalog::Revision known, Common::Time now)
{
    nextRequestAt_ = now + RequestInterval;
    requestPending_ = true;
    fetch_.get(
        peer.record.peerAddress, peerTarget({peer.record.incarnation, known}),
        known == 0 ? ListingTimeout : RequestTimeout, MaxPeerAnswerBytes,
        [this, from = peer.record.id](unsigned status, const std::string &body) {
            handleAnswer(from, status, body);
        },
        now);
}

void PeerSync::handleAnswer(const Common::InstanceId &from, unsigned status,
                            const std::string &body)
{
    requestPending_ = false;
    if (status == ServiceUnavailable) {
        source_.busy(from, steadyNow());
        return;
    }
    const auto changes = decodeItems(body);
    if (status != Ok || !changes) {
        source_.failed(from, steadyNow());
        return;
    }
    source_.succeeded(from);
    onChanges_(*changes, from);
}

} // namespace LaburnumChute::Relay
