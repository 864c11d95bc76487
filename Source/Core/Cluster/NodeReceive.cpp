#include <algorithm>

#include "Cluster/Codec.h"
#include "Cluster/NodeParts.h"

namespace LaburnumChute::Cluster {

namespace {

constexpr Common::milliseconds RelayLifetime{2000};
/// Datagrams of summaries or notices in answer to one digest.
constexpr std::size_t MaxPages = 3;
/// What a page may take beside the other contents of its datagram.
constexpr std::size_t PageBytes = 1000;
constexpr std::size_t MaxReports = 1024;

/// Cuts a list into pages of bounded size.
template <typename T>
std::vector<std::vector<T>> paginate(const std::vector<T> &items, std::size_t maxPages)
{
    std::vector<std::vector<T>> pages;
    std::size_t bytes = PageBytes;
    for (const T &item : items) {
        const std::size_t size = encodedSize(item);
        if (bytes + size > PageBytes) {
            if (pages.size() == maxPages) {
                break;
            }
            pages.emplace_back();
            bytes = 0;
        }
        pages.back().push_back(item);
        bytes += size;
    }
    return pages;
}

} // namespace

void ClusterNode::Parts::enter(Common::Time now)
{
    const Common::Duration gap = now - lastInput;
    lastInput = std::max(lastInput, now);
    if (gap > options.pauseThreshold) {
        // The process was stopped, or starved: silence of the others in that time is its own.
        ++pauses_;
        detector.abandonProbe(now);
        membership.restartSuspicions(now);
        effects_.push_back(
            ResumedAfterPause{std::chrono::duration_cast<Common::milliseconds>(gap)});
    } else if (gap > 2 * options.tickInterval) {
        detector.postpone(gap);
        membership.postponeSuspicions(gap);
        fetch.postpone(gap);
    }
}

ClusterNode::Parts::Reach ClusterNode::Parts::reachOf(const GossipMessage &message) const
{
    return message.region == membership.self().region ? Reach::OwnRegion : Reach::OtherRegion;
}

void ClusterNode::Parts::receive(const Address &from, const GossipMessage &message,
                                 Common::Time now)
{
    enter(now);
    ++traffic.messagesReceived;
    traffic.bytesReceived += encodedSize(message);
    if (message.sender == membership.self().id) {
        MemberClaim claim{message.sender, message.incarnation, 0, Health::Alive, false, {}};
        membership.apply(claim, now, effects_);
        return;
    }
    directory.heard(message.sender, message.incarnation);
    if (store.held()) {
        answered_.insert(message.sender);
        newestHeard_ = std::max(newestHeard_, message.configuration.number);
    }
    if (reachOf(message) == Reach::OwnRegion) {
        takeSender(from, message, now);
    }
    takeNotices(message, now);
    takeConfiguration(from, message, now);
    std::visit([&](const auto &body) { handle(body, from, message, now); }, message.body);
    settleConfiguration(now);
}

void ClusterNode::Parts::takeSender(const Address &from, const GossipMessage &message,
                                    Common::Time now)
{
    for (const MemberClaim &claim : message.claims) {
        membership.apply(claim, now, effects_);
    }
    if (membership.refutations() != refutationsSeen_) {
        refutationsSeen_ = membership.refutations();
        detector.selfSuspected();
        // The one who told of the suspicion hears the answer first, and passes it on.
        send(from, Reach::OwnRegion, Carrier{}, {membership.selfClaim(true)});
    }
    auto corrections = membership.takeCorrections();
    if (!corrections.empty()) {
        send(from, Reach::OwnRegion, Carrier{}, std::move(corrections));
    }
    const auto known = membership.claim(message.sender, false);
    if (!known || known->incarnation < message.incarnation) {
        send(from, Reach::OwnRegion, MembersRequest{0}, {membership.selfClaim(true)});
        return;
    }
    // It answers this with a higher counter, or learns that it was replaced.
    if (known->health != Health::Alive || known->incarnation > message.incarnation) {
        send(from, Reach::OwnRegion, Carrier{}, {*known});
    }
}

void ClusterNode::Parts::takeNotices(const GossipMessage &message, Common::Time now)
{
    std::vector<Notice> news;
    for (const Notice &notice : message.notices) {
        if (learnNotice(notice, now)) {
            news.push_back(notice);
        }
    }
    if (news.empty()) {
        return;
    }
    flood(news);
    if (roles().bridge) {
        floodOtherRegions(news, options.bridges, 1);
    }
}

bool ClusterNode::Parts::learnNotice(const Notice &notice, Common::Time now)
{
    if (!notices.apply(notice, now)) {
        return false;
    }
    effects_.push_back(NoticeReceived{notice});
    if (notice.kind == NoticeKind::InstanceLeaving) {
        const Common::InstanceId id(notice.subject);
        directory.instanceLeaves(id, notice.version);
        auto claim = membership.claim(id, false);
        if (claim && id != membership.self().id && claim->incarnation == notice.version) {
            claim->leaving = true;
            membership.apply(*claim, now, effects_);
        }
    }
    return true;
}

void ClusterNode::Parts::takeConfiguration(const Address &from, const GossipMessage &message,
                                           Common::Time now)
{
    store.compare(message.configuration, message.sender, effects_);
    const auto request = fetch.heard(from, message.configuration, store, now);
    if (request) {
        send(request->to, reachOf(message), request->request);
    }
}

void ClusterNode::Parts::handle(const Ping &ping, const Address &from, const GossipMessage &message,
                                Common::Time now)
{
    std::vector<Notice> missing;
    if (message.noticesHash != notices.hash()) {
        missing = notices.sample(PageBytes / 2, random_, now);
    }
    send(from, reachOf(message), Ack{ping.sequence}, {}, std::move(missing));
}

void ClusterNode::Parts::handle(const Ack &ack, const Address &, const GossipMessage &,
                                Common::Time)
{
    detector.acknowledged(ack.sequence);
    const auto relay = relays_.find(ack.sequence);
    if (relay != relays_.end()) {
        send(relay->second.requester, Reach::OwnRegion, Ack{relay->second.sequence});
        relays_.erase(relay);
    }
}

void ClusterNode::Parts::handle(const PingRequest &request, const Address &from,
                                const GossipMessage &, Common::Time now)
{
    std::erase_if(relays_, [now](const auto &item) { return now >= item.second.expires; });
    const std::uint32_t sequence = detector.nextSequence();
    relays_[sequence] = {from, request.sequence, now + RelayLifetime};
    sendToMember(request.target, Ping{sequence});
}

void ClusterNode::Parts::handle(const MembersRequest &request, const Address &from,
                                const GossipMessage &message, Common::Time)
{
    if (reachOf(message) != Reach::OwnRegion || request.hash == membership.hash()) {
        return;
    }
    const auto claims = membership.allClaims();
    for (auto &page : paginate(claims, claims.size())) {
        send(from, Reach::OwnRegion, MembersPage{std::move(page)});
    }
}

void ClusterNode::Parts::handle(const MembersPage &page, const Address &,
                                const GossipMessage &message, Common::Time now)
{
    if (reachOf(message) != Reach::OwnRegion) {
        return;
    }
    for (const MemberClaim &claim : page.claims) {
        membership.apply(claim, now, effects_);
    }
    // The page is an answer to this instance; whoever sent it hears the news with the next probe.
    membership.takeCorrections();
}

void ClusterNode::Parts::handle(const LoadReport &report, const Address &,
                                const GossipMessage &message, Common::Time now)
{
    if (reports_.size() < MaxReports || reports_.contains(message.sender)) {
        reports_[message.sender] = {report.load, now};
    }
}

void ClusterNode::Parts::handle(const RegionsDigest &digest, const Address &from,
                                const GossipMessage &message, Common::Time)
{
    auto newer = directory.newerThan(digest.versions);
    std::shuffle(newer.begin(), newer.end(), random_);
    for (auto &page : paginate(newer, MaxPages)) {
        send(from, reachOf(message), RegionsPage{std::move(page)});
    }
    if (digest.answerWanted) {
        send(from, reachOf(message), RegionsDigest{directory.versions(), false});
    }
}

void ClusterNode::Parts::handle(const RegionsPage &page, const Address &, const GossipMessage &,
                                Common::Time)
{
    for (const RegionSummary &summary : page.summaries) {
        if (directory.apply(summary)) {
            effects_.push_back(RegionChanged{summary});
        }
    }
}

void ClusterNode::Parts::handle(const ConfigurationRequest &request, const Address &from,
                                const GossipMessage &message, Common::Time)
{
    for (ConfigurationChunk &chunk : source.answer(request, store)) {
        send(from, reachOf(message), std::move(chunk));
    }
}

void ClusterNode::Parts::handle(const ConfigurationChunk &chunk, const Address &from,
                                const GossipMessage &message, Common::Time now)
{
    const auto request = fetch.receive(from, chunk, store, now);
    if (request) {
        send(request->to, reachOf(message), request->request);
    }
    auto complete = fetch.takeComplete();
    if (complete) {
        store.offer(*complete, message.sender, effects_);
    }
}

void ClusterNode::Parts::settleConfiguration(Common::Time now)
{
    if (store.held()) {
        releaseHold(now);
    }
}

} // namespace LaburnumChute::Cluster
