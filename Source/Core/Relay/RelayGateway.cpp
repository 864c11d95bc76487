#include "Relay/RelayGateway.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include "Peers/ValueCodec.h"
#include "Relay/DirectoryAnswer.h"
#include "Relay/GossipMessage.h"
#include "Relay/HttpText.h"
#include "platform/Platform.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned ServiceUnavailable = 503;

/// Granularity of all time limits while requests are under way, and otherwise. A timer for each
/// read and write would wake the process several times for each event.
constexpr milliseconds BusyTick{20};
constexpr milliseconds IdleTick{50};
constexpr milliseconds SettingsInterval{1000};
constexpr milliseconds HousekeepingInterval{1000};
constexpr milliseconds UnknownConfigurationRetryAfter{500};
constexpr milliseconds MemoryRetryAfter{1000};
/// Callers keep the directory's answers for this long, some three times as long: short enough that
/// they have left an instance before it stops.
constexpr milliseconds DirectoryLifetime{1000};
/// Callers that are sent elsewhere have another instance's address already.
constexpr milliseconds StoppingRetryAfter{50};
/// Descriptors that are left for files, and the part of the rest that connections of callers get:
/// the others are for endpoints, other instances and the store.
constexpr int ReservedDescriptors = 200;
constexpr double CallerDescriptorShare = 0.6;
/// Part of the memory that bodies of requests may take; the rest is for the program, its
/// connections and answers on their way.
constexpr double BodyMemoryShare = 0.35;
/// The store's waiting call takes at most this; by then a machine that is alone with a silent store
/// has used half of the time in which it must act on what it would have said.
constexpr int BoundParts = 2;
/// From the start until the engines' memory is asked about: by then the other instances are known,
/// so that each engine is asked by one of them.
constexpr milliseconds LearnCachesAfter{700};
constexpr milliseconds CacheTimeout{1000};
constexpr const char *CachesPath = "/laburnumchute/caches";
constexpr std::string_view MetricsPath = "/metrics";
constexpr std::string_view DumpPath = "/dump";
constexpr int StandardOutput = 1;

Common::Time steadyNow()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string withPort(const std::string &ip, std::uint16_t port)
{
    return ip + ":" + std::to_string(port);
}

Fleet::InstanceRecord recordOf(const Catalog::InstanceSettings &settings)
{
    Fleet::InstanceRecord record;
    record.id = settings.instance;
    record.incarnation = randomNumber();
    record.region = settings.region;
    record.failureDomain = settings.failureDomain;
    record.callerAddress = settings.callerAddress;
    record.gossipAddress = withPort(settings.ip, settings.gossipPort);
    record.peerAddress = withPort(settings.ip, settings.peerPort);
    return record;
}

StoreWatcher::Options watchOptions(const Catalog::Bounds &bounds)
{
    StoreWatcher::Options options;
    const auto bound = std::min(bounds.endpointDrain, bounds.configuration) / BoundParts;
    options.wait = std::max(milliseconds(500), bound - options.margin);
    return options;
}

std::size_t callerConnectionLimit(const Catalog::InstanceSettings &settings)
{
    const double usable = std::max(0, settings.descriptors - ReservedDescriptors);
    return static_cast<std::size_t>(std::max(16.0, usable * CallerDescriptorShare));
}

std::string fileText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

RelayMetrics::RelayMetrics(Common::MetricsRegistry &registry)
    : requests(registry.counter("laburnumchute_relay_requests_total", "Requests of callers"))
    , forwardedIn(registry.counter("laburnumchute_relay_forwarded_in_total",
                                   "Requests that other instances forwarded here"))
    , sends(registry.counter("laburnumchute_relay_sends_total", "Tries sent to endpoints"))
    , forwards(registry.counter("laburnumchute_relay_forwards_total",
                                "Requests forwarded to other regions"))
    , completed(registry.counter("laburnumchute_relay_completed_total", "Whole answers passed on"))
    , rejected(registry.counter("laburnumchute_relay_rejected_total",
                                "Requests refused that have not run"))
    , failed(registry.counter("laburnumchute_relay_failed_total",
                              "Requests that ended without a whole answer"))
    , timedOut(
          registry.counter("laburnumchute_relay_timed_out_total", "Requests whose time was over"))
    , abandoned(registry.counter("laburnumchute_relay_abandoned_total",
                                 "Requests whose caller left before the end"))
    , resumed(registry.counter("laburnumchute_relay_resumed_total",
                               "Streams that went on at another endpoint"))
    , firstEvent(registry.histogram("laburnumchute_relay_first_event_seconds",
                                    "From the request to the first event of its answer"))
    , queueTime(registry.histogram("laburnumchute_relay_queue_seconds",
                                   "From the request to its first send"))
{
}

