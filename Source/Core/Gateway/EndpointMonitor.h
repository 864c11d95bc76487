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

/// Reads the load reports and cache events of the home region's endpoints and hands them to the
/// scheduler. Lives on one context.
class EndpointMonitor
{
public:
    EndpointMonitor(asio::io_context &context, EndpointMonitorOptions options,
                    Endpoints::ConnectionPoolOptions poolOptions, Dispatcher &dispatcher);

    /// The endpoints to watch from now on; may be called from any thread.
    void watch(std::vector<Readers::ListedEndpoint> endpoints);

private:
    struct Watched
    {
        Readers::ListedEndpoint endpoint;
        std::uint64_t lastCacheEvent = 0;
        bool stopped = false;
        int failedReads = 0;
        bool reachable = true;
    };

    asio::awaitable<void> poll(std::shared_ptr<Watched> watched);
    asio::awaitable<void> readLoad(std::shared_ptr<Watched> watched);
    /// Tells the scheduler when an endpoint has gone or come back.
    void note(Watched &watched, bool answered);
    asio::awaitable<void> readCacheEvents(std::shared_ptr<Watched> watched);
    asio::awaitable<Common::Result<std::string>> get(const Watched &watched, std::string target);

    asio::io_context &context_;
    EndpointMonitorOptions options_;
    std::shared_ptr<Endpoints::ConnectionPool> pool_;
    Dispatcher &dispatcher_;
    std::map<Common::EndpointId, std::shared_ptr<Watched>> watched_;
};

} // namespace LaburnumChute::Gateway
