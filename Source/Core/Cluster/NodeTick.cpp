#include <algorithm>

#include "Cluster/LoadSum.h"
#include "Cluster/NodeParts.h"

namespace LaburnumChute::Cluster {

namespace {

constexpr Common::milliseconds JoinInterval{1000};
/// Listed instances pinged a second by a new instance that has not yet heard of a configuration,
/// and by one that has joined: the latter only looks for members it lost sight of.
constexpr std::size_t JoinPingsAtStart = 16;
constexpr std::size_t JoinPingsLater = 1;
constexpr Common::milliseconds CompareMembersInterval{10000};
constexpr Common::milliseconds ExchangeInterval{1000};
constexpr Common::milliseconds HousekeepingInterval{1000};
/// Reports older than this many intervals are left out of the summary.
constexpr int ReportLifetimes = 3;

/// True when the time has come; sets the next one.
bool due(Common::Time &timer, Common::Duration interval, Common::Time now)
{
    if (now < timer) {
        return false;
    }
    timer = now + interval;
    return true;
}

} // namespace

void ClusterNode::Parts::tick(Common::Time now, Common::WallTime wallNow)
{
    enter(now);
    probe(now);
    membership.tick(now, effects_);
    join(now);
    compareMembers(now);
    exchangeRegions(now);
    exchangeWithOtherRegion(now);
    reportLoad(now, wallNow);
    if (due(timers_.housekeeping, HousekeepingInterval, now)) {
        notices.expire(now);
    }
    const auto request = fetch.tick(store, now);
    if (request) {
        send(request->to, Reach::OwnRegion, request->request);
    }
    settleConfiguration(now);
    watch.tick(roles().watcher && !membership.supersededBy(), store.newestMet(), now, effects_);
}

void ClusterNode::Parts::probe(Common::Time now)
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
        const auto claim = membership.claim(id, false);
        if (claim) {
            sendToMember(id, Carrier{}, {*claim});
        }
    }
}

void ClusterNode::Parts::join(Common::Time now)
{
    if (!due(timers_.join, JoinInterval, now)) {
        return;
    }
    struct Target
    {
        Address address;
        Reach reach = Reach::OwnRegion;
    };
    std::vector<Target> targets;
    for (const Common::InstanceId &id : membership.dead()) {
        targets.push_back({memberAddress(id).value_or(Address()), Reach::OwnRegion});
    }
    for (const Seed &seed : directory.ownSeeds()) {
        const bool unheard =
            store.held() ? !answered_.contains(seed.id) : !membership.view(seed.id).has_value();
        if (unheard && seed.id != membership.self().id) {
            targets.push_back({seed.gossipAddress, Reach::OwnRegion});
        }
    }
    std::shuffle(targets.begin(), targets.end(), random_);
    if (store.held()) {
        for (const Common::RegionName &region : directory.otherRegions()) {
            const auto address = directory.contact(region, random_);
            targets.push_back({address.value_or(Address()), Reach::OtherRegion});
        }
    }
    targets.resize(std::min(targets.size(), store.held() ? JoinPingsAtStart : JoinPingsLater));
    for (const Target &target : targets) {
        send(target.address, target.reach, Ping{detector.nextSequence()},
             {membership.selfClaim(true)});
    }
}

void ClusterNode::Parts::releaseHold(Common::Time now)
{
    if (fetch.active() || store.newestMet() < newestHeard_) {
        if (now < timers_.holdEnds + options.joinHold) {
            return;
        }
    }
    const auto seeds = directory.ownSeeds();
    const bool allAnswered = std::all_of(seeds.begin(), seeds.end(), [this](const Seed &seed) {
        return seed.id == membership.self().id || answered_.contains(seed.id);
    });
    const bool peersHoldVersion = newestHeard_ != 0 && !seeds.empty() && allAnswered;
    if (peersHoldVersion || now >= timers_.holdEnds) {
        store.release(effects_);
        answered_.clear();
    }
}

void ClusterNode::Parts::compareMembers(Common::Time now)
{
    if (!due(timers_.compareMembers, CompareMembersInterval, now)) {
        return;
    }
    const Common::InstanceId *peer = randomPeer();
    if (peer != nullptr) {
        sendToMember(*peer, MembersRequest{membership.hash()});
    }
}

void ClusterNode::Parts::exchangeRegions(Common::Time now)
{
    if (!due(timers_.exchangeRegions, ExchangeInterval, now) || directory.otherRegions().empty()) {
        return;
    }
    const Common::InstanceId *peer = randomPeer();
    if (peer != nullptr) {
        sendToMember(*peer, RegionsDigest{directory.versions(), true});
    }
}

void ClusterNode::Parts::exchangeWithOtherRegion(Common::Time now)
{
    if (!due(timers_.bridge, ExchangeInterval, now) || !roles().bridge) {
        return;
    }
    const auto regions = directory.otherRegions();
    if (regions.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> index(0, regions.size() - 1);
    const auto address = directory.contact(regions[index(random_)], random_);
    if (address) {
        send(*address, Reach::OtherRegion, RegionsDigest{directory.versions(), true});
    }
}

Common::Duration ClusterNode::Parts::reportInterval()
{
    const auto members = static_cast<int>(roles().peers.size()) + 1;
    return std::max<Common::Duration>(directory.summaryInterval(),
                                      options.reportIntervalPerMember * members);
}

void ClusterNode::Parts::reportLoad(Common::Time now, Common::WallTime wallNow)
{
    if (!due(timers_.loadReport, reportInterval(), now)) {
        return;
    }
    const Common::InstanceId maker = roles().summaryMaker;
    if (maker != membership.self().id) {
        sendToMember(maker, LoadReport{localLoad});
        return;
    }
    const RegionSummary summary = makeSummary(now, wallNow);
    if (directory.apply(summary)) {
        effects_.push_back(RegionChanged{summary});
    }
}

RegionSummary ClusterNode::Parts::makeSummary(Common::Time now, Common::WallTime wallNow)
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
    LoadSum sum;
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