RelayGateway::RelayGateway(RelayOptions options, Catalog::InstanceSettings settings)
    : options_(std::move(options))
    , settings_(std::move(settings))
    , context_(1)
    , random_(randomNumber())
    , relayMetrics_(registry_)
    , log_(StandardOutput, options_.log, settings_.instance.text())
    , catalog_(&Platform::readItem)
    , roster_(options_.roster, recordOf(settings_), randomNumber())
    , scheduler_(options_.dispatch, settings_.instance, settings_.region, randomNumber(),
                 steadyNow())
    , pool_(std::make_shared<OutboundPool>(context_))
    , store_(
          pool_, watchOptions(settings_.bounds),
          [this](const Catalog::ItemChanges &changes) { takeChanges(changes, "store"); },
          [this](StoreState state, const std::string &reason) { storeStateChanged(state, reason); })
    , peerSync_(pool_, settings_.region,
                [this](const Catalog::ItemChanges &changes, const Common::InstanceId &from) {
                    takeChanges(changes, from.text());
                })
    , fetch_(pool_)
    , gossip_(context_, [this](std::string_view datagram) { takeDatagram(datagram); })
    , callers_(
          context_, callerConnectionLimit(settings_),
          [this] {
              const auto routes = catalog_.routes();
              return routes ? routes->configuration().limits : Catalog::CallerLimits();
          },
          [this](const Connection &connection, InboundRequest request) {
              serveCaller(connection, std::move(request));
          })
    , peers_(
          context_, callerConnectionLimit(settings_), [] { return Catalog::CallerLimits(); },
          [this](const Connection &connection, InboundRequest request) {
              servePeer(connection, std::move(request));
          })
    , readiness_(
          context_, ReservedDescriptors / 4, [] { return Catalog::CallerLimits(); },
          [this](const Connection &connection, const InboundRequest &request) {
              serveReadiness(connection, request);
          })
    , directory_(
          context_, callerConnectionLimit(settings_), [] { return Catalog::CallerLimits(); },
          [this](const Connection &connection, const InboundRequest &request) {
              serveDirectory(connection, request);
          })
    , metricsServer_(
          context_, ReservedDescriptors / 4, [] { return Catalog::CallerLimits(); },
          [this](const Connection &connection, const InboundRequest &request) {
              serveMetrics(connection, request);
          })
    , tickTimer_(context_)
    , stopSignals_(context_, SIGTERM, SIGINT)
    , reloadSignals_(context_, SIGHUP)
{
}

RelayGateway::~RelayGateway() = default;

Common::Result<void> RelayGateway::start()
{
    const auto now = steadyNow();
    settingsText_ = fileText(options_.settingsPath);
    struct Listening
    {
        InboundServer &server;
        std::string address;
    };
    std::vector<Listening> all = {{callers_, settings_.callerAddress},
                                  {peers_, withPort(settings_.ip, settings_.peerPort)},
                                  {readiness_, settings_.readinessAddress},
                                  {directory_, settings_.directoryAddress}};
    if (options_.metricsPort != 0) {
        all.push_back({metricsServer_, withPort(settings_.ip, options_.metricsPort)});
    }
    for (auto &each : all) {
        if (const auto bound = each.server.listen(each.address); !bound) {
            return tl::unexpected(bound.error());
        }
    }
    auto gossip = gossip_.open(withPort(settings_.ip, settings_.gossipPort));
    if (!gossip) {
        return gossip;
    }
    applySettings(now);
    learnCachesAt_ = now + LearnCachesAfter;
    waitForSignal();
    waitForReload();
    EventLine line("start");
    line.add("region", settings_.region)
        .add("failure_domain", settings_.failureDomain)
        .add("callers", settings_.callerAddress)
        .add("store", settings_.storeAddress)
        .add("seeds", static_cast<std::int64_t>(settings_.seeds.size()));
    log_.write(line, now);
    tick(now);
    return {};
}

