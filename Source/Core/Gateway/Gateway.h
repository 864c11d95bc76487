#pragma once

// Public header of the Gateway library: an entry instance, assembled from all other libraries.

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/signal_set.hpp>

#include "Async/Async.h"
#include "Common/Common.h"
#include "Gateway/AsyncLedger.h"
#include "Gateway/CallRunner.h"
#include "Gateway/ClusterRunner.h"
#include "Gateway/Dispatcher.h"
#include "Gateway/EndpointMonitor.h"
#include "Gateway/GatewayOptions.h"
#include "Gateway/OperatorHandler.h"
#include "Gateway/OrderRunner.h"
#include "Gateway/RequestHandler.h"
#include "Gateway/RoutingTable.h"

namespace LaburnumChute::Gateway {

/// An entry instance: owns the threads, creates the components and shuts them down.
class Gateway
{
public:
    explicit Gateway(GatewayOptions options);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Binds all addresses and starts serving. Returns the bound addresses as one JSON line.
    Common::Result<std::string> start();
    /// Serves until SIGTERM, SIGINT or an operator's drain request, then shuts down, waiting up to
    /// the drain timeout for requests in flight.
    void run();

private:
    asio::awaitable<void> waitForSignal();
    asio::awaitable<void> drain();
    void beginDrain(const char *reason);
    void watchEndpoints();
    static asio::awaitable<void> waitUntil(const std::function<bool()> &condition,
                                           Common::Time deadline);
    /// Returns the bytes that the channels could not send.
    asio::awaitable<std::size_t> flushChannels();
    asio::awaitable<void> handOverLedger();
    asio::awaitable<void> housekeeping();
    /// Tells peers which orders were submitted here, so that they can detect duplicates.
    asio::awaitable<void> broadcastOrderHints();
    void broadcastToPeers(const char *subject, const std::string &body);
    asio::awaitable<void> serveInternal(std::shared_ptr<Peers::IncomingCall> call);
    asio::awaitable<Common::Result<void>>
    handleInternalRequest(const Peers::InternalRequest &request);
    asio::awaitable<void> servePeer(std::shared_ptr<Peers::IncomingCall> call);
    std::shared_ptr<Endpoints::ConnectionPool> threadConnectionPool() const;
    nlohmann::json dump() const;
    Common::Result<void> buildCluster(Cluster::MemberInfo self);
    void buildServers();

    GatewayOptions options_;
    Common::Incarnation incarnation_;
    Async::IoPool callerPool_;
    /// One thread for scheduling and the cluster protocol, one for the channels between instances.
    /// Both pools are declared before, and thus destroyed after, all members that hold their
    /// sockets or timers.
    Async::IoPool internalPool_;
    Common::MetricsRegistry metrics_;
    Async::ByteBudget budget_;
    RoutingTableCell table_;
    std::vector<std::shared_ptr<Endpoints::ConnectionPool>> connectionPools_;
    std::shared_ptr<Endpoints::ConnectionPool> channelConnectionPool_;
    RequestMetrics requestMetrics_;
    Dispatcher dispatcher_;
    AsyncLedger ledger_;
    EndpointMonitor monitor_;
    RunnerContext runnerContext_;
    RequestHandler requests_;
    std::unique_ptr<OperatorHandler> operators_;
    std::unique_ptr<Entry::HttpServer> callerServer_;
    std::unique_ptr<Entry::HttpServer> operatorServer_;
    std::unique_ptr<Peers::ChannelServer> channelServer_;
    std::unique_ptr<ClusterRunner> cluster_;
    std::unique_ptr<OrderRunner> orders_;
    std::atomic<bool> draining_{false};
    std::promise<void> stopped_;
    asio::signal_set signals_;
};

} // namespace LaburnumChute::Gateway
