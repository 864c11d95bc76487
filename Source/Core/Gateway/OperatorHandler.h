#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

#include "Common/Common.h"
#include "Entry/Entry.h"
#include "Gateway/Dispatcher.h"
#include "Gateway/RoutingTable.h"

namespace LaburnumChute::Gateway {

/// Serves the operator interface: dump, metrics, health, configuration, log levels, drain, patches
/// and traces.
class OperatorHandler
{
public:
    struct Actions
    {
        /// Returns the state of the process; runs on the control context.
        std::function<nlohmann::json()> dump;
        /// Returns the content of the active configuration; runs on the control context.
        std::function<std::string()> configurationContent;
        std::function<void()> drain;
    };

    OperatorHandler(asio::io_context &control, Dispatcher &dispatcher,
                    const RoutingTableCell &table, const Common::MetricsRegistry &metrics,
                    Actions actions);

    asio::awaitable<void> serve(Entry::Exchange &exchange);

private:
    asio::awaitable<void> serveGet(Entry::Exchange &exchange, std::string path);
    asio::awaitable<void> patch(Entry::Exchange &exchange);
    asio::awaitable<void> trace(Entry::Exchange &exchange, std::string request);
    asio::awaitable<void> setLogLevel(Entry::Exchange &exchange, std::string path);

    asio::io_context &control_;
    Dispatcher &dispatcher_;
    const RoutingTableCell &table_;
    const Common::MetricsRegistry &metrics_;
    Actions actions_;
};

} // namespace LaburnumChute::Gateway
