#include "Cluster/NodeImpl.h"

#include <algorithm>

#include "Cluster/Codec.h"
#include "Cluster/Rendezvous.h"

namespace LaburnumChute::Cluster {

namespace {

/// A new instance without the platform's list waits for it for this many times joinHold.
constexpr int MaxJoinHoldsWithoutSeeds = 5;
constexpr Common::milliseconds LeavingNoticeLifetime{10 * 60 * 1000};

} // namespace

ClusterNode::Impl::Impl(const ClusterOptions &clusterOptions, const MemberInfo &self,
                        std::uint64_t seed, Common::Time now)
    : options(clusterOptions)
    , membership(options, self)
    , detector(options, now)
    , notices(options.maxNotices)
    , directory(options, self.region)
    , store(options.historyBytes)
    , fetch(options)
    , watch(options)
    , lastInput(now)
    , random_(seed)
{
    directory.recordIncarnation(self.id, self.incarnation);
    // Random phases keep instances that start together from sending at the same times.
    std::uniform_int_distribution<int> phase(0, 999);
    const auto randomPhase = [&] { return now + Common::milliseconds(phase(random_)); };
    timers_ = {now,
               randomPhase(),
               randomPhase(),
               randomPhase(),
               randomPhase(),
               randomPhase(),
               now + options.joinHold * MaxJoinHoldsWithoutSeeds};
}

Effects ClusterNode::Impl::takeEffects()
{
    return std::exchange(effects_, {});
}

const ClusterNode::Impl::Roles &ClusterNode::Impl::roles()
{
    if (roles_.changes == membership.changes()) {
        return roles_;
    }
    const MemberInfo &self = membership.self();
    const std::string &region = self.region.text();
    const auto isAmong = [&](const std::vector<Common::InstanceId> &chosen) {
        return std::find(chosen.begin(), chosen.end(), self.id) != chosen.end();
    };
    roles_.changes = membership.changes();
    roles_.peers = membership.peers();
    roles_.eligible = membership.eligible();
    const auto bridges = chooseByRendezvous(roles_.eligible, "bridge/" + region, options.bridges);
    roles_.bridge = isAmong(bridges);
    roles_.summaryPublisher = bridges.empty() ? self.id : bridges.front();
    const auto watchers = watchersPerRegion(options, directory.otherRegions().size() + 1);
    roles_.watcher =
        isAmong(chooseByRendezvous(roles_.eligible, "configuration-watch/" + region, watchers));
    return roles_;
}

void ClusterNode::Impl::updateSeeds(const std::vector<Seed> &seeds)
{
    if (!directory.seedsKnown() && !seeds.empty()) {
        timers_.holdEnds = std::min(timers_.holdEnds, lastInput + options.joinHold);
    }
    directory.setSeeds(seeds);
    std::set<Common::InstanceId> leaving;
    for (const Seed &seed : seeds) {
        if (seed.leaving) {
            leaving.insert(seed.id);
        }
    }
    membership.setListedLeaving(leaving, effects_);
    roles_.changes = ~0ull;
}

void ClusterNode::Impl::configurationRead(const ConfigurationVersion &version, Common::Time now)
{
    const bool isNewer = version.number > store.newestSeen();
    store.offer(version, {}, effects_);
    if (isNewer) {
        watch.succeeded(now);
    } else {
        watch.failed(now);
    }
}

void ClusterNode::Impl::configurationUnchanged(Common::Time now)
{
    watch.succeeded(now);
}

void ClusterNode::Impl::configurationReadFailed(Common::Time now)
{
    watch.failed(now);
}

void ClusterNode::Impl::configurationValidated(Common::ConfigurationNumber number,
                                               const Common::Result<void> &result, Common::Time)
{
    const auto before = store.digest();
    store.validated(number, result, effects_);
    if (store.digest() == before) {
        return;
    }
    // Every message carries the digest; these are sent only to announce the new version without
    // delay.
    flood({});
    if (roles().bridge || roles().watcher) {
        floodOtherRegions({}, options.bridges, 1);
    }
}

void ClusterNode::Impl::announceLeaving(Common::Time now)
{
    membership.startLeaving();
    const MemberInfo &self = membership.self();
    publishNotice({NoticeKind::InstanceLeaving, self.id.text(), self.region.text(),
                   self.incarnation, true, LeavingNoticeLifetime},
                  now);
}

void ClusterNode::Impl::publishNotice(const Notice &notice, Common::Time now)
{
    if (!notices.apply(notice, now)) {
        return;
    }
    flood({notice});
    // Two contacts in each region, since 5% of the datagrams may be lost and a contact may be gone.
    floodOtherRegions({notice}, directory.otherRegions().size(), 2);
}

void ClusterNode::Impl::send(const Address &to, Locality locality, GossipBody body,
                             std::vector<MemberUpdate> firstUpdates,
                             std::vector<Notice> firstNotices)
{
    if (to.empty()) {
        return;
    }
    GossipMessage message;
    message.sender = membership.self().id;
    message.incarnation = membership.self().incarnation;
    message.region = membership.self().region;
    message.configuration = store.digest();
    message.noticesHash = notices.hash();
    message.body = std::move(body);
    message.updates = std::move(firstUpdates);
    message.notices = std::move(firstNotices);
    std::size_t size = encodedSize(message);
    if (locality == Locality::OwnRegion && size < MaxDatagramBytes) {
        const auto updates = membership.takeUpdates(MaxDatagramBytes - size);
        message.updates.insert(message.updates.end(), updates.begin(), updates.end());
        size = encodedSize(message);
    }
    ++traffic.messagesSent;
    traffic.bytesSent += size;
    effects_.push_back(SendGossip{to, std::move(message)});
}

std::optional<Address> ClusterNode::Impl::memberAddress(const Common::InstanceId &id) const
{
    const auto view = membership.view(id);
    return view ? std::optional(directory.gossipAddress(view->info)) : std::nullopt;
}

void ClusterNode::Impl::sendToMember(const Common::InstanceId &id, GossipBody body,
                                     std::vector<MemberUpdate> firstUpdates)
{
    const auto address = memberAddress(id);
    if (address) {
        send(*address, Locality::OwnRegion, std::move(body), std::move(firstUpdates));
    }
}

const Common::InstanceId *ClusterNode::Impl::randomPeer()
{
    const auto &peers = roles().peers;
    if (peers.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> index(0, peers.size() - 1);
    return &peers[index(random_)];
}

void ClusterNode::Impl::flood(const std::vector<Notice> &newNotices)
{
    std::vector<Common::InstanceId> chosen;
    const auto &peers = roles().peers;
    std::sample(peers.begin(), peers.end(), std::back_inserter(chosen), options.floodFanout,
                random_);
    for (const Common::InstanceId &id : chosen) {
        const auto address = memberAddress(id);
        if (address) {
            send(*address, Locality::OwnRegion, PiggybackOnly{}, {}, newNotices);
        }
    }
}

void ClusterNode::Impl::floodOtherRegions(const std::vector<Notice> &newNotices,
                                          std::size_t regions, std::size_t contacts)
{
    const auto others = directory.otherRegions();
    std::vector<Common::RegionName> chosen;
    std::sample(others.begin(), others.end(), std::back_inserter(chosen), regions, random_);
    for (const Common::RegionName &region : chosen) {
        for (std::size_t i = 0; i < contacts; ++i) {
            const auto address = directory.contact(region, random_);
            if (address) {
                send(*address, Locality::OtherRegion, PiggybackOnly{}, {}, newNotices);
            }
        }
    }
}

MemberView ClusterNode::Impl::preferListedAddresses(MemberView view) const
{
    view.info = directory.withListedAddresses(std::move(view.info));
    return view;
}

std::optional<Common::Incarnation>
ClusterNode::Impl::newestIncarnation(const Common::InstanceId &id) const
{
    const auto view = membership.view(id);
    const auto heard = directory.newestIncarnation(id);
    if (!view) {
        return heard;
    }
    return std::max(view->info.incarnation, heard.value_or(0));
}

nlohmann::json ClusterNode::Impl::dump() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberView &view : membership.views()) {
        members.push_back({{"id", view.info.id.text()},
                           {"state", std::string(toString(view.state))},
                           {"incarnation", view.info.incarnation},
                           {"failure_domain", view.info.failureDomain.text()},
                           {"http", directory.withListedAddresses(view.info).httpAddress.text()}});
    }
    nlohmann::json regions = nlohmann::json::array();
    for (const RegionSummary &summary : directory.summaries()) {
        regions.push_back({{"region", summary.region.text()},
                           {"version", summary.version},
                           {"alive_members", summary.aliveMembers}});
    }
    nlohmann::json configuration = {{"number", store.current().number},
                                    {"hash", store.digest().hash},
                                    {"held", store.held()},
                                    {"conflicts", store.conflicts()},
                                    {"stale_offers", store.staleOffers()},
                                    {"watcher", roles_.watcher},
                                    {"reads", watch.reads()},
                                    {"failed_reads", watch.failures()}};
    nlohmann::json control = {{"messages_sent", traffic.messagesSent},
                              {"bytes_sent", traffic.bytesSent},
                              {"messages_received", traffic.messagesReceived},
                              {"bytes_received", traffic.bytesReceived}};
    return {{"self", membership.self().id.text()},
            {"incarnation", membership.self().incarnation},
            {"leaving", membership.leaving()},
            {"doubt", detector.localHealthScore()},
            {"refutations", membership.refutations()},
            {"pauses", pauses_},
            {"members", std::move(members)},
            {"regions", std::move(regions)},
            {"configuration", std::move(configuration)},
            {"traffic", std::move(control)}};
}

} // namespace LaburnumChute::Cluster
