#include "Relay/RelayGateway.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <unistd.h>

#include "Peers/ValueCodec.h"
#include "Relay/SteadyNow.h"
#include "platform/Platform.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;

/// Resolution of all time limits while requests are running, and otherwise. One timer for each read
/// and write would wake the process several times per event.
constexpr milliseconds BusyTick{20};
constexpr milliseconds IdleTick{50};
/// Time between two ticks beyond which the process itself has stood still.
constexpr milliseconds OwnPause{400};
constexpr milliseconds SettingsReloadInterval{1000};
constexpr milliseconds HousekeepingInterval{1000};
/// Number of descriptors reserved for files, and the fraction of the others that caller connections
/// may use; the rest is for connections to endpoints, peers and the store.
constexpr int ReservedDescriptors = 200;
constexpr double CallerDescriptorFraction = 0.6;
/// Time from the first configuration until the engines' prefix caches are queried. By then the
/// peers in the region have answered a heartbeat, so that each engine is queried by only one
/// instance. Until the contents are known, prompts that some engine has cached are processed again.
constexpr milliseconds CacheQueryDelay{150};
/// Fraction of the link that may be used to serve items of the store to peers.
constexpr double ItemLinkFraction = 0.7;
/// By default, the kernel takes megabytes of a client that this process does not read fast enough.
constexpr int ReceiveBufferBytes = 64 * 1024;
constexpr int StandardOutput = 1;

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string withPort(const std::string &ip, std::uint16_t port)
{
    return ip + ":" + std::to_string(port);
}

Fleet::InstanceRecord makeInstanceRecord(const Catalog::InstanceSettings &settings,
                                         const RelayOptions &options)
{
    const auto &ip = options.advertisedIp.empty() ? settings.ip : options.advertisedIp;
    Fleet::InstanceRecord record;
    record.id = settings.instance;
    record.incarnation = randomNumber();
    record.region = settings.region;
    record.failureDomain = settings.failureDomain;
    record.callerAddress = settings.callerAddress;
    record.gossipAddress = withPort(ip, settings.gossipPort);
    record.peerAddress = withPort(ip, settings.peerPort);
    return record;
}

StoreWatcher::Options watchOptions(const Catalog::Bounds &bounds)
{
    StoreWatcher::Options options;
    const auto bound = std::min(bounds.endpointDrain, bounds.configuration);
    options.margin = Fleet::watchMargin(bound);
    options.wait = Fleet::watchTimeout(bound) - options.margin;
    return options;
}

std::size_t callerConnectionLimit(const Catalog::InstanceSettings &settings)
{
    const double usable = std::max(0, settings.descriptors - ReservedDescriptors);
    return static_cast<std::size_t>(std::max(16.0, usable * CallerDescriptorFraction));
}

/// A signal after the end of the event loop must not change how the process ends.
void blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, number);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

