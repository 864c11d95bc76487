#pragma once

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>

#include "Common/Common.h"
#include "Entry/Entry.h"
#include "Gateway/CallPlan.h"
#include "Gateway/CallRunner.h"
#include "Peers/Peers.h"

namespace LaburnumChute::Gateway {

/// Serves callers: model calls, service calls and requests about the gateway itself.
class RequestHandler
{
public:
    using ConnectionPoolGetter = std::function<std::shared_ptr<Endpoints::ConnectionPool>()>;

    RequestHandler(const RunnerContext &context, ConnectionPoolGetter threadConnectionPool,
                   Common::milliseconds adviceLifetime);

    /// Serves a request of a caller.
    asio::awaitable<void> serve(Entry::Exchange &exchange);
    /// Serves a request that another instance forwarded.
    asio::awaitable<void> serveForwarded(std::shared_ptr<Peers::IncomingCall> call,
                                         std::shared_ptr<Endpoints::ConnectionPool> pool);

private:
    asio::awaitable<void> serveCall(IncomingRequest incoming, Responder responder,
                                    std::shared_ptr<Endpoints::ConnectionPool> pool);
    PlanResult plan(const IncomingRequest &incoming, const RoutingTable &table) const;

    asio::awaitable<void> serveModels(Entry::Exchange &exchange);
    asio::awaitable<void> serveEntries(Entry::Exchange &exchange);
    asio::awaitable<void> serveKeys(Entry::Exchange &exchange);
    asio::awaitable<void> mintKey(Entry::Exchange &exchange);
    asio::awaitable<void> keyState(Entry::Exchange &exchange, std::string keyText);

    const RunnerContext &context_;
    ConnectionPoolGetter threadConnectionPool_;
    Common::milliseconds adviceLifetime_;
    CallPlanner planner_;
};

} // namespace LaburnumChute::Gateway