void RelayGateway::run()
{
    context_.run();
}

void RelayGateway::applySettings(Common::Time now)
{
    std::set<std::string> seeds;
    for (const auto &ip : settings_.seeds) {
        seeds.insert(withPort(ip, settings_.gossipPort));
    }
    roster_.setSeeds(seeds);
    store_.setAddress(settings_.storeAddress);
    store_.setOptions(watchOptions(settings_.bounds));
    scheduler_.setBounds(settings_.bounds);
    fleetChanged(now);
}

void RelayGateway::rereadSettings(bool bySignal, Common::Time now)
{
    auto text = fileText(options_.settingsPath);
    if (text == settingsText_ && !bySignal) {
        return;
    }
    const bool changed = text != settingsText_;
    const auto read = Platform::readSettings(text);
    EventLine line("reload");
    line.add("by_signal", bySignal).add("changed", changed);
    if (!read) {
        // A file that is being written, or a wrong one: the settings in force stay.
        settingsText_ = std::move(text);
        line.add("outcome", "kept the old settings").add("reason", read.error().message);
        log_.write(line, now);
        return;
    }
    settingsText_ = std::move(text);
    settings_.seeds = read->seeds;
    settings_.bounds = read->bounds;
    settings_.storeAddress = read->storeAddress;
    settings_.regions = read->regions;
    settings_.memoryBytes = read->memoryBytes;
    applySettings(now);
    line.add("outcome", "applied");
    log_.write(line, now);
}

// What is known.

void RelayGateway::takeChanges(const Catalog::ItemChanges &changes, const std::string &source)
{
    const auto now = steadyNow();
    const auto before = catalog_.items().upTo();
    const auto news = catalog_.apply(changes, storeSettled(now), now);
    for (const auto &[key, reason] : news.undecodable) {
        EventLine line("item-unreadable");
        line.add("key", key).add("reason", reason).add("source", source);
        log_.write(line, now);
    }
    store_.advance(catalog_.items().upTo());
    if (news.configuration) {
        EventLine line("configuration");
        line.add("version", static_cast<std::int64_t>(catalog_.version()))
            .add("revision", static_cast<std::int64_t>(catalog_.items().upTo()))
            .add("source", source);
        log_.write(line, now);
        carryOut(scheduler_.setServices(catalog_.routes()->configuration().services, now), now);
    }
    if (news.endpoints || news.evacuations || news.configuration) {
        endpointsChanged(now);
    }
    if (news.endpoints || news.evacuations) {
        EventLine line("catalog");
        line.add("revision", static_cast<std::int64_t>(catalog_.items().upTo()))
            .add("items", static_cast<std::int64_t>(changes.items.size()))
            .add("evacuated_domains", static_cast<std::int64_t>(catalog_.evacuated().size()))
            .add("source", source);
        log_.write(line, now);
    }
    roster_.setStoreRevision(catalog_.items().upTo());
    roster_.setReady(ready());
    if (catalog_.items().upTo() > before) {
        announceRevision(now);
    }
}

