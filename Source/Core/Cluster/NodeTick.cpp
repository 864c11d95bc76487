#include <algorithm>

#include "Cluster/LoadAggregator.h"
#include "Cluster/NodeImpl.h"

namespace LaburnumChute::Cluster {

namespace {

constexpr Common::milliseconds JoinInterval{1000};
/// Listed instances pinged per second by a new instance whose join hold has not yet been released,
/// and by one that has joined and only looks for members that it has lost.
constexpr std::size_t JoinPingsAtStart = 16;
constexpr std::size_t JoinPingsLater = 1;
constexpr Common::milliseconds CompareMembersInterval{10000};
constexpr Common::milliseconds ExchangeInterval{1000};
constexpr Common::milliseconds HousekeepingInterval{1000};
/// Load reports older than this many intervals are left out of the summary.
constexpr int ReportLifetimes = 3;

/// Returns true if the timer has expired, and rearms it.
bool isDue(Common::Time &timer, Common::Duration interval, Common::Time now)
{
    if (now < timer) {
        return false;
    }
    timer = now + interval;
    return true;
}

} // namespace

void ClusterNode::Impl::tick(Common::Time now, Common::WallTime wallNow)
{
    detectPause(now);
    probe(now);
    membership.tick(now, effects_);
    join(now);
    compareMembers(now);
    exchangeRegions(now);
    exchangeWithOtherRegion(now);
    reportLoad(now, wallNow);
    if (isDue(timers_.housekeeping, HousekeepingInterval, now)) {
        notices.expire(now);
    }
    const auto request = fetch.tick(store, now);
    if (request) {
        send(request->to, Locality::OwnRegion, request->request);
    }
    updateHold(now);
    watch.tick(roles().watcher && !membership.supersededBy(), store.newestSeen(), now, effects_);
}

void ClusterNode::Impl::probe(Common::Time now)
{
    const ProbeActions actions = detector.tick(roles().peers, random_, now);
    for (const auto &ping : actions.pings) {
        sendToMember(ping.target, Ping{ping.sequence});
    }
    for (const auto &request : actions.pingRequests) {
        sendToMember(request.helper, PingRequest{request.sequence, request.target});
    }
    for (const Common::InstanceId &id : actions.suspects) {
        membership.suspect(id, now, effects_);
        const auto update = membership.currentUpdate(id, false);
        if (update) {
            sendToMember(id, PiggybackOnly{}, {*update});
        }
    }
}

void ClusterNode::Impl::join(Common::Time now)
{
    if (!isDue(timers_.join, JoinInterval, now)) {
        return;
    }
    struct Target
    {
        Address address;
        Locality locality = Locality::OwnRegion;
    };
    std::vector<Target> targets;
    for (const Common::InstanceId &id : membership.dead()) {
        targets.push_back({memberAddress(id).value_or(Address()), Locality::OwnRegion});
    }
    for (const Seed &seed : directory.ownSeeds()) {
        const bool isUnseen =
            store.held() ? !heardPeers_.contains(seed.id) : !membership.view(seed.id).has_value();
        if (isUnseen && seed.id != membership.self().id) {
            targets.push_back({seed.gossipAddress, Locality::OwnRegion});
        }
    }
    std::shuffle(targets.begin(), targets.end(), random_);
    if (store.held()) {
        for (const Common::RegionName &region : directory.otherRegions()) {
            const auto address = directory.contact(region, random_);
            targets.push_back({address.value_or(Address()), Locality::OtherRegion});
        }
    }
    targets.resize(std::min(targets.size(), store.held() ? JoinPingsAtStart : JoinPingsLater));
    for (const Target &target : targets) {
        send(target.address, target.locality, Ping{detector.nextSequence()},
             {membership.selfUpdate(true)});
    }
}

void ClusterNode::Impl::releaseHoldIfDue(Common::Time now)
{
    if (fetch.active() || store.newestSeen() < newestPeerNumber_) {
        if (now < timers_.holdEnds + options.joinHold) {
            return;
        }
    }
    const auto seeds = directory.ownSeeds();
    const bool allAnswered = std::all_of(seeds.begin(), seeds.end(), [this](const Seed &seed) {
        return seed.id == membership.self().id || heardPeers_.contains(seed.id);
    });
    const bool versionKnownFromPeers = newestPeerNumber_ != 0 && !seeds.empty() && allAnswered;
    if (versionKnownFromPeers || now >= timers_.holdEnds) {
        store.release(effects_);
        heardPeers_.clear();
    }
}

void ClusterNode::Impl::compareMembers(Common::Time now)
{
    if (!isDue(timers_.compareMembers, CompareMembersInterval, now)) {
        return;
    }
    const Common::InstanceId *peer = randomPeer();
    if (peer != nullptr) {
        sendToMember(*peer, MembersRequest{membership.hash()});
    }
}

void ClusterNode::Impl::exchangeRegions(Common::Time now)
{
    if (!isDue(timers_.exchangeRegions, ExchangeInterval, now)
        || directory.otherRegions().empty()) {
        return;
    }
    const Common::InstanceId *peer = randomPeer();
    if (peer != nullptr) {
        sendToMember(*peer, RegionsDigest{directory.versions(), true});
    }
}

void ClusterNode::Impl::exchangeWithOtherRegion(Common::Time now)
{
    if (!isDue(timers_.bridge, ExchangeInterval, now) || !roles().bridge) {
        return;
    }
    const auto regions = directory.otherRegions();
    if (regions.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> index(0, regions.size() - 1);
    const auto address = directory.contact(regions[index(random_)], random_);
    if (address) {
        send(*address, Locality::OtherRegion, RegionsDigest{directory.versions(), true});
    }
}

Common::Duration ClusterNode::Impl::reportInterval()
{
    const auto members = static_cast<int>(roles().peers.size()) + 1;
    return std::max<Common::Duration>(directory.summaryInterval(),
                                      options.reportIntervalPerMember * members);
}

void ClusterNode::Impl::reportLoad(Common::Time now, Common::WallTime wallNow)
{
    if (!isDue(timers_.loadReport, reportInterval(), now)) {
        return;
    }
    const Common::InstanceId publisher = roles().summaryPublisher;
    if (publisher != membership.self().id) {
        sendToMember(publisher, LoadReport{localLoad});
        return;
    }
    const RegionSummary summary = makeSummary(now, wallNow);
    if (directory.apply(summary)) {
        effects_.push_back(RegionChanged{summary});
    }
}

RegionSummary ClusterNode::Impl::makeSummary(Common::Time now, Common::WallTime wallNow)
{
    RegionSummary summary;
    summary.region = membership.self().region;
    summary.version = Common::toUnixMilliseconds(wallNow);
    summary.aliveMembers = static_cast<std::uint32_t>(roles().eligible.size());
    std::vector<Common::InstanceId> contacts;
    std::sample(roles().eligible.begin(), roles().eligible.end(), std::back_inserter(contacts),
                options.contactsPerRegion, random_);
    for (const Common::InstanceId &id : contacts) {
        summary.contacts.push_back(membership.view(id)->info);
    }
    LoadAggregator sum;
    sum.add(localLoad);
    const auto lifetime = reportInterval() * ReportLifetimes;
    std::erase_if(reports_,
                  [&](const auto &item) { return now - item.second.received > lifetime; });
    for (const auto &[id, report] : reports_) {
        sum.add(report.load);
    }
    summary.load = sum.result();
    return summary;
}

} // namespace LaburnumChute::Cluster
