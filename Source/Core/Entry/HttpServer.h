#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Async/Async.h"
#include "Common/Common.h"
#include "Entry/Exchange.h"

namespace LaburnumChute::Entry {

struct HttpServerOptions
{
    /// Time limit for receiving the next request header, counted from the previous response. Limits
    /// how long slow and idle callers can hold a connection.
    Common::milliseconds idleTimeout{60000};
    /// Time limit for receiving the body once the header has been received.
    Common::milliseconds bodyTimeout{15000};
    Common::milliseconds writeTimeout{30000};
    std::uint32_t headerLimitBytes = 16 * 1024;
    std::uint64_t bodyLimitBytes = 4 * 1024 * 1024;
    std::int64_t connectionLimit = 20000;
};

/// Accepts HTTP/1.1 connections and passes each request to a handler coroutine. The next request on
/// a connection is read only after the handler has returned.
class HttpServer
{
public:
    using Handler = std::function<asio::awaitable<void>(Exchange &)>;

    HttpServer(Async::IoPool &pool, HttpServerOptions options, Handler handler);

    /// Binds "ip:port" (port 0 selects any free port) and starts accepting. Returns the bound
    /// address.
    Common::Result<std::string> listen(const std::string &address);
    /// From now on each response closes its connection, so that callers reconnect to another
    /// instance.
    void drain()
    {
        draining_ = true;
    }
    void stopAccepting();

    std::int64_t connections() const
    {
        return connections_;
    }
    /// Number of requests that are being handled.
    std::int64_t exchanges() const
    {
        return exchanges_;
    }

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    asio::awaitable<void> serveRequests(beast::tcp_stream &stream);
    /// Reads one request. Returns null if it cannot be handled, after sending an error response
    /// where possible.
    asio::awaitable<std::unique_ptr<Exchange>> readExchange(beast::tcp_stream &stream,
                                                            beast::flat_buffer &buffer);

    Async::IoPool &pool_;
    HttpServerOptions options_;
    Handler handler_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> draining_{false};
    std::atomic<std::int64_t> connections_{0};
    std::atomic<std::int64_t> exchanges_{0};
};

} // namespace LaburnumChute::Entry