void RelayGateway::announceRevision(Common::Time now)
{
    const auto revision = catalog_.items().upTo();
    const bool first = std::all_of(knownPeers_.begin(), knownPeers_.end(), [&](const auto &peer) {
        return peer.record.knownRevision < revision;
    });
    if (first) {
        sendAll(roster_.announce(now));
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

void RelayGateway::endpointsChanged(Common::Time now)
{
    std::vector<Catalog::ListedEndpoint> own;
    std::vector<Catalog::ListedEndpoint> remote;
    for (auto &endpoint : catalog_.endpoints()) {
        const auto region = settings_.regions.find(endpoint.record.failureDomain);
        const bool isOwn = region != settings_.regions.end() && region->second == settings_.region;
        (isOwn ? own : remote).push_back(std::move(endpoint));
    }
    scheduler_.setRemoteEndpoints(remote);
    carryOut(scheduler_.setEndpoints(own, catalog_.evacuated(), now), now);
}

bool RelayGateway::catalogFresh(Common::Time now) const
{
    const auto age =
        Fleet::knowledgeAge(store_.answerAge(now), catalog_.items().upTo(), knownPeers_);
    return age && *age < settings_.bounds.configuration;
}

/// A listener has no trouble of its own to judge by: that of the instances it hears counts.
bool RelayGateway::storeSettled(Common::Time now) const
{
    const bool peersSettled =
        std::all_of(knownPeers_.begin(), knownPeers_.end(), [this](const Fleet::Peer &peer) {
            return !peer.reachable || peer.record.region != settings_.region
                   || peer.record.storeSettled;
        });
    return store_.settled(now) && peersSettled;
}

bool RelayGateway::ready() const
{
    return catalog_.routes() != nullptr && catalog_.items().upTo() > 0 && !shutdown_;
}

// Other instances.

void RelayGateway::sendAll(const Fleet::Sends &sends)
{
    for (const auto &send : sends) {
        gossip_.send(send.address, Peers::encodeValue(GossipMessage(send.heartbeat)));
    }
}

void RelayGateway::takeDatagram(std::string_view datagram)
{
    const auto now = steadyNow();
    const auto message = Peers::decodeValue<GossipMessage>(datagram);
    if (!message) {
        EventLine line("datagram-unreadable");
        line.add("reason", message.error().message);
        log_.write(line, now);
        return;
    }
    struct Visitor
    {
        RelayGateway &gateway;
        Common::Time now;

        void operator()(const Fleet::Heartbeat &heartbeat) const
        {
            gateway.takeHeartbeat(heartbeat, now);
        }
        void operator()(const Dispatch::PromptNotices &notices) const
        {
            gateway.scheduler_.learn(notices, now);
        }
    };
    std::visit(Visitor{*this, now}, *message);
}

void RelayGateway::takeHeartbeat(const Fleet::Heartbeat &heartbeat, Common::Time now)
{
    sendAll(roster_.receive(heartbeat, now));
    const auto &sender = heartbeat.self;
    if (heartbeat.share.empty() || sender.id == settings_.instance) {
        return;
    }
    if (sender.region == settings_.region) {
        if (const auto share = Peers::decodeValue<Dispatch::RegionShare>(heartbeat.share)) {
            carryOut(scheduler_.setRegionShare(sender.id, *share, now), now);
        }
    } else if (const auto share = Peers::decodeValue<Dispatch::WorldShare>(heartbeat.share)) {
        scheduler_.setWorldShare(sender.region, sender.id, *share, now);
    }
}

void RelayGateway::tellNeighbours()
{
    const auto notices = scheduler_.takeNotices();
    if (notices.prompts.empty()) {
        return;
    }
    const auto datagram = Peers::encodeValue(GossipMessage(notices));
    for (const auto &peer : knownPeers_) {
        if (peer.alive && peer.record.region == settings_.region) {
            gossip_.send(peer.record.gossipAddress, datagram);
        }
    }
}

void RelayGateway::fleetChanged(Common::Time now)
{
    knownPeers_ = roster_.peers(now);
    std::vector<Common::InstanceId> own = {settings_.instance};
    std::set<Common::RegionName> reachable;
    std::size_t all = 1;
    for (const auto &peer : knownPeers_) {
        auto &wasAlive = peerAlive_.try_emplace(peer.record.id, false).first->second;
        if (wasAlive != peer.alive) {
            wasAlive = peer.alive;
            EventLine line(peer.alive ? "instance-back" : "instance-lost");
            line.add("peer", peer.record.id).add("region", peer.record.region);
            log_.write(line, now);
        }
        all += peer.alive ? 1 : 0;
        if (peer.alive && peer.record.region == settings_.region) {
            own.push_back(peer.record.id);
        }
        const bool takesWork = peer.reachable && peer.record.ready && !peer.record.leaving;
        if (takesWork && peer.record.region != settings_.region) {
            reachable.insert(peer.record.region);
        }
    }
    scheduler_.setFleet(own, all, {reachable.begin(), reachable.end()});
    const auto duty = Fleet::watchDuty(roster_.self(), knownPeers_, Fleet::WatchOptions());
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

std::optional<Fleet::InstanceRecord> RelayGateway::peerIn(const Common::RegionName &region)
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

void RelayGateway::heartbeat(Common::Time now)
{
    roster_.setReady(ready());
    roster_.setStoreContact(store_.answerAge(now), store_.settled(now));
    roster_.setShares(Peers::encodeValue(scheduler_.regionShare(now)),
                      Peers::encodeValue(scheduler_.worldShare(now)));
    sendAll(roster_.tick(now));
    fleetChanged(now);
}

// Requests.

void RelayGateway::refuse(const Connection &connection, unsigned status,
                          const std::string &requestId, const std::string &detail,
                          std::optional<milliseconds> retryAfter)
{
    const auto now = steadyNow();
    EventLine line("refused");
    line.add("request", requestId)
        .add("status", static_cast<std::int64_t>(status))
        .add("reason", detail)
        .add("configuration", static_cast<std::int64_t>(catalog_.version()))
        .add("store_answer_age", store_.answerAge(now));
    log_.write(line, now);
    auto headers = Platform::ownAnswerHeaders(requestId, retryAfter);
    headers.push_back({"Content-Type", "text/plain"});
    connection->answer(status, std::move(headers), detail);
}

bool RelayGateway::tooMuchInMemory(const InboundRequest &request) const
{
    std::size_t held = request.body->size();
    for (const auto &[id, call] : calls_) {
        held += call->plan().body->size();
    }
    return static_cast<double>(held) > static_cast<double>(settings_.memoryBytes) * BodyMemoryShare;
}

void RelayGateway::serveCaller(const Connection &connection, InboundRequest request)
{
    const auto now = steadyNow();
    auto head = Platform::readCallerHead(request.headers);
    if (!head) {
        refuse(connection, BadRequest, "", head.error().message, std::nullopt);
        return;
    }
    if (shutdownStep(now).refuseRequests) {
        refuse(connection, ServiceUnavailable, head->requestId, "this instance stops",
               StoppingRetryAfter);
        return;
    }
    const auto routes = catalog_.routes();
    if (!routes) {
        refuse(connection, ServiceUnavailable, head->requestId, "no configuration is known yet",
               UnknownConfigurationRetryAfter);
        return;
    }
    const auto *host = Common::findHeader(request.headers, "Host");
    const auto *route = host != nullptr ? routes->find(*host, request.target) : nullptr;
    if (route == nullptr && !catalogFresh(now)) {
        // The route may have been added since the store was last heard.
        refuse(connection, ServiceUnavailable, head->requestId, "the configuration may be old",
               UnknownConfigurationRetryAfter);
        return;
    }
    if (route == nullptr) {
        refuse(connection, NotFound, head->requestId, "no route to this path", std::nullopt);
        return;
    }
    if (tooMuchInMemory(request)) {
        refuse(connection, ServiceUnavailable, head->requestId, "too many requests in memory",
               MemoryRetryAfter);
        return;
    }
    relayMetrics_.requests.add();
    RelayPlan plan;
    auto &facts = plan.facts;
    facts.service = Catalog::serviceFor(*route, head->requestId);
    facts.kind = route->kind;
    facts.repeatable = route->repeatable();
    facts.priority = route->priority;
    facts.arrivedAt = now;
    facts.objectiveAt = now + route->objective;
    const auto patience = head->deadline.value_or(route->timeout);
    facts.deadline = now + std::min(patience, route->timeout);
    facts.parts = head->promptParts;
    facts.promptTokens = head->promptTokens;
    facts.outputTokens = head->expectedOutputTokens.value_or(head->maxOutputTokens);
    facts.homes = route->homes;
    facts.attempts = std::max(1, route->attempts);
    facts.fingerprint =
        Common::stableHash(*request.body, Common::stableHash(connection->remoteIp() + request.method
                                                             + " " + request.target));
    plan.head = std::move(*head);
    plan.headers = endToEnd(request.headers);
    plan.method = std::move(request.method);
    plan.target = std::move(request.target);
    plan.body = std::move(request.body);
    plan.resumable = route->resumable;
    plan.gap = route->gap;
    begin(std::move(plan), connection);
}

Common::Result<RelayPlan> RelayGateway::planForwarded(const InboundRequest &request,
                                                      const std::string &noteText,
                                                      Common::Time now) const
{
    const auto note = decodeNote(noteText);
    if (!note) {
        return tl::unexpected(note.error());
    }
    auto head = Platform::readCallerHead(request.headers);
    if (!head) {
        return tl::unexpected(head.error());
    }
    RelayPlan plan;
    auto &facts = plan.facts;
    facts.service = Common::ServiceName(note->service);
    facts.kind = static_cast<Dispatch::RequestKind>(note->kind);
    facts.repeatable = facts.kind == Dispatch::RequestKind::Idempotent
                       || (facts.kind == Dispatch::RequestKind::Stream && note->resumable);
    facts.priority = note->priority;
    facts.objectiveAt = now + milliseconds(note->objectiveLeftMs);
    facts.arrivedAt = facts.objectiveAt - milliseconds(note->objectiveMs);
    facts.deadline = now + milliseconds(note->deadlineLeftMs);
    facts.parts = head->promptParts;
    facts.promptTokens = head->promptTokens;
    facts.outputTokens = head->expectedOutputTokens.value_or(head->maxOutputTokens);
    facts.forwarded = true;
    facts.attempts = note->attempts;
    facts.fingerprint = note->fingerprint;
    plan.head = std::move(*head);
    plan.resumable = note->resumable;
    if (note->gapMs > 0) {
        plan.gap = milliseconds(note->gapMs);
    }
    plan.fromPeer = true;
    return plan;
}

void RelayGateway::servePeer(const Connection &connection, InboundRequest request)
{
    const auto now = steadyNow();
    if (const auto known = readItemsTarget(request.target)) {
        serveItems(connection, *known);
        return;
    }
    if (request.target == CachesPath) {
        serveCaches(connection);
        return;
    }
    const auto *note = Common::findHeader(request.headers, ForwardHeader);
    auto plan = note != nullptr ? planForwarded(request, *note, now)
                                : Common::Result<RelayPlan>(Common::makeError(
                                    Common::ErrorCode::InvalidArgument, "not a forwarded request"));
    if (!plan) {
        refuse(connection, BadRequest, "", plan.error().message, std::nullopt);
        return;
    }
    relayMetrics_.forwardedIn.add();
    auto headers = endToEnd(request.headers);
    std::erase_if(headers, [](const Common::Header &header) {
        return Common::sameHeaderName(header.name, ForwardHeader);
    });
    plan->headers = std::move(headers);
    plan->method = std::move(request.method);
    plan->target = std::move(request.target);
    plan->body = std::move(request.body);
    begin(std::move(*plan), connection);
}

void RelayGateway::begin(RelayPlan plan, const Connection &connection)
{
    plan.facts.id = nextCall_++;
    const auto call = std::make_shared<RelayedCall>(*this, std::move(plan), connection);
    calls_[call->plan().facts.id] = call;
    call->start(steadyNow());
}

void RelayGateway::forget(Dispatch::CallId call)
{
    calls_.erase(call);
}

void RelayGateway::carryOut(const Dispatch::Effects &effects, Common::Time now)
{
    const auto callOf = [this](Dispatch::CallId id) {
        const auto found = calls_.find(id);
        return found == calls_.end() ? nullptr : found->second;
    };
    struct Visitor
    {
        std::shared_ptr<RelayedCall> call;
        Common::Time now;

        void operator()(const Dispatch::Send &effect) const
        {
            call->send(effect, now);
        }
        void operator()(const Dispatch::Forward &effect) const
        {
            call->forward(effect, now);
        }
        void operator()(const Dispatch::Reject &effect) const
        {
            call->reject(effect, now);
        }
        void operator()(const Dispatch::Fail &) const
        {
            call->fail(now);
        }
        void operator()(const Dispatch::TakeBack &) const
        {
            call->takeBack(now);
        }
    };
    for (const auto &effect : effects) {
        const auto id = std::visit([](const auto &each) { return each.call; }, effect);
        if (auto call = callOf(id)) {
            std::visit(Visitor{std::move(call), now}, effect);
        }
    }
}

// Other servers.

void RelayGateway::serveItems(const Connection &connection, Catalog::Revision known)
{
    connection->answer(Ok, {{"Content-Type", "application/octet-stream"}},
                       Peers::encodeValue(catalog_.items().since(known)));
}

void RelayGateway::serveCaches(const Connection &connection)
{
    connection->answer(Ok, {{"Content-Type", "application/octet-stream"}},
                       Peers::encodeValue(scheduler_.caches()));
}

void RelayGateway::learnCaches(Common::Time now)
{
    cachesLearnt_ = true;
    for (const auto &record : scheduler_.enginesToAsk()) {
        fetch_.get(
            record.address, Platform::cacheListTarget(), CacheTimeout,
            [this, id = record.id](unsigned status, const std::string &body) {
                const auto at = steadyNow();
                const auto parts = Platform::readCacheList(body);
                EventLine line("cache-list");
                line.add("endpoint", id).add("status", static_cast<std::int64_t>(status));
                if (status == Ok && parts) {
                    line.add("parts", static_cast<std::int64_t>(parts->size()));
                    scheduler_.setCache(id, *parts, at);
                } else {
                    // Without it prompts are read that the engine may hold.
                    line.add("reason", status == Ok ? parts.error().message : body);
                }
                log_.write(line, at);
            },
            now);
    }
    for (const auto &peer : knownPeers_) {
        const bool asked = peer.reachable && peer.record.region == settings_.region;
        if (!asked) {
            continue;
        }
        fetch_.get(
            peer.record.peerAddress, CachesPath, CacheTimeout,
            [this](unsigned status, const std::string &body) {
                const auto placements =
                    Peers::decodeValue<std::vector<Dispatch::PartPlacement>>(body);
                if (status == Ok && placements) {
                    scheduler_.learnCaches(*placements);
                }
            },
            now);
        break;
    }
}

void RelayGateway::serveReadiness(const Connection &connection, const InboundRequest &request)
{
    if (!Platform::isReadinessCall(request.method, request.target)) {
        connection->answer(NotFound, {}, "");
        return;
    }
    connection->answer(ready() ? Ok : ServiceUnavailable, {}, "");
}

void RelayGateway::serveDirectory(const Connection &connection, const InboundRequest &request)
{
    if (!Platform::isDirectoryCall(request.method, request.target)) {
        connection->answer(NotFound, {}, "");
        return;
    }
    const auto query = Platform::readDirectoryQuery(request.target);
    if (!query) {
        refuse(connection, BadRequest, "", query.error().message, std::nullopt);
        return;
    }
    std::vector<DirectoryCandidate> candidates;
    if (ready() || (shutdown_ && !closing_)) {
        const bool leaving = shutdown_.has_value();
        candidates.push_back({settings_.callerAddress, settings_.region, leaving});
    }
    for (const auto &peer : knownPeers_) {
        const auto &record = peer.record;
        if (peer.alive && (record.ready || record.leaving)) {
            candidates.push_back({record.callerAddress, record.region, record.leaving});
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random_);
    std::vector<std::vector<Common::RegionName>> homes;
    if (const auto routes = catalog_.routes()) {
        for (const auto *route : routes->routesOf(query->host)) {
            if (!route->homes.empty()) {
                homes.push_back(route->homes);
            }
        }
    }
    const auto addresses =
        chooseAddresses(candidates, query->region, homes, Platform::DirectoryAddressLimit);
    if (addresses.empty()) {
        connection->answer(ServiceUnavailable, {}, "no instance is ready");
        return;
    }
    const auto lifetime = std::min(DirectoryLifetime, settings_.bounds.directoryLifetime);
    connection->answer(Ok, {{"Content-Type", "application/json"}},
                       Platform::directoryAnswer(addresses, lifetime));
}

nlohmann::json RelayGateway::dump(Common::Time now) const
{
    auto peers = nlohmann::json::array();
    for (const auto &peer : knownPeers_) {
        peers.push_back({{"id", peer.record.id.text()},
                         {"region", peer.record.region.text()},
                         {"alive", peer.alive},
                         {"reachable", peer.reachable},
                         {"ready", peer.record.ready},
                         {"leaving", peer.record.leaving},
                         {"store_revision", peer.record.knownRevision}});
    }
    return {{"ready", ready()},
            {"configuration", catalog_.version()},
            {"store_revision", catalog_.items().upTo()},
            {"store_settled", store_.settled(now)},
            {"peers", peers},
            {"requests", calls_.size()},
            {"connections", callers_.connections()},
            {"scheduler", scheduler_.dump(now)}};
}

void RelayGateway::serveMetrics(const Connection &connection, const InboundRequest &request)
{
    const auto path = Catalog::pathOf(request.target);
    if (path == MetricsPath) {
        connection->answer(Ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                           registry_.prometheusText());
        return;
    }
    if (path == DumpPath) {
        connection->answer(Ok, {{"Content-Type", "application/json"}}, dump(steadyNow()).dump(2));
        return;
    }
    connection->answer(NotFound, {}, "");
}

// Time.

void RelayGateway::scheduleTick()
{
    const bool busy = !calls_.empty() || shutdown_;
    tickTimer_.expires_after(busy ? BusyTick : IdleTick);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick(steadyNow());
        }
    });
}

void RelayGateway::tick(Common::Time now)
{
    store_.tick(now);
    if (now >= heartbeatAt_) {
        heartbeatAt_ = now + options_.roster.interval;
        heartbeat(now);
    }
    fetch_.tick(now);
    if (!cachesLearnt_ && now >= learnCachesAt_ && ready()) {
        learnCaches(now);
    }
    peerSync_.tick(knownPeers_, catalog_.items().upTo(), duty_ == Fleet::WatchDuty::Listens, now);
    if (catalog_.expire(now)) {
        endpointsChanged(now);
    }
    carryOut(scheduler_.tick(now), now);
    tellNeighbours();
    std::vector<std::shared_ptr<RelayedCall>> calls;
    calls.reserve(calls_.size());
    for (const auto &[id, call] : calls_) {
        calls.push_back(call);
    }
    for (const auto &call : calls) {
        call->tick(now);
    }
    for (auto *server : {&callers_, &peers_, &readiness_, &directory_, &metricsServer_}) {
        server->tick(now);
    }
    if (now >= settingsAt_) {
        settingsAt_ = now + SettingsInterval;
        rereadSettings(false, now);
    }
    if (now >= housekeepingAt_) {
        housekeepingAt_ = now + HousekeepingInterval;
        pool_->expire(now);
    }
    if (shutdown_) {
        continueShutdown(now);
    }
    log_.flush(now);
    if (!context_.stopped()) {
        scheduleTick();
    }
}

// Stopping.

void RelayGateway::waitForSignal()
{
    stopSignals_.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            beginShutdown(steadyNow());
            waitForSignal();
        }
    });
}

