#include "Gateway/Gateway.h"

#include <random>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace LaburnumChute::Gateway {

namespace {

namespace D = LaburnumChute::Decisions;
namespace L = LaburnumChute::Ledger;
using nlohmann::json;

constexpr Common::LogType LogCategory = Common::LogType::Gateway;
constexpr std::size_t InternalThreads = 2;
constexpr std::size_t ControlContext = 0;
constexpr std::size_t ChannelContext = 1;
constexpr Common::milliseconds HousekeepingInterval{1000};
constexpr Common::milliseconds IdlePollInterval{50};
constexpr Common::milliseconds InternalRequestTimeout{2000};
constexpr const char *HandoverSubject = "ledger-handover";
constexpr const char *OrderHintsSubject = "order-hints";
constexpr const char *SupersedeSubject = "supersede";
/// Batches hints. Callers take at least a second to resubmit an order, so a delay of a fifth of
/// that still detects the duplicate.
constexpr Common::milliseconds OrderHintInterval{200};
/// With more peers than this, broadcasts go only to the peers of the home region.
constexpr std::size_t AllRegionsPeerLimit = 16;

/// Tells peers that a caller has superseded a request that one of them may have. Without it, when
/// the new request arrives at another instance, the old response is generated to its end although
/// no one reads it.
struct SupersedeMessage
{
    Common::CustomerName customer;
    Common::RequestId callerId;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(customer, callerId);
    }
};

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

Common::Incarnation newIncarnation()
{
    return Common::toUnixMilliseconds(std::chrono::system_clock::now());
}

template <typename Value>
std::string encode(const Value &value)
{
    std::ostringstream stream(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
    return stream.str();
}

template <typename Value>
Common::Result<Value> decode(const std::string &bytes)
{
    std::istringstream stream(bytes, std::ios::binary);
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        Value value;
        archive(value);
        return value;
    } catch (const std::exception &error) {
        return Common::makeError(Common::ErrorCode::ProtocolViolation, error.what());
    }
}

D::Scheduler makeScheduler(const GatewayOptions &options)
{
    return D::Scheduler(options.scheduler, options.instance, options.region, randomNumber());
}

L::Ledger makeLedger(const GatewayOptions &options, Common::Incarnation incarnation)
{
    L::LedgerIdentity identity;
    identity.instance = options.instance;
    identity.incarnation = incarnation;
    identity.secret = randomNumber();
    identity.start = std::chrono::steady_clock::now();
    return L::Ledger(options.ledger, identity);
}

} // namespace

Gateway::Gateway(GatewayOptions options)
    : options_(std::move(options))
    , incarnation_(newIncarnation())
    , callerPool_(static_cast<std::size_t>(options_.threads))
    , internalPool_(InternalThreads)
    , budget_(options_.memoryBudgetBytes)
    , table_(std::make_shared<const RoutingTable>())
    , channelConnectionPool_(std::make_shared<Endpoints::ConnectionPool>(
          options_.pool, internalPool_.at(ChannelContext).get_executor()))
    , requestMetrics_(metrics_)
    , dispatcher_(internalPool_.at(ControlContext), makeScheduler(options_), metrics_)
    , ledger_(internalPool_.at(ControlContext), makeLedger(options_, incarnation_))
    , monitor_(internalPool_.at(ChannelContext),
               EndpointMonitorOptions{options_.loadInterval, options_.cacheEventInterval,
                                      Common::milliseconds(1000)},
               options_.pool, budget_, dispatcher_)
    , runnerContext_{options_.instance, options_.region, dispatcher_,
                     ledger_,           table_,          requestMetrics_,
                     budget_,           options_.stream, options_.cancelTimeout}
    , requests_(
          runnerContext_, [this] { return threadConnectionPool(); }, options_.adviceLifetime)
    , signals_(internalPool_.at(ControlContext), SIGTERM, SIGINT)
{
    for (std::size_t index = 0; index < callerPool_.size(); ++index) {
        connectionPools_.push_back(std::make_shared<Endpoints::ConnectionPool>(
            options_.pool, callerPool_.at(index).get_executor()));
    }
}

Gateway::~Gateway()
{
    callerPool_.stop();
    internalPool_.stop();
}

std::shared_ptr<Endpoints::ConnectionPool> Gateway::threadConnectionPool() const
{
    return connectionPools_.at(Async::IoPool::currentIndex());
}

