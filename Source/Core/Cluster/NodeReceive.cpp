#include <algorithm>

#include "Cluster/Codec.h"
#include "Cluster/NodeImpl.h"

namespace LaburnumChute::Cluster {

namespace {

constexpr Common::milliseconds IndirectProbeLifetime{2000};
/// Maximum number of datagrams with summaries sent in response to one digest.
constexpr std::size_t MaxPages = 3;
/// Maximum size of a page; the rest of the datagram is left to its other contents.
constexpr std::size_t PageBytes = 1000;
constexpr std::size_t MaxReports = 1024;

/// Splits a list into pages of bounded size.
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

void ClusterNode::Impl::detectPause(Common::Time now)
{
    const Common::Duration gap = now - lastInput;
    lastInput = std::max(lastInput, now);
    if (gap > options.pauseThreshold) {
        // The process was stopped or starved of processor time. Missing messages in that time are
        // no evidence against the other members.
        ++pauses_;
        detector.cancelProbe(now);
        membership.restartSuspicions(now);
        effects_.push_back(
            ResumedAfterPause{std::chrono::duration_cast<Common::milliseconds>(gap)});
    } else if (gap > 2 * options.tickInterval) {
        detector.postpone(gap);
        membership.postponeSuspicions(gap);
        fetch.postpone(gap);
    }
}

ClusterNode::Impl::Locality ClusterNode::Impl::localityOf(const GossipMessage &message) const
{
    return message.region == membership.self().region ? Locality::OwnRegion : Locality::OtherRegion;
}

void ClusterNode::Impl::receive(const Address &from, const GossipMessage &message, Common::Time now)
{
    detectPause(now);
    ++traffic.messagesReceived;
    traffic.bytesReceived += encodedSize(message);
    if (message.sender == membership.self().id) {
        MemberUpdate update{message.sender, message.incarnation, 0, Health::Alive, false, {}};
        membership.apply(update, now, effects_);
        return;
    }
    directory.recordIncarnation(message.sender, message.incarnation);
    if (store.held()) {
        heardPeers_.insert(message.sender);
        newestPeerNumber_ = std::max(newestPeerNumber_, message.configuration.number);
    }
    if (localityOf(message) == Locality::OwnRegion) {
        handleSenderUpdates(from, message, now);
    }
    handleNotices(message, now);
    handleConfigurationDigest(from, message, now);
    std::visit([&](const auto &body) { handle(body, from, message, now); }, message.body);
    updateHold(now);
}

void ClusterNode::Impl::handleSenderUpdates(const Address &from, const GossipMessage &message,
                                            Common::Time now)
{
    for (const MemberUpdate &update : message.updates) {
        membership.apply(update, now, effects_);
    }
    if (membership.refutations() != refutationsSeen_) {
        refutationsSeen_ = membership.refutations();
        detector.selfSuspected();
        // The instance that reported the suspicion gets the refutation first and forwards it.
        send(from, Locality::OwnRegion, PiggybackOnly{}, {membership.selfUpdate(true)});
    }
    auto corrections = membership.takeCorrections();
    if (!corrections.empty()) {
        send(from, Locality::OwnRegion, PiggybackOnly{}, std::move(corrections));
    }
    const auto known = membership.currentUpdate(message.sender, false);
    if (!known || known->incarnation < message.incarnation) {
        send(from, Locality::OwnRegion, MembersRequest{0}, {membership.selfUpdate(true)});
        return;
    }
    // The sender refutes this with a higher counter, or learns that it was replaced.
    if (known->health != Health::Alive || known->incarnation > message.incarnation) {
        send(from, Locality::OwnRegion, PiggybackOnly{}, {*known});
    }
}

void ClusterNode::Impl::handleNotices(const GossipMessage &message, Common::Time now)
{
    std::vector<Notice> newNotices;
    for (const Notice &notice : message.notices) {
        if (applyNotice(notice, now)) {
            newNotices.push_back(notice);
        }
    }
    if (newNotices.empty()) {
        return;
    }
    flood(newNotices);
    if (roles().bridge) {
        floodOtherRegions(newNotices, options.bridges, 1);
    }
}

bool ClusterNode::Impl::applyNotice(const Notice &notice, Common::Time now)
{
    if (!notices.apply(notice, now)) {
        return false;
    }
    effects_.push_back(NoticeReceived{notice});
    if (notice.kind == NoticeKind::InstanceLeaving) {
        const Common::InstanceId id(notice.subject);
        directory.recordLeaving(id, notice.version);
        auto update = membership.currentUpdate(id, false);
        if (update && id != membership.self().id && update->incarnation == notice.version) {
            update->leaving = true;
            membership.apply(*update, now, effects_);
        }
    }
    return true;
}

void ClusterNode::Impl::handleConfigurationDigest(const Address &from, const GossipMessage &message,
                                                  Common::Time now)
{
    store.compare(message.configuration, message.sender, effects_);
    const auto request = fetch.onAnnouncement(from, message.configuration, store, now);
    if (request) {
        send(request->to, localityOf(message), request->request);
    }
}

void ClusterNode::Impl::handle(const Ping &ping, const Address &from, const GossipMessage &message,
                               Common::Time now)
{
    std::vector<Notice> missing;
    if (message.noticesHash != notices.hash()) {
        missing = notices.sample(PageBytes / 2, random_, now);
    }
    send(from, localityOf(message), Ack{ping.sequence}, {}, std::move(missing));
}

void ClusterNode::Impl::handle(const Ack &ack, const Address &, const GossipMessage &, Common::Time)
{
    detector.acknowledged(ack.sequence);
    const auto indirectProbe = indirectProbes_.find(ack.sequence);
    if (indirectProbe != indirectProbes_.end()) {
        send(indirectProbe->second.requester, Locality::OwnRegion,
             Ack{indirectProbe->second.sequence});
        indirectProbes_.erase(indirectProbe);
    }
}

void ClusterNode::Impl::handle(const PingRequest &request, const Address &from,
                               const GossipMessage &, Common::Time now)
{
    std::erase_if(indirectProbes_, [now](const auto &item) { return now >= item.second.expires; });
    const std::uint32_t sequence = detector.nextSequence();
    indirectProbes_[sequence] = {from, request.sequence, now + IndirectProbeLifetime};
    sendToMember(request.target, Ping{sequence});
}

void ClusterNode::Impl::handle(const MembersRequest &request, const Address &from,
                               const GossipMessage &message, Common::Time)
{
    if (localityOf(message) != Locality::OwnRegion || request.hash == membership.hash()) {
        return;
    }
    const auto updates = membership.allUpdates();
    for (auto &page : paginate(updates, updates.size())) {
        send(from, Locality::OwnRegion, MembersPage{std::move(page)});
    }
}

void ClusterNode::Impl::handle(const MembersPage &page, const Address &,
                               const GossipMessage &message, Common::Time now)
{
    if (localityOf(message) != Locality::OwnRegion) {
        return;
    }
    for (const MemberUpdate &update : page.updates) {
        membership.apply(update, now, effects_);
    }
    // The page was sent in response to this instance's request; its sender gets the corrections
    // with the next probe.
    membership.takeCorrections();
}

void ClusterNode::Impl::handle(const LoadReport &report, const Address &,
                               const GossipMessage &message, Common::Time now)
{
    if (reports_.size() < MaxReports || reports_.contains(message.sender)) {
        reports_[message.sender] = {report.load, now};
    }
}

void ClusterNode::Impl::handle(const RegionsDigest &digest, const Address &from,
                               const GossipMessage &message, Common::Time)
{
    auto newer = directory.newerThan(digest.versions);
    std::shuffle(newer.begin(), newer.end(), random_);
    for (auto &page : paginate(newer, MaxPages)) {
        send(from, localityOf(message), RegionsPage{std::move(page)});
    }
    if (digest.replyRequested) {
        send(from, localityOf(message), RegionsDigest{directory.versions(), false});
    }
}

void ClusterNode::Impl::handle(const RegionsPage &page, const Address &, const GossipMessage &,
                               Common::Time)
{
    for (const RegionSummary &summary : page.summaries) {
        if (directory.apply(summary)) {
            effects_.push_back(RegionChanged{summary});
        }
    }
}

void ClusterNode::Impl::handle(const ConfigurationRequest &request, const Address &from,
                               const GossipMessage &message, Common::Time)
{
    for (ConfigurationChunk &chunk : source.makeChunks(request, store)) {
        send(from, localityOf(message), std::move(chunk));
    }
}

void ClusterNode::Impl::handle(const ConfigurationChunk &chunk, const Address &from,
                               const GossipMessage &message, Common::Time now)
{
    const auto request = fetch.receive(from, chunk, store, now);
    if (request) {
        send(request->to, localityOf(message), request->request);
    }
    auto complete = fetch.takeComplete();
    if (complete) {
        store.offer(*complete, message.sender, effects_);
    }
}

void ClusterNode::Impl::updateHold(Common::Time now)
{
    if (store.held()) {
        releaseHoldIfDue(now);
    }
}

} // namespace LaburnumChute::Cluster
