#include "Relay/PeerSync.h"

#include <charconv>

#include "Peers/ValueCodec.h"
#include "Relay/HttpText.h"

namespace LaburnumChute::Relay {

namespace {

constexpr unsigned Ok = 200;
/// The own watch brings a change as soon as it does a peer's; the calls that gather changes for a
/// moment differ by less than this.
constexpr Common::milliseconds Patience{200};
constexpr Common::milliseconds Timeout{800};
constexpr Common::milliseconds Pause{150};
constexpr Common::milliseconds PeerIdle{5000};
constexpr std::string_view Query = "?after=";

} // namespace

std::string itemsTarget(Catalog::Revision known)
{
    return fmt::format("{}{}{}", ItemsPath, Query, known);
}

std::optional<Catalog::Revision> readItemsTarget(std::string_view target)
{
    if (target.substr(0, ItemsPath.size()) != ItemsPath) {
        return std::nullopt;
    }
    target.remove_prefix(ItemsPath.size());
    if (target.substr(0, Query.size()) != Query) {
        return std::nullopt;
    }
    target.remove_prefix(Query.size());
    Catalog::Revision revision = 0;
    const auto parsed = std::from_chars(target.data(), target.data() + target.size(), revision);
    return parsed.ec == std::errc() ? std::optional(revision) : std::nullopt;
}

PeerSync::PeerSync(std::shared_ptr<OutboundPool> pool, Common::RegionName home,
                   ChangesHandler changes)
    : pool_(std::move(pool))
    , home_(std::move(home))
    , changes_(std::move(changes))
{
}

PeerSync::~PeerSync()
{
    if (call_) {
        call_->cancel();
    }
}

const Fleet::Peer *PeerSync::choose(const std::vector<Fleet::Peer> &peers,
                                    Catalog::Revision known) const
{
    // Of the own region if possible: bytes between regions cost more. Then who knows most.
    const auto rank = [this](const Fleet::Peer &peer) {
        return std::pair(peer.record.region == home_, peer.record.storeRevision);
    };
    const Fleet::Peer *best = nullptr;
    for (const auto &peer : peers) {
        const bool helps = peer.reachable && peer.record.storeRevision > known;
        if (helps && (best == nullptr || rank(peer) > rank(*best))) {
            best = &peer;
        }
    }
    return best;
}

void PeerSync::tick(const std::vector<Fleet::Peer> &peers, Catalog::Revision known, bool listens,
                    Common::Time now)
{
    if (call_) {
        call_->tick(now);
    }
    if (call_ && now >= giveUpAt_) {
        call_->cancel();
        call_.reset();
    }
    const auto *peer = choose(peers, known);
    if (peer == nullptr) {
        behindSince_.reset();
        return;
    }
    behindSince_ = behindSince_.value_or(now);
    // One that knows nothing yet has no watch to wait for.
    const bool patient = listens || known == 0 || now - *behindSince_ >= Patience;
    if (patient && !call_ && now >= nextAt_) {
        begin(*peer, known, now);
    }
}

void PeerSync::begin(const Fleet::Peer &peer, Catalog::Revision known, Common::Time now)
{
    nextAt_ = now + Pause;
    giveUpAt_ = now + Timeout;
    OutboundRequest request;
    request.address = peer.record.peerAddress;
    request.head = requestHead("GET", itemsTarget(known), {{"Host", request.address}});
    request.body = std::make_shared<const std::string>();
    request.maxIdle = PeerIdle;
    request.assumedKeep = PeerIdle;
    body_.clear();
    status_ = 0;
    CallEvents events;
    events.head = [this](const AnswerHead &head) {
        status_ = head.status;
        return true;
    };
    events.body = [this](std::string bytes) { body_ += bytes; };
    events.end = [this, from = peer.record.id] {
        call_.reset();
        auto changes = Peers::decodeValue<Catalog::ItemChanges>(body_);
        if (status_ == Ok && changes) {
            changes_(std::move(*changes), from);
        }
    };
    events.failed = [this](CallFailure, const std::string &) { call_.reset(); };
    call_ = std::make_shared<OutboundCall>(pool_, std::move(request), std::move(events));
    call_->start(now);
}

} // namespace LaburnumChute::Relay
