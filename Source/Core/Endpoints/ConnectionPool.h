#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Endpoints {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// A TCP connection to an endpoint, with the bytes read past the end of the last response.
struct Connection
{
    /// Limits what a response may keep in memory apart from its body, say a chunk's extension.
    static constexpr std::size_t BufferLimitBytes = 32 * 1024;

    explicit Connection(const asio::any_io_executor &executor)
        : stream(executor)
        , buffer(BufferLimitBytes)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// True if an earlier response has been read on this connection.
    bool reused = false;
};

using ConnectionPtr = std::unique_ptr<Connection>;

struct ConnectionPoolOptions
{
    /// A TCP handshake takes about 1 ms within a region and 110 ms between regions. One second
    /// allows for one lost SYN; more would keep the caller waiting.
    Common::milliseconds connectTimeout{1000};
    /// Maximum number of idle connections per address.
    std::size_t idleLimit = 32;
    /// Endpoints commonly have an idle timeout of 60 s or more. Connections are closed well before
    /// that, since one that the endpoint closes during a write leaves the outcome unknown.
    Common::milliseconds idleTimeout{20000};
};

/// Idle connections by address ("ip:port"). Not thread-safe; used by the thread of one io_context.
class ConnectionPool
{
public:
    ConnectionPool(ConnectionPoolOptions options, asio::any_io_executor executor)
        : options_(options)
        , executor_(std::move(executor))
    {
    }

    const asio::any_io_executor &executor() const
    {
        return executor_;
    }

    /// Returns an idle connection that the endpoint has not closed, or else a new one. An error
    /// means that no connection was established, so nothing can have been sent.
    asio::awaitable<Common::Result<ConnectionPtr>> acquire(std::string address);
    asio::awaitable<Common::Result<ConnectionPtr>> connect(std::string address) const;
    /// Puts a connection back into the pool. Its last response must have been read completely, and
    /// its buffer must be empty.
    void release(const std::string &address, ConnectionPtr connection);
    /// Closes connections whose idle timeout has expired.
    void expire(Common::Time now);

    std::size_t idleCount() const;

private:
    struct IdleConnection
    {
        ConnectionPtr connection;
        Common::Time since;
    };

    ConnectionPoolOptions options_;
    asio::any_io_executor executor_;
    std::map<std::string, std::vector<IdleConnection>> idle_;
};

} // namespace LaburnumChute::Endpoints
