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
    /// Time for a caller to send the next request's header, counted from the last answer. Slow and
    /// idle callers hold a connection no longer than this.
    Common::milliseconds idleTimeout{60000};
    /// Time for the body once the header is there.
    Common::milliseconds bodyTimeout{15000};
    Common::milliseconds writeTimeout{30000};
    std::uint32_t headerLimitBytes = 16 * 1024;
    std::uint64_t bodyLimitBytes = 4 * 1024 * 1024;
    std::int64_t connectionLimit = 20000;
};

/// Accepts HTTP/1.1 connections and hands each request to a handler coroutine, which answers it
/// before the next request of that connection is read.
class HttpServer
{
public:
    using Handler = std::function<asio::awaitable<void>(Exchange &)>;

    HttpServer(Async::IoPool &pool, HttpServerOptions options, Handler handler);

    /// Binds "ip:port" (port 0: any) and accepts. Returns the address bound.
    Common::Result<std::string> listen(const std::string &address);
    /// From now on each answer closes its connection, so that callers look for another instance.
    void drain()
    {
        draining_ = true;
    }
    void stopAccepting();

    std::int64_t connections() const
    {
        return connections_;
    }
    /// Requests read and not yet answered.
    std::int64_t exchanges() const
    {
        return exchanges_;
    }

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);
    asio::awaitable<void> serveRequests(beast::tcp_stream &stream);
    /// Reads one request; answers by itself and returns nothing when it is not fit to be handled.
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