std::string readFile(const std::string &path)
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
    , sendsToSlowMachines(registry.counter(
          "laburnumchute_relay_sends_to_slow_machines_total",
          "Tries sent to endpoints where work is stated to take over 1.5 times the usual time"))
    , machineFigures(registry.counter("laburnumchute_relay_machine_figures_total",
                                      "Answers that stated the speed of the endpoint's machine"))
    , machineFiguresIgnored(registry.counter(
          "laburnumchute_relay_machine_figures_ignored_total",
          "Answers whose statement of the speed of the endpoint's machine was invalid"))
    , forwards(registry.counter("laburnumchute_relay_forwards_total",
                                "Requests forwarded to other regions"))
    , yieldForwards(registry.counter("laburnumchute_relay_yield_forwards_total",
                                     "Requests forwarded to other regions to leave the endpoints "
                                     "of this one to requests that are restricted to regions"))
    , handedOver(registry.counter("laburnumchute_relay_handed_over_total",
                                  "Requests forwarded to instances of the own region, since this "
                                  "one reached no endpoint"))
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
    , crashes(registry.counter("laburnumchute_relay_endpoint_crashes_total",
                               "Endpoints that crashed while they ran requests of this instance"))
    , holds(
          registry, "laburnumchute_relay_holds_total",
          "Requests, contents and parts of prompts that were rejected for a few seconds, since it "
          "was not known whether endpoints had crashed under them")
    , quarantines(registry, "laburnumchute_relay_quarantines_total",
                  "Requests, contents and parts of prompts that are rejected since endpoints "
                  "crashed under them")
    , evidenceLost(registry.counter("laburnumchute_relay_evidence_lost_total",
                                    "Broken attempts that do not count against their requests"))
    , retries(registry.counter("laburnumchute_relay_retries_total",
                               "Further attempts that the retry budget allowed"))
    , retriesDenied(registry.counter("laburnumchute_relay_retries_denied_total",
                                     "Further attempts that the retry budget did not allow"))
    , copiedBytes(registry.counter("laburnumchute_relay_cache_copied_bytes_total",
                                   "Bytes of cached prompt parts that were to be copied"))
    , copiesNotChosen(registry.counter("laburnumchute_relay_cache_copies_not_chosen_total",
                                       "Tries that prefill parts which another endpoint has, since "
                                       "that is sooner than a copy"))
    , answersGivenUp(registry.counter("laburnumchute_relay_answers_given_up_total",
                                      "Incomplete answers that were discarded, since all of them "
                                      "together occupied too much memory"))
    , unnamedAnswers(registry.counter("laburnumchute_relay_unnamed_answers_total",
                                      "Answers that do not state the id of their request",
                                      {{"connection", "new"}}))
    , unnamedAnswersOnUsedConnections(registry.counter(
          "laburnumchute_relay_unnamed_answers_total",
          "Answers that do not state the id of their request", {{"connection", "used"}}))
    , sendsWithheld(registry.counter("laburnumchute_relay_sends_withheld_total",
                                     "Sends of requests that an earlier attempt may have run"))
    , receivedBytes(registry.gauge("laburnumchute_relay_received_bytes",
                                   "Memory of large requests that are being received"))
    , requestBytes(registry.gauge("laburnumchute_relay_request_bytes",
                                  "Memory of bodies of requests that wait or run"))
    , requestsGivenUp(registry.counter("laburnumchute_relay_requests_given_up_total",
                                       "Requests rejected while they were being received, since "
                                       "requests and answers occupied too much memory"))
    , heldAnswerBytes(registry.gauge("laburnumchute_relay_held_answer_bytes",
                                     "Memory of answers that are incomplete"))
    , unsentBytes(registry.gauge("laburnumchute_relay_unsent_bytes",
                                 "Memory of responses that callers and peers have not read"))
    , firstEvent(registry.histogram("laburnumchute_relay_first_event_seconds",
                                    "From the request to the first event of its answer"))
    , queueTime(registry.histogram("laburnumchute_relay_queue_seconds",
                                   "From the request to its first send"))
    , copyWait(registry.histogram("laburnumchute_relay_cache_copy_wait_seconds",
                                  "Expected wait of a copy of cached prompt parts for links"))
{
    using End = EndCheckResult;
    for (const auto result :
         {End::Running, End::Ended, End::Replaced, End::Reset, End::Unanswered}) {
        endChecks[result] = &registry.counter(
            "laburnumchute_relay_answers_without_length_total",
            "Answers that ended with their connections, by what was known of the endpoint then",
            {{"endpoint", std::string(toString(result))}});
    }
    for (const auto path : Dispatch::TransferPaths) {
        const Common::Labels labels = {{"path", std::string(Dispatch::toString(path))}};
        copies[path] = &registry.counter(
            "laburnumchute_relay_cache_copies_total",
            "Tries with a copy of cached prompt parts from another endpoint", labels);
        copyTimeRatio[path] =
            &registry.histogram("laburnumchute_relay_cache_copy_time_ratio",
                                "Measured time of a copy of cached prompt parts relative to the "
                                "expected one",
                                labels);
    }
}