void Gateway::buildServers()
{
    callerServer_ = std::make_unique<Entry::HttpServer>(
        callerPool_, options_.http, Entry::ConnectionMetrics(metrics_, "callers"), budget_,
        [this](Entry::Exchange &exchange) { return requests_.serve(exchange); });
    OperatorHandler::Actions actions;
    actions.dump = [this] { return dump(); };
    actions.configurationContent = [this] { return cluster_->node().configuration().content; };
    actions.drain = [this] { beginDrain("an operator's request"); };
    operators_ = std::make_unique<OperatorHandler>(internalPool_.at(ControlContext), dispatcher_,
                                                   table_, metrics_, std::move(actions));
    operatorServer_ = std::make_unique<Entry::HttpServer>(
        callerPool_, options_.http, Entry::ConnectionMetrics(metrics_, "operators"), budget_,
        [this](Entry::Exchange &exchange) { return operators_->serve(exchange); });
    channelServer_ = std::make_unique<Peers::ChannelServer>(
        internalPool_.at(ChannelContext), options_.channel,
        Peers::Hello{options_.instance, incarnation_},
        [this](std::shared_ptr<Peers::IncomingCall> call) { return servePeer(std::move(call)); });
}

Common::Result<void> Gateway::buildCluster(Cluster::MemberInfo self)
{
    const auto local = Peers::parseUdpAddress(Cluster::Address(options_.gossipAddress));
    if (!local) {
        return tl::unexpected(local.error());
    }
    auto socket = std::make_unique<Peers::GossipSocket>(
        internalPool_.at(ControlContext).get_executor(),
        [this](const Cluster::Address &from, const Cluster::GossipMessage &message) {
            cluster_->receive(from, message);
        });
    if (auto opened = socket->open(*local); !opened) {
        return opened;
    }
    std::ostringstream bound;
    bound << socket->localEndpoint();
    self.gossipAddress = Cluster::Address(bound.str());

    ClusterRunnerOptions clusterOptions;
    clusterOptions.configurationService = options_.configurationService;
    clusterOptions.instanceList = options_.instanceList;
    clusterOptions.instanceListInterval = options_.instanceListInterval;
    clusterOptions.channel = options_.channel;
    cluster_ = std::make_unique<ClusterRunner>(
        internalPool_.at(ControlContext), internalPool_.at(ChannelContext), clusterOptions, self,
        std::move(socket), table_, dispatcher_, metrics_);
    orders_ = std::make_unique<OrderRunner>(internalPool_.at(ControlContext), options_.weightStore,
                                            *cluster_, table_, metrics_);
    return {};
}

Common::Result<std::string> Gateway::start()
{
    buildServers();
    const auto http = callerServer_->listen(options_.httpAddress);
    const auto operators = operatorServer_->listen(options_.operatorAddress);
    const auto channel = channelServer_->listen(options_.channelAddress);
    for (const auto *bound : {&http, &operators, &channel}) {
        if (!*bound) {
            return tl::unexpected(bound->error());
        }
    }
    Cluster::MemberInfo self;
    self.id = options_.instance;
    self.region = options_.region;
    self.failureDomain = options_.failureDomain;
    self.incarnation = incarnation_;
    self.httpAddress = Cluster::Address(*http);
    self.channelAddress = Cluster::Address(*channel);
    if (const auto built = buildCluster(self); !built) {
        return tl::unexpected(built.error());
    }
    auto &control = internalPool_.at(ControlContext);
    asio::post(control, [this] {
        cluster_->start([this](const RoutingTable &) { watchEndpoints(); },
                        [this] { beginDrain("another process with this instance's id"); });
        orders_->start();
    });
    dispatcher_.onRemoteSupersede(
        [this](const Common::CustomerName &customer, const Common::RequestId &callerId) {
            broadcastToPeers(SupersedeSubject, encode(SupersedeMessage{customer, callerId}));
        });
    asio::co_spawn(control, waitForSignal(), asio::detached);
    asio::co_spawn(control, housekeeping(), asio::detached);
    asio::co_spawn(control, broadcastOrderHints(), asio::detached);
    callerPool_.start();
    internalPool_.start();
    Common::log(LogCategory, Common::LogLevel::Info,
                "instance {} of region {} serves callers at {}", options_.instance, options_.region,
                *http);
    const json line = {{"instance", options_.instance.text()},
                       {"http", *http},
                       {"operator", *operators},
                       {"gossip", cluster_->node().self().gossipAddress.text()},
                       {"channel", *channel}};
    return line.dump();
}

void Gateway::watchEndpoints()
{
    std::vector<Readers::ListedEndpoint> endpoints;
    for (const auto &endpoint : cluster_->listedEndpoints()) {
        if (endpoint.region == options_.region) {
            endpoints.push_back(endpoint);
        }
    }
    monitor_.watch(std::move(endpoints));
}

void Gateway::run()
{
    stopped_.get_future().wait();
}

