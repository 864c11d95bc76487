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

/// Answers what callers send: model calls, service calls, and questions about the gateway itself.
class RequestHandler
{
public:
    using PoolOfThread = std::function<std::shared_ptr<Endpoints::ConnectionPool>()>;

    RequestHandler(const RunnerContext &context, PoolOfThread poolOfThread,
                   Common::milliseconds adviceLifetime);

    /// A caller's request.
    asio::awaitable<void> serve(Entry::Exchange &exchange);
    /// A request that another instance has forwarded.
    asio::awaitable<void> serveForwarded(std::shared_ptr<Peers::IncomingCall> call,
                                         std::shared_ptr<Endpoints::ConnectionPool> pool);

private:
    asio::awaitable<void> serveCall(Arrival arrival, Responder responder,
                                    std::shared_ptr<Endpoints::ConnectionPool> pool);
    PlanResult plan(const Arrival &arrival, const RoutingTable &table) const;

    asio::awaitable<void> serveModels(Entry::Exchange &exchange);
    asio::awaitable<void> serveEntries(Entry::Exchange &exchange);
    asio::awaitable<void> serveKeys(Entry::Exchange &exchange);
    asio::awaitable<void> mintKey(Entry::Exchange &exchange);
    asio::awaitable<void> keyState(Entry::Exchange &exchange, std::string keyText);

    const RunnerContext &context_;
    PoolOfThread poolOfThread_;
    Common::milliseconds adviceLifetime_;
    CallPlanner planner_;
};

} // namespace LaburnumChute::Gateway
