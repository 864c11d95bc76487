#include "Endpoints/ConnectionPool.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Async/Async.h"

namespace LaburnumChute::Endpoints {

namespace {

/// Limits how far an endpoint can send ahead of a slow caller. The kernel's default limit is
/// megabytes, which would let an engine generate tens of thousands of tokens for a caller that has
/// stopped reading.
constexpr int ReceiveBufferBytes = 32 * 1024;

/// True if the endpoint has closed the connection or sent unsolicited bytes.
bool isStale(Connection &connection)
{
    auto &socket = connection.stream.socket();
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

asio::awaitable<Common::Result<ConnectionPtr>> ConnectionPool::acquire(std::string address)
{
    auto &idle = idle_[address];
    while (!idle.empty()) {
        auto connection = std::move(idle.back().connection);
        idle.pop_back();
        if (!isStale(*connection)) {
            co_return connection;
        }
    }
    co_return co_await connect(address);
}

asio::awaitable<Common::Result<ConnectionPtr>> ConnectionPool::connect(std::string address) const
{
    const auto target = Async::parseTcpAddress(address);
    if (!target) {
        co_return tl::unexpected(target.error());
    }
    auto connection = std::make_unique<Connection>(executor_);
    boost::system::error_code error;
    connection->stream.expires_after(options_.connectTimeout);
    // Set before connecting, since the TCP window scale is negotiated during the handshake.
    connection->stream.socket().open(target->protocol(), error);
    connection->stream.socket().set_option(
        asio::socket_base::receive_buffer_size(ReceiveBufferBytes), error);
    co_await connection->stream.async_connect(*target,
                                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return Common::makeError(Common::ErrorCode::Unavailable,
                                    "no connection to " + address + ": " + error.message());
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return connection;
}

void ConnectionPool::release(const std::string &address, ConnectionPtr connection)
{
    auto &idle = idle_[address];
    if (idle.size() >= options_.idleLimit) {
        return;
    }
    connection->reused = true;
    connection->stream.expires_never();
    idle.push_back({std::move(connection), std::chrono::steady_clock::now()});
}

void ConnectionPool::expire(Common::Time now)
{
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [&](const IdleConnection &idle) {
            return now - idle.since > options_.idleTimeout;
        });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

std::size_t ConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &entry : idle_) {
        count += entry.second.size();
    }
    return count;
}

} // namespace LaburnumChute::Endpoints