asio::awaitable<void> Gateway::waitForSignal()
{
    boost::system::error_code error;
    const auto signal =
        co_await signals_.async_wait(asio::redirect_error(asio::use_awaitable, error));
    beginDrain(signal == SIGTERM ? "SIGTERM" : "SIGINT");
}

void Gateway::beginDrain(const char *reason)
{
    if (!draining_.exchange(true)) {
        Common::log(LogCategory, Common::LogLevel::Info, "this instance is leaving: {}", reason);
        asio::co_spawn(internalPool_.at(ControlContext), drain(), asio::detached);
    }
}

asio::awaitable<void> Gateway::drain()
{
    // Callers cache the response of /v1/entries for its lifetime, and other instances learn within
    // seconds that this one is leaving. Requests that arrive until then are served; closing the
    // listener first would reject them.
    cluster_->announceLeaving();
    ledger_.ledger().close();
    co_await Async::sleepFor(options_.drainNotice);
    callerServer_->drain();
    callerServer_->stopAccepting();
    const auto deadline = std::chrono::steady_clock::now() + options_.drainTimeout;
    const std::function<bool()> noRequests = [this] {
        return callerServer_->exchanges() == 0 && channelServer_->calls() == 0;
    };
    co_await waitUntil(noRequests, deadline);
    // Requests can arrive until the last connection is closed, so the ledger is handed over after
    // that. A caller that sends only a part of a request has the time for a body.
    callerServer_->closeIdle();
    const auto arrivalDeadline = std::chrono::steady_clock::now() + options_.http.bodyTimeout;
    const std::function<bool()> noConnections = [this, arrivalDeadline] {
        const bool arrivalsOver = std::chrono::steady_clock::now() >= arrivalDeadline;
        return callerServer_->connections() == 0
               || (arrivalsOver && callerServer_->exchanges() == 0);
    };
    co_await waitUntil(noConnections, deadline);
    channelServer_->rejectCalls();
    co_await waitUntil(noRequests, deadline);
    co_await handOverLedger();
    const auto unsent = co_await flushChannels();
    Common::log(LogCategory, Common::LogLevel::Info,
                "stopped: {}; {} requests, {} forwarded requests and {} connections of callers cut "
                "off; {} bytes for other instances unsent",
                std::chrono::steady_clock::now() < deadline ? "all responses have ended"
                                                            : "the drain timeout has passed",
                callerServer_->exchanges(), channelServer_->calls(), callerServer_->connections(),
                unsent);
    stopped_.set_value();
}

asio::awaitable<void> Gateway::waitUntil(const std::function<bool()> &condition,
                                         Common::Time deadline)
{
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        co_await Async::sleepFor(IdlePollInterval);
    }
}

asio::awaitable<std::size_t> Gateway::flushChannels()
{
    const auto deadline = std::chrono::steady_clock::now() + InternalRequestTimeout;
    const auto count = [server = channelServer_.get()] { return server->unsentBytes(); };
    while (true) {
        const auto unsent = co_await Async::runOn(internalPool_.at(ChannelContext), count);
        if (unsent == 0 || std::chrono::steady_clock::now() >= deadline) {
            co_return unsent;
        }
        co_await Async::sleepFor(IdlePollInterval);
    }
}

asio::awaitable<void> Gateway::handOverLedger()
{
    const auto table = table_.share();
    std::vector<Common::InstanceId> candidates;
    for (const auto &entry : table->peers) {
        if (entry.second.usable && entry.second.channel && entry.second.region == options_.region) {
            candidates.push_back(entry.first);
        }
    }
    const auto successor = L::successorOf(options_.instance, incarnation_, candidates);
    const auto handover = ledger_.ledger().handOver(std::chrono::steady_clock::now());
    if (!successor || !handover || handover->records.empty()) {
        co_return;
    }
    const auto call =
        table->peer(*successor)
            ->channel->open(Peers::InternalRequest{HandoverSubject, encode(*handover)},
                            internalPool_.at(ControlContext).get_executor());
    const auto answer =
        co_await call->next(std::chrono::steady_clock::now() + InternalRequestTimeout);
    const bool confirmed = answer && std::holds_alternative<Peers::AnswerHead>(*answer);
    Common::log(LogCategory, Common::LogLevel::Info, "handed over {} ledger records to {}: {}",
                handover->records.size(), *successor, confirmed ? "taken" : "not confirmed");
}

asio::awaitable<void> Gateway::servePeer(std::shared_ptr<Peers::IncomingCall> call)
{
    if (std::holds_alternative<Peers::InternalRequest>(call->request())) {
        co_await serveInternal(std::move(call));
    } else {
        co_await requests_.serveForwarded(std::move(call), channelConnectionPool_);
    }
}

