#include "Relay/RelayGateway.h"

#include <algorithm>

#include "Peers/ValueCodec.h"
#include "Relay/EventLog.h"
#include "Relay/GossipMessage.h"
#include "Relay/SteadyNow.h"

namespace LaburnumChute::Relay {

namespace {

/// Within this time after the start, seeds of all regions have responded, even if they start at the
/// same time.
constexpr Common::milliseconds PeerResponseTime{400};
} // namespace

// Catalog.

void RelayGateway::applyChanges(const Catalog::ItemChanges &changes, const std::string &source)
{
    const auto now = steadyNow();
    const auto before = catalog_.items().upTo();
    const auto age = catalogCompleteAt_ ? std::optional(now - *catalogCompleteAt_) : std::nullopt;
    const auto grace =
        Catalog::remainingGrace(storeSettled(now), age, settings_.bounds.endpointDrain);
    const auto update = catalog_.apply(changes, grace, now);
    for (const auto &reason : changes.unreadable) {
        EventLine line("item-unreadable");
        line.add("key", "").add("reason", reason).add("source", source);
        log_.write(line, now);
    }
    for (const auto &[key, reason] : update.undecodable) {
        EventLine line("item-unreadable");
        line.add("key", key).add("reason", reason).add("source", source);
        log_.write(line, now);
    }
    store_.advance(catalog_.items().upTo());
    if (update.configuration) {
        EventLine line("configuration");
        line.add("version", static_cast<std::int64_t>(catalog_.version()))
            .add("revision", static_cast<std::int64_t>(catalog_.items().upTo()))
            .add("source", source);
        log_.write(line, now);
        applyLimits(now);
        applyEffects(scheduler_.setServices(catalog_.routes()->configuration().services, now), now);
    }
    if (update.evacuations || update.configuration) {
        setAllEndpoints(now);
    } else {
        endpointsChanged(update.endpoints, now);
    }
    if (update.configuration) {
        serveEarlyRequests();
    }
    if (!update.endpoints.empty() || update.evacuations) {
        EventLine line("catalog");
        line.add("revision", static_cast<std::int64_t>(catalog_.items().upTo()))
            .add("items", static_cast<std::int64_t>(changes.items.size()))
            .add("complete", changes.complete)
            .add("evacuated_domains", static_cast<std::int64_t>(catalog_.evacuated().size()))
            .add("source", source);
        log_.write(line, now);
    }
    roster_.setStoreRevision(catalog_.items().upTo());
    roster_.setConfiguration(catalog_.version());
    roster_.setReady(ready());
    if (catalog_.items().upTo() > before) {
        sendAll(roster_.spreadRevision(now));
    }
}

void RelayGateway::storeStateChanged(StoreState state, const std::string &reason)
{
    const auto now = steadyNow();
    EventLine line(state == StoreState::Answering ? "store-back" : "store-lost");
    line.add("reason", reason)
        .add("last_answer", store_.answerAge(now))
        .add("revision", static_cast<std::int64_t>(catalog_.items().upTo()));
    log_.write(line, now);
}

bool RelayGateway::isInOwnRegion(const Catalog::EndpointRecord &endpoint) const
{
    const auto region = settings_.regions.find(endpoint.failureDomain);
    return region != settings_.regions.end() && region->second == settings_.region;
}

void RelayGateway::setAllEndpoints(Common::Time now)
{
    std::vector<Catalog::ListedEndpoint> own;
    std::vector<Catalog::ListedEndpoint> remote;
    for (auto &endpoint : catalog_.endpoints()) {
        (isInOwnRegion(endpoint.record) ? own : remote).push_back(std::move(endpoint));
    }
    scheduler_.setRemoteEndpoints(remote);
    applyEffects(scheduler_.setEndpoints(own, catalog_.evacuated(), now), now);
}

/// While endpoints are replaced one after the other, some change several times per second among
/// thousands that do not.
void RelayGateway::endpointsChanged(const std::vector<Common::EndpointId> &changed,
                                    Common::Time now)
{
    Dispatch::EndpointChanges own;
    Dispatch::EndpointChanges remote;
    for (const auto &id : changed) {
        const auto *endpoint = catalog_.endpoint(id);
        const bool isOwn = endpoint != nullptr && isInOwnRegion(endpoint->record);
        const bool isRemote = endpoint != nullptr && !isOwn;
        if (endpoint != nullptr) {
            (isOwn ? own : remote).updated.push_back(*endpoint);
        }
        // It may also have started again in another region.
        if (!isOwn) {
            own.removed.push_back(id);
        }
        if (!isRemote) {
            remote.removed.push_back(id);
        }
    }
    if (!remote.empty()) {
        scheduler_.updateRemoteEndpoints(remote);
    }
    if (!own.empty()) {
        applyEffects(scheduler_.updateEndpoints(own, now), now);
    }
}

std::optional<Common::Duration> RelayGateway::catalogAge(Common::Time now) const
{
    return Fleet::storeDataAge(store_.answerAge(now), catalog_.items().upTo(), knownPeers_, now);
}

bool RelayGateway::isCatalogFresh(Common::Time now) const
{
    const auto age = catalogAge(now);
    return age && *age < settings_.bounds.configuration;
}

std::optional<Common::Duration> RelayGateway::storeFailureAge(Common::Time now) const
{
    return Fleet::storeFailureAge(store_.failureAge(now), settings_.region, knownPeers_, now);
}

/// An instance that does not watch the store itself sees no failures of its own, so those of the
/// other instances of the region count as well.
bool RelayGateway::storeSettled(Common::Time now) const
{
    const auto failureAge = storeFailureAge(now);
    return store_.settled(now) && (!failureAge || *failureAge > Catalog::StoreSettled);
}

bool RelayGateway::ready() const
{
    return catalog_.routes() != nullptr && catalog_.items().upTo() > 0 && !shutdown_;
}

// Peers.

void RelayGateway::sendAll(const Fleet::Sends &sends)
{
    const Fleet::Message *encoded = nullptr;
    GossipMessage message;
    std::string datagram;
    for (const auto &send : sends) {
        if (send.message.get() != encoded) {
            encoded = send.message.get();
            message = std::visit([](const auto &each) { return GossipMessage(each); }, *encoded);
            datagram = Peers::encodeValue(message);
        }
        gossip_.send(send.address, datagram);
        controlMetrics_.countSent(message, datagram.size(), 1);
    }
}

void RelayGateway::sendToOwnRegion(const GossipMessage &message)
{
    const auto datagram = Peers::encodeValue(message);
    std::size_t receivers = 0;
    for (const auto &peer : knownPeers_) {
        if (peer.alive && peer.record.region == settings_.region) {
            gossip_.send(peer.record.gossipAddress, datagram);
            ++receivers;
        }
    }
    controlMetrics_.countSent(message, datagram.size(), receivers);
}

void RelayGateway::handleDatagram(std::string_view datagram)
{
    const auto now = steadyNow();
    const auto message = Peers::decodeValue<GossipMessage>(datagram);
    if (!message) {
        EventLine line("datagram-unreadable");
        line.add("reason", message.error().message);
        log_.write(line, now);
        return;
    }
    controlMetrics_.countReceived(*message, datagram.size());
    struct Visitor
    {
        RelayGateway &gateway;
        Common::Time now;

        void operator()(const Fleet::Heartbeat &heartbeat) const
        {
            gateway.handleHeartbeat(heartbeat, now);
        }
        void operator()(const Dispatch::PromptNotices &notices) const
        {
            gateway.scheduler_.learn(notices, now);
        }
        void operator()(const Fleet::RegionDigest &digest) const
        {
            gateway.handleDigest(digest, now);
        }
        void operator()(const Dispatch::SuspectNotices &notices) const
        {
            gateway.handleSuspectNotices(notices, now);
        }
        void operator()(const UsageNotice &notice) const
        {
            if (notice.sender != gateway.settings_.instance) {
                gateway.limiter_.setInstanceReport(notice.sender, notice.report, now);
            }
        }
    };
    std::visit(Visitor{*this, now}, *message);
}

void RelayGateway::handleHeartbeat(const Fleet::Heartbeat &heartbeat, Common::Time now)
{
    sendAll(roster_.receive(heartbeat, now));
    const auto &sender = heartbeat.self;
    if (sender.id == settings_.instance) {
        return;
    }
    applyReports(heartbeat, now);
    if (sender.knownRevision > catalog_.items().upTo() && peerSync_.mayRequest(now)) {
        knownPeers_ = roster_.peers(now);
        synchronize(now);
    }
}

void RelayGateway::synchronize(Common::Time now)
{
    peerSync_.tick(knownPeers_, catalog_.items().upTo(), duty_ == Fleet::WatchDuty::Listens, now);
}

/// Reports that cannot be decoded are left out; they may come from an instance of another version.
void RelayGateway::applyReports(const Fleet::Heartbeat &heartbeat, Common::Time now)
{
    const auto &sender = heartbeat.self;
    if (sender.region != settings_.region) {
        return;
    }
    if (const auto usage = Peers::decodeValue<Customers::UsageReport>(heartbeat.usageReport)) {
        limiter_.setInstanceReport(sender.id, *usage, now);
    }
    if (heartbeat.loadReport.empty()) {
        return;
    }
    if (const auto share = Peers::decodeValue<Dispatch::RegionLoadReport>(heartbeat.loadReport)) {
        applyEffects(scheduler_.setRegionLoadReport(sender.id, *share, now), now);
    }
}

void RelayGateway::handleDigest(const Fleet::RegionDigest &digest, Common::Time now)
{
    const auto outcome = roster_.receive(digest, now);
    sendAll(outcome.sends);
    if (!outcome.newWithAge) {
        return;
    }
    const auto &speaker = digest.speaker;
    if (const auto usage = Peers::decodeValue<Customers::UsageReport>(digest.usageReport)) {
        limiter_.setRegionReport(speaker.region, *usage, now);
    }
    if (const auto share = Peers::decodeValue<Dispatch::CrossRegionLoadReport>(digest.loadReport)) {
        scheduler_.setCrossRegionLoadReport(speaker.region, speaker.id, *share,
                                            now - *outcome.newWithAge);
    }
}

void RelayGateway::logCrashEvents(Common::Time now)
{
    struct Visitor
    {
        RelayGateway &gateway;
        Common::Time now;

        void operator()(const Dispatch::EndpointCrash &crash) const
        {
            gateway.relayMetrics_.crashes.add();
            EventLine line("endpoint-crash");
            line.add("endpoint", crash.endpoint)
                .add("count", static_cast<std::int64_t>(crash.suspects.size()))
                .add("suspects", formatSuspects(crash.suspects));
            gateway.log_.write(line, now);
        }
        void operator()(const Dispatch::SuspectHold &hold) const
        {
            gateway.relayMetrics_.holds.count(hold.key);
            EventLine line("hold");
            line.add("suspect", formatSuspect(hold.key))
                .add("open", static_cast<std::int64_t>(hold.open))
                .add("ended", static_cast<std::int64_t>(hold.ended))
                .add("reported_by_peer", hold.reportedByPeer);
            gateway.log_.write(line, now);
        }
        void operator()(const Dispatch::SuspectQuarantine &quarantine) const
        {
            gateway.relayMetrics_.quarantines.count(quarantine.key);
            EventLine line("quarantine");
            line.add("suspect", formatSuspect(quarantine.key))
                .add("ended", static_cast<std::int64_t>(quarantine.ended))
                .add("reported_by_peer", quarantine.reportedByPeer);
            gateway.log_.write(line, now);
        }
        void operator()(const Dispatch::EvidenceLost &lost) const
        {
            gateway.relayMetrics_.evidenceLost.add(lost.keys.size());
            EventLine line("evidence-lost");
            line.add("reason", Dispatch::toString(lost.reason))
                .add("suspects", formatSuspects(lost.keys));
            gateway.log_.write(line, now);
        }
    };
    for (const auto &event : scheduler_.takeCrashEvents()) {
        std::visit(Visitor{*this, now}, event);
    }
}

void RelayGateway::logSilenceChanges(Common::Time now)
{
    for (const auto &change : scheduler_.takeSilenceChanges()) {
        EventLine line(change.silent ? "endpoint-silent" : "endpoint-heard");
        line.add("endpoint", change.endpoint).add("silent", change.silence);
        log_.write(line, now);
    }
}

void RelayGateway::countTransfers()
{
    for (const auto &transfer : scheduler_.takeMeasuredTransfers()) {
        // The bins of the histogram are in seconds: one second stands for the ratio 1.
        relayMetrics_.copyTimeRatio.at(transfer.path)
            ->record(std::chrono::duration_cast<Common::Duration>(
                std::chrono::duration<double>(transfer.ratio)));
    }
}

void RelayGateway::logRetryDecisions(Common::Time now)
{
    for (const auto &decision : scheduler_.takeRetryDecisions()) {
        (decision.allowed ? relayMetrics_.retries : relayMetrics_.retriesDenied).add();
        const auto call = calls_.find(decision.call);
        EventLine line("retry");
        line.add("request", call == calls_.end() ? "" : call->second->plan().head.requestId)
            .add("service", decision.service)
            .add("allowed", decision.allowed)
            .add("requests", static_cast<std::int64_t>(decision.requests))
            .add("retries", static_cast<std::int64_t>(decision.retries))
            .add("limit", static_cast<std::int64_t>(decision.limit))
            .add("instances", static_cast<std::int64_t>(decision.instances));
        log_.write(line, now);
    }
}

void RelayGateway::countYieldTimes()
{
    for (const auto &time : scheduler_.takeYieldTimes()) {
        registry_
            .counter("laburnumchute_relay_yield_seconds_total",
                     "Seconds in which requests of the service that other regions may serve were "
                     "forwarded to leave the endpoints to those restricted to regions",
                     {{"service", time.service.text()}})
            .add(time.seconds);
    }
}

void RelayGateway::sendPromptNotices()
{
    const auto notices = scheduler_.takeNotices();
    if (!notices.prompts.empty()) {
        sendToOwnRegion(notices);
    }
}

void RelayGateway::sendSuspectNotices(Common::Time now)
{
    const auto notices = scheduler_.takeSuspectNotices(now);
    if (notices.suspects.empty()) {
        return;
    }
    const GossipMessage message = notices;
    sendToOwnRegion(message);
    const auto datagram = Peers::encodeValue(message);
    std::set<Common::RegionName> otherRegions;
    for (const auto &[failureDomain, region] : settings_.regions) {
        otherRegions.insert(region);
    }
    otherRegions.erase(settings_.region);
    for (const auto &region : otherRegions) {
        if (const auto peer = findPeerIn(region)) {
            gossip_.send(peer->gossipAddress, datagram);
            controlMetrics_.countSent(message, datagram.size(), 1);
        }
    }
}

void RelayGateway::handleSuspectNotices(Dispatch::SuspectNotices notices, Common::Time now)
{
    scheduler_.learn(notices, now);
    if (notices.region != settings_.region) {
        notices.region = settings_.region;
        sendToOwnRegion(notices);
    }
}

void RelayGateway::fleetChanged(Common::Time now)
{
    knownPeers_ = roster_.peers(now);
    std::vector<Common::InstanceId> own = {settings_.instance};
    std::set<Common::RegionName> reachable;
    for (const auto &peer : knownPeers_) {
        const bool acceptsRequests = peer.reachable && peer.record.ready && !peer.record.leaving;
        if (peer.record.region != settings_.region) {
            if (acceptsRequests) {
                reachable.insert(peer.record.region);
            }
            continue;
        }
        auto &wasAlive = peerAlive_.try_emplace(peer.record.id, false).first->second;
        if (wasAlive != peer.alive) {
            wasAlive = peer.alive;
            EventLine line(peer.alive ? "instance-back" : "instance-lost");
            line.add("peer", peer.record.id).add("region", peer.record.region);
            log_.write(line, now);
        }
        if (!peer.alive && peer.record.leaving) {
            limiter_.removeInstance(peer.record.id, now);
        }
        if (peer.alive) {
            own.push_back(peer.record.id);
        }
    }
    const auto aliveCount = roster_.aliveInstances(now);
    if (hasCustomers()) {
        limiter_.setInstances({own.begin() + 1, own.end()}, aliveCount, now);
    }
    scheduler_.setFleet(own, roster_.sharers(now), {reachable.begin(), reachable.end()});
    scheduler_.setHeardInstances(aliveCount);
    const auto regionSharers = roster_.regionSharers(now);
    scheduler_.setRegionSharers(regionSharers.known, regionSharers.count);
    updateWatchDuty(now);
}

/// A listing of thousands of endpoints takes long from another region, and all instances together
/// would fill the link of the store. Seeds begin with it at once; the others first contact them.
bool RelayGateway::awaitsPeers(Common::Time now) const
{
    return !roster_.isSeed() && !settings_.seeds.empty() && catalog_.items().upTo() == 0
           && now - startedAt_ < PeerResponseTime;
}

/// An instance that has begun to query the store continues for some time: its own answers are what
/// the others then rely on, so that it would otherwise stop and begin again.
Fleet::WatchDuty RelayGateway::chooseWatchDuty(Common::Time now)
{
    if (awaitsPeers(now)) {
        return Fleet::WatchDuty::Listens;
    }
    const auto bound = std::min(settings_.bounds.endpointDrain, settings_.bounds.configuration);
    const auto duty = Fleet::watchDuty(roster_.self(), knownPeers_, now - startedAt_,
                                       Fleet::watchOptionsFor(bound), now);
    if (duty == Fleet::WatchDuty::Looks) {
        looksUntil_ = now + Catalog::StoreSettled;
    }
    const bool looksOn = duty == Fleet::WatchDuty::Listens && now < looksUntil_;
    return looksOn ? Fleet::WatchDuty::Looks : duty;
}

void RelayGateway::updateWatchDuty(Common::Time now)
{
    const auto duty = chooseWatchDuty(now);
    if (duty != duty_) {
        duty_ = duty;
        store_.setDuty(duty);
        EventLine line("store-duty");
        line.add("duty", duty == Fleet::WatchDuty::Watches   ? "watches"
                         : duty == Fleet::WatchDuty::Listens ? "listens"
                                                             : "looks");
        log_.write(line, now);
    }
}

std::optional<Fleet::InstanceRecord> RelayGateway::findPeerIn(const Common::RegionName &region)
{
    std::vector<const Fleet::InstanceRecord *> candidates;
    for (const auto &peer : knownPeers_) {
        const auto &record = peer.record;
        if (peer.reachable && record.ready && !record.leaving && record.region == region) {
            candidates.push_back(&record);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    return *candidates[index(random_)];
}

std::optional<Fleet::InstanceRecord>
RelayGateway::findPeer(const Common::InstanceId &instance) const
{
    const auto found =
        std::find_if(knownPeers_.begin(), knownPeers_.end(), [&](const Fleet::Peer &peer) {
            return peer.record.id == instance && peer.reachable && peer.record.ready
                   && !peer.record.leaving;
        });
    return found == knownPeers_.end() ? std::nullopt : std::optional(found->record);
}

void RelayGateway::logReachability(Common::Time now)
{
    const auto unreachable = scheduler_.unreachableServices();
    const auto logMissing = [&](const char *event, const auto &services, const auto &from) {
        for (const auto &service : services) {
            if (std::find(from.begin(), from.end(), service) == from.end()) {
                EventLine line(event);
                line.add("service", service);
                log_.write(line, now);
            }
        }
    };
    logMissing("service-unreachable", unreachable, unreachableServices_);
    logMissing("service-reachable", unreachableServices_, unreachable);
    unreachableServices_ = unreachable;
}

void RelayGateway::heartbeat(Common::Time now)
{
    logReachability(now);
    roster_.setReady(ready());
    roster_.setStoreContact(catalogAge(now), storeFailureAge(now));
    Fleet::Reports reports{Peers::encodeValue(scheduler_.regionLoadReport(now)), ""};
    if (hasCustomers()) {
        reports.usage = Peers::encodeValue(limiter_.instanceReport(now));
    }
    roster_.setReports(std::move(reports));
    if (roster_.speaks(now)) {
        Fleet::Reports digest{Peers::encodeValue(scheduler_.crossRegionLoadReport(now)), ""};
        if (hasCustomers()) {
            digest.usage = Peers::encodeValue(limiter_.regionReport(now));
        }
        roster_.setDigestReports(std::move(digest));
    }
    sendAll(roster_.tick(now));
    fleetChanged(now);
    updateCustomerUsage(now);
}

} // namespace LaburnumChute::Relay
