#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Async/Async.h"
#include "Common/Common.h"
#include "Entry/ConnectionMetrics.h"
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

    /// @param budget memory that the requests may have together with all else that it is for
    HttpServer(Async::IoPool &pool, HttpServerOptions options, ConnectionMetrics metrics,
               Async::ByteBudget &budget, Handler handler);

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
    /// Closes the connections on which no request arrives, now and later.
    void closeIdle();

    /// Number of connections, including those whose last bytes are on their way.
    std::int64_t connections() const;
    /// Number of requests that are being handled.
    std::int64_t exchanges() const
    {
        return exchanges_;
    }

private:
    asio::awaitable<void> accept();
    struct Connection;
    /// How the last response on a connection ended.
    struct Outcome
    {
        ConnectionEnd end = ConnectionEnd::Ordinary;
        std::size_t undeliveredBytes = 0;
        /// No byte of a request had been read since the last response.
        bool idle = false;
    };

    asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    asio::awaitable<Outcome> serveRequests(Connection &connection);
    /// Returns true once bytes of a request have arrived, false if the connection is to be closed.
    asio::awaitable<bool> waitForRequest(Connection &connection, const beast::flat_buffer &buffer);
    /// Waits until something has arrived, the time is over or the connection is to be closed.
    asio::awaitable<void> waitForBytes(Connection &connection, Common::Duration time);
    /// Waits until the caller has received everything, or takes nothing for the write timeout.
    /// Returns the bytes that it has not received.
    asio::awaitable<std::size_t> closeDelivered(beast::tcp_stream &stream);
    /// Closes the connection that has waited longest for a request, so that another one can be
    /// accepted. Returns false if none waits.
    bool closeIdlest();
    /// Reads one request. Returns null if it cannot be handled, after sending an error response
    /// where possible.
    asio::awaitable<std::unique_ptr<Exchange>> readExchange(beast::tcp_stream &stream,
                                                            beast::flat_buffer &buffer,
                                                            Common::Time headerDeadline);

    Async::IoPool &pool_;
    HttpServerOptions options_;
    ConnectionMetrics metrics_;
    Async::ByteBudget &budget_;
    Handler handler_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> draining_{false};
    std::atomic<bool> closing_{false};
    mutable std::mutex mutex_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::uint64_t idleNumber_ = 0;
    std::atomic<std::int64_t> exchanges_{0};
};

} // namespace LaburnumChute::Entry