asio::awaitable<Common::Result<void>>
Gateway::handleInternalRequest(const Peers::InternalRequest &request)
{
    if (request.subject == HandoverSubject) {
        const auto handover = decode<L::Handover>(request.body);
        if (!handover) {
            co_return tl::unexpected(handover.error());
        }
        co_return co_await ledger_.adopt(*handover);
    }
    if (request.subject == OrderHintsSubject) {
        const auto hints = decode<std::vector<L::DuplicateHint>>(request.body);
        if (!hints) {
            co_return tl::unexpected(hints.error());
        }
        co_return co_await ledger_.learn(*hints);
    }
    if (request.subject == SupersedeSubject) {
        const auto superseded = decode<SupersedeMessage>(request.body);
        if (!superseded) {
            co_return tl::unexpected(superseded.error());
        }
        dispatcher_.supersede(superseded->customer, superseded->callerId);
        co_return Common::Result<void>();
    }
    co_return Common::makeError(Common::ErrorCode::InvalidArgument, "the subject is not known");
}

asio::awaitable<void> Gateway::serveInternal(std::shared_ptr<Peers::IncomingCall> call)
{
    const auto handled =
        co_await handleInternalRequest(std::get<Peers::InternalRequest>(call->request()));
    if (handled) {
        co_await call->send(Peers::AnswerHead{200, {}});
        co_await call->send(Peers::AnswerEnd());
        co_return;
    }
    Peers::AnswerFailure failure;
    failure.code = handled.error().code;
    failure.run = Common::RunState::NotRun;
    failure.detail = handled.error().message;
    co_await call->send(std::move(failure));
}

void Gateway::broadcastToPeers(const char *subject, const std::string &body)
{
    const auto table = table_.share();
    std::vector<const PeerEntry *> receivers;
    for (const auto &entry : table->peers) {
        const auto &peer = entry.second;
        if (peer.usable && peer.channel) {
            receivers.push_back(&peer);
        }
    }
    const bool allRegions = receivers.size() <= AllRegionsPeerLimit;
    for (const auto *peer : receivers) {
        if (!allRegions && peer->region != options_.region) {
            continue;
        }
        auto wait = [](std::unique_ptr<Peers::OutgoingCall> call) -> asio::awaitable<void> {
            co_await call->next(std::chrono::steady_clock::now() + InternalRequestTimeout);
        };
        auto &control = internalPool_.at(ControlContext);
        auto call =
            peer->channel->open(Peers::InternalRequest{subject, body}, control.get_executor());
        asio::co_spawn(control, wait(std::move(call)), asio::detached);
    }
}

asio::awaitable<void> Gateway::broadcastOrderHints()
{
    while (true) {
        co_await Async::sleepFor(OrderHintInterval);
        const auto hints = ledger_.ledger().takeHints();
        if (!hints.empty()) {
            broadcastToPeers(OrderHintsSubject, encode(hints));
        }
    }
}

asio::awaitable<void> Gateway::housekeeping()
{
    while (true) {
        co_await Async::sleepFor(HousekeepingInterval);
        const auto now = std::chrono::steady_clock::now();
        ledger_.ledger().tick(now);
        for (std::size_t index = 0; index < connectionPools_.size(); ++index) {
            asio::post(callerPool_.at(index),
                       [pool = connectionPools_[index], now] { pool->expire(now); });
        }
        asio::post(internalPool_.at(ChannelContext),
                   [pool = channelConnectionPool_, now] { pool->expire(now); });
    }
}

json Gateway::dump() const
{
    const auto now = std::chrono::steady_clock::now();
    const auto table = table_.share();
    json inFlight = json::array();
    for (const auto &request : dispatcher_.inFlight()) {
        inFlight.push_back(
            {{"id", request.text()}, {"decisions", dispatcher_.scheduler().explain(request)}});
    }
    json peers = json::object();
    for (const auto &entry : table->peers) {
        peers[entry.first.text()] = {{"region", entry.second.region.text()},
                                     {"usable", entry.second.usable},
                                     {"incarnation", entry.second.incarnation}};
    }
    return {{"instance", options_.instance.text()},
            {"region", options_.region.text()},
            {"incarnation", incarnation_},
            {"draining", draining_.load()},
            {"connections", callerServer_->connections()},
            {"requests_in_flight", callerServer_->exchanges()},
            {"forwarded_in_flight", channelServer_->calls()},
            {"in_flight", inFlight},
            {"peers", peers},
            {"platform", cluster_->dump()},
            {"orders", orders_->dump()},
            {"decisions", dispatcher_.scheduler().dump(now)},
            {"ledger", ledger_.ledger().dump(now)}};
}

} // namespace LaburnumChute::Gateway