SuspectCounters::SuspectCounters(Common::MetricsRegistry &registry, const std::string &name,
                                 const std::string &help)
{
    using Kind = Dispatch::SuspectKind;
    for (const auto kind : {Kind::Part, Kind::Content, Kind::Request}) {
        const Common::Labels labels = {{"kind", std::string(Dispatch::toString(kind))}};
        counters_[kind] = &registry.counter(name, help, labels);
    }
}

void SuspectCounters::count(const Dispatch::SuspectKey &key)
{
    // Reports of peers may be of another version.
    const auto found = counters_.find(key.kind);
    if (found != counters_.end()) {
        found->second->add();
    }
}

RelayGateway::RelayGateway(RelayOptions options, Catalog::InstanceSettings settings)
    : options_(std::move(options))
    , settings_(std::move(settings))
    , context_(1)
    , random_(randomNumber())
    , relayMetrics_(registry_)
    , customerMetrics_(registry_)
    , controlMetrics_(registry_)
    , log_(StandardOutput, options_.log, settings_.instance.text())
    , deliveryLog_(registry_, log_)
    , catalog_(&Platform::readItem)
    , roster_(options_.roster, makeInstanceRecord(settings_, options_), randomNumber())
    , scheduler_(options_.dispatch, settings_.instance, settings_.region, randomNumber(),
                 steadyNow())
    , limiter_(Customers::UsageLimiterOptions(), randomNumber())
    , pool_(std::make_shared<OutboundPool>(context_))
    , store_(
          pool_, watchOptions(settings_.bounds),
          [this](const Catalog::ItemChanges &changes) { applyChanges(changes, "store"); },
          [this](StoreState state, const std::string &reason) { storeStateChanged(state, reason); })
    , peerSync_(pool_, SyncSource(settings_.region, settings_.failureDomain, randomNumber()),
                [this](const Catalog::ItemChanges &changes, const Common::InstanceId &from) {
                    applyChanges(changes, from.text());
                })
    , itemTransfers_(settings_.linkBytesPerSecond * ItemLinkFraction)
    , fetch_(pool_)
    , gossip_(context_, [this](std::string_view datagram) { handleDatagram(datagram); })
    , callers_(
          context_, callerConnectionLimit(settings_), [this] { return callerLimits(); },
          [this](const Connection &connection, InboundRequest request) {
              serveCaller(connection, std::move(request), steadyNow());
          },
          deliveryLog_.observer("caller"),
          [this](const Connection &connection, std::size_t bytes) {
              holdReceived(connection, bytes);
          })
    , peers_(
          context_, callerConnectionLimit(settings_), [this] { return peerLimits(); },
          [this](const Connection &connection, InboundRequest request) {
              servePeer(connection, std::move(request));
          },
          deliveryLog_.observer("peer"),
          [this](const Connection &connection, std::size_t bytes) {
              holdReceived(connection, bytes);
          },
          {{RunStateHeader, RunStateNotRun}})
    , readiness_(context_, ReservedDescriptors / 4, &RelayGateway::controlLimits,
                 [this](const Connection &connection, const InboundRequest &request) {
                     serveReadiness(connection, request);
                 })
    , directory_(context_, callerConnectionLimit(settings_), &RelayGateway::controlLimits,
                 [this](const Connection &connection, const InboundRequest &request) {
                     serveDirectory(connection, request);
                 })
    , metricsServer_(context_, ReservedDescriptors / 4, &RelayGateway::controlLimits,
                     [this](const Connection &connection, const InboundRequest &request) {
                         serveMetrics(connection, request);
                     })
    , tickTimer_(context_)
    , stopSignals_(context_, SIGTERM, SIGINT)
    , reloadSignals_(context_, SIGHUP)
    , memory_(settings_.memoryBytes)
{
}

RelayGateway::~RelayGateway() = default;