void RelayGateway::waitForReload()
{
    reloadSignals_.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            rereadSettings(true, steadyNow());
            waitForReload();
        }
    });
}

void RelayGateway::beginShutdown(Common::Time now)
{
    if (shutdown_) {
        return;
    }
    shutdown_.emplace(now, settings_.bounds.shutdown);
    stoppingSince_ = now;
    roster_.setReady(false);
    roster_.setLeaving();
    sendAll(roster_.announce(now));
    EventLine line("stopping");
    line.add("requests", static_cast<std::int64_t>(calls_.size()));
    log_.write(line, now);
}

ShutdownStep RelayGateway::shutdownStep(Common::Time now) const
{
    return shutdown_ ? shutdown_->step(calls_.size(), callers_.connections(), now) : ShutdownStep();
}

void RelayGateway::continueShutdown(Common::Time now)
{
    const auto step = shutdownStep(now);
    if (step.closeConnections && !closing_) {
        closing_ = true;
        callers_.closeSoon();
    }
    if (step.refuseConnections) {
        callers_.stopAccepting();
        // Those that came meanwhile and sent nothing.
        callers_.closeSoon();
    }
    if (step.end) {
        EventLine line("stop");
        line.add("requests", static_cast<std::int64_t>(calls_.size()))
            .add("after", now - stoppingSince_);
        log_.write(line, now);
        log_.flush(now);
        context_.stop();
    }
}

} // namespace LaburnumChute::Relay
