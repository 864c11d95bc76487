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

/// A TCP connection to an endpoint with what was read beyond the last answer.
struct Connection
{
    explicit Connection(const asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    /// True once an answer has been read on it before.
    bool reused = false;
};

using ConnectionPtr = std::unique_ptr<Connection>;

struct ConnectionPoolOptions
{
    /// A TCP handshake inside a region takes about a millisecond, between regions 110 ms; a second
    /// allows for one lost SYN... and no more, since the caller is waiting.
    Common::milliseconds connectTimeout{1000};
    /// Idle connections kept to one address.
    std::size_t idleLimit = 32;
    /// An endpoint's own idle timeout is commonly 60 s or more. Connections are given up well
    /// before, since one that closes under a write leaves the outcome unknown.
    Common::milliseconds idleTime{20000};
};

/// Idle connections by address ("ip:port"). Belongs to one io_context's thread.
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

    /// An idle connection that the other side has not closed, else a new one. The error says that
    /// no connection came about, so that nothing can have been sent.
    asio::awaitable<Common::Result<ConnectionPtr>> acquire(std::string address);
    asio::awaitable<Common::Result<ConnectionPtr>> connect(std::string address) const;
    /// Takes back a connection whose last answer has been read to its end.
    void release(const std::string &address, ConnectionPtr connection);
    /// Closes what has been idle for too long.
    void expire(Common::Time now);

    std::size_t idleCount() const;

private:
    struct Idle
    {
        ConnectionPtr connection;
        Common::Time since;
    };

    ConnectionPoolOptions options_;
    asio::any_io_executor executor_;
    std::map<std::string, std::vector<Idle>> idle_;
};

} // namespace LaburnumChute::Endpoints
