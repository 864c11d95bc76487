#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Common/Common.h"
#include "Endpoints/Endpoints.h"
#include "Gateway/Dispatcher.h"
#include "Readers/Readers.h"

namespace LaburnumChute::Gateway {

struct EndpointMonitorOptions
{
    Common::milliseconds loadInterval{250};
    Common::milliseconds cacheEventInterval{500};
    Common::milliseconds timeout{1000};
};

/// Polls the load reports and cache events of the home region's endpoints and passes them to the
/// scheduler. Runs on a single context.
class EndpointMonitor
{
public:
    EndpointMonitor(asio::io_context &context, EndpointMonitorOptions options,
                    Endpoints::ConnectionPoolOptions poolOptions, Async::ByteBudget &budget,
                    Dispatcher &dispatcher);

    /// Replaces the set of monitored endpoints; may be called from any thread.
    void watch(std::vector<Readers::ListedEndpoint> endpoints);

private:
    struct WatchedEndpoint
    {
        Readers::ListedEndpoint endpoint;
        std::uint64_t lastCacheEvent = 0;
        bool stopped = false;
        int failedReads = 0;
        bool reachable = true;
    };

    asio::awaitable<void> poll(std::shared_ptr<WatchedEndpoint> watched);
    asio::awaitable<void> readLoad(std::shared_ptr<WatchedEndpoint> watched);
    /// Tells the scheduler when an endpoint becomes unreachable or reachable again.
    void updateReachability(WatchedEndpoint &watched, bool answered);
    asio::awaitable<void> readCacheEvents(std::shared_ptr<WatchedEndpoint> watched);
    asio::awaitable<Common::Result<std::string>> get(const WatchedEndpoint &watched,
                                                     std::string target);

    asio::io_context &context_;
    EndpointMonitorOptions options_;
    std::shared_ptr<Endpoints::ConnectionPool> pool_;
    Async::ByteBudget &budget_;
    Dispatcher &dispatcher_;
    std::map<Common::EndpointId, std::shared_ptr<WatchedEndpoint>> watched_;
};

} // namespace LaburnumChute::Gateway