Common::Result<void> RelayGateway::start()
{
    const auto now = steadyNow();
    startedAt_ = now;
    tickedAt_ = now;
    settingsText_ = readFile(options_.settingsPath);
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
    for (auto *server : {&callers_, &readiness_, &directory_, &metricsServer_}) {
        server->limitReceiveBuffers(ReceiveBufferBytes);
    }
    auto gossip = gossip_.open(withPort(settings_.ip, settings_.gossipPort));
    if (!gossip) {
        return gossip;
    }
    applySettings(now);
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
    std::set<Common::RegionName> regions;
    for (const auto &[failureDomain, region] : settings_.regions) {
        regions.insert(region);
    }
    roster_.setRegions(regions);
    store_.setAddress(settings_.storeAddress);
    store_.setOptions(watchOptions(settings_.bounds));
    scheduler_.setBounds(settings_.bounds);
    applyLimits(now);
    fleetChanged(now);
}

void RelayGateway::reloadSettings(bool bySignal, Common::Time now)
{
    auto text = readFile(options_.settingsPath);
    if (text == settingsText_ && !bySignal) {
        return;
    }
    const bool changed = text != settingsText_;
    const auto read = Platform::readSettings(text);
    EventLine line("reload");
    line.add("by_signal", bySignal).add("changed", changed);
    if (!read) {
        // The file is invalid or still being written, so the current settings stay in force.
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
    memory_.setMachineBytes(settings_.memoryBytes);
    applySettings(now);
    line.add("outcome", "applied");
    log_.write(line, now);
}

// Periodic work.

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
    // What arrived while the process stood still is read before anything is taken for silent.
    // At most one tick in a row is skipped, so that limits are enforced however little this process
    // runs.
    const bool stoodStill = now - std::exchange(tickedAt_, now) > OwnPause;
    skipsTick_ = stoodStill && !skipsTick_;
    if (stoodStill) {
        stoodStillAt_ = now;
    }
    if (skipsTick_) {
        scheduleTick();
        return;
    }
    if (const auto age = catalogAge(now)) {
        catalogCompleteAt_ = std::max(catalogCompleteAt_.value_or(Common::Time()), now - *age);
    }
    store_.tick(now);
    if (now >= heartbeatAt_) {
        heartbeatAt_ = now + options_.roster.interval;
        heartbeat(now);
    }
    fetch_.tick(now);
    if (!queryCachesAt_ && ready()) {
        queryCachesAt_ = now + CacheQueryDelay;
    }
    if (!cachesQueried_ && queryCachesAt_ && now >= *queryCachesAt_) {
        queryPrefixCaches(now);
    }
    synchronize(now);
    rejectExpiredEarlyRequests(now);
    endpointsChanged(catalog_.expire(now), now);
    applyEffects(scheduler_.tick(now), now);
    countYieldTimes();
    sendSuspectNotices(now);
    for (const auto &call : runningCalls()) {
        call->tick(now);
    }
    for (auto *server : {&callers_, &peers_, &readiness_, &directory_, &metricsServer_}) {
        server->tick(now);
    }
    limitMemory(now);
    if (now >= settingsAt_) {
        settingsAt_ = now + SettingsReloadInterval;
        reloadSettings(false, now);
    }
    if (now >= housekeepingAt_) {
        housekeepingAt_ = now + HousekeepingInterval;
        pool_->closeExpired(now);
    }
    if (shutdown_) {
        continueShutdown(now);
    }
    log_.flush(now);
    if (!context_.stopped()) {
        scheduleTick();
    }
}

bool RelayGateway::stoodStillRecently(Common::Time now) const
{
    return now - tickedAt_ > OwnPause || now - stoodStillAt_ < OwnPause;
}

void RelayGateway::limitMemory(Common::Time now)
{
    InboundServer::limitUnsent({&callers_, &peers_, &readiness_, &directory_, &metricsServer_},
                               memory_.limit(MemoryUse::Unsent), now);
    const auto unsent = callers_.unsentBytes() + peers_.unsentBytes();
    memory_.set(MemoryUse::Unsent, 0, unsent);
    releaseExcess();
    const auto held = [this](MemoryUse use) { return static_cast<double>(memory_.held(use)); };
    relayMetrics_.receivedBytes.set(held(MemoryUse::Receiving));
    relayMetrics_.requestBytes.set(held(MemoryUse::Requests));
    relayMetrics_.heldAnswerBytes.set(held(MemoryUse::Answers));
    relayMetrics_.unsentBytes.set(held(MemoryUse::Unsent));
}

std::vector<std::shared_ptr<RelayedCall>> RelayGateway::runningCalls() const
{
    std::vector<std::shared_ptr<RelayedCall>> calls;
    calls.reserve(calls_.size());
    for (const auto &[id, call] : calls_) {
        calls.push_back(call);
    }
    return calls;
}

// Shutdown.

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
            reloadSettings(true, steadyNow());
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
    line.add("requests", static_cast<std::int64_t>(calls_.size()))
        .add("caller_connections", static_cast<std::int64_t>(callers_.connections()))
        .add("peer_connections", static_cast<std::int64_t>(peers_.connections()));
    log_.write(line, now);
    deliveryLog_.logAllDeliveries();
}

ShutdownStep RelayGateway::shutdownStep(Common::Time now) const
{
    const auto requests = std::count_if(calls_.begin(), calls_.end(), [now](const auto &entry) {
        return !entry.second->callerStalled(now);
    });
    return shutdown_->step(
        {static_cast<std::size_t>(requests), callers_.pending(now), peers_.delivering(now)}, now);
}

bool RelayGateway::rejectsRequests(Common::Time now) const
{
    return shutdown_ && shutdown_->step({}, now).rejectRequests;
}

bool RelayGateway::exitsBefore(Common::Time end, Common::Time now) const
{
    if (!shutdown_) {
        return false;
    }
    const auto step = shutdown_->step({}, now);
    return step.endWaiting || (step.rejectRequests && end >= shutdown_->requestsEndAt());
}

void RelayGateway::endWaitingRequests(Common::Time now)
{
    for (const auto &call : runningCalls()) {
        if (call->waiting()) {
            call->endForExit(now);
        }
    }
}

void RelayGateway::endAllRequests(Common::Time now)
{
    for (const auto &call : runningCalls()) {
        call->endForExit(now);
    }
}

void RelayGateway::continueShutdown(Common::Time now)
{
    const auto step = shutdownStep(now);
    if (step.closeConnections && !closingConnections_) {
        closingConnections_ = true;
        callers_.closeGracefully();
    }
    if (step.rejectConnections) {
        callers_.stopAccepting();
        // Also closes connections that were accepted in the meantime and are idle.
        callers_.closeGracefully();
        peers_.stopAccepting();
        // Idle connections of peers stay open: forwards that cross the shutdown are rejected there.
        peers_.closeAfterNextResponses();
    }
    if (step.endWaiting) {
        endWaitingRequests(now);
    }
    if (step.endRequests) {
        endAllRequests(now);
    }
    if (step.end) {
        const auto unsent = callers_.unsentBytes() + peers_.unsentBytes();
        const auto *reason = unsent > 0 ? "the rest is not read" : "all answers delivered";
        EventLine line("stop");
        line.add("reason", step.timeLimitReached ? "time limit" : reason)
            .add("requests", static_cast<std::int64_t>(calls_.size()))
            .add("caller_connections", static_cast<std::int64_t>(callers_.connections()))
            .add("peer_deliveries", static_cast<std::int64_t>(peers_.delivering(now)))
            .add("unsent_bytes", static_cast<std::int64_t>(unsent))
            .add("after", now - stoppingSince_);
        log_.write(line, now);
        callers_.closeForExit();
        peers_.closeForExit();
        blockSignals();
        log_.flush(now);
        context_.stop();
    }
}

} // namespace LaburnumChute::Relay
