#include "Relay/OutboundPool.h"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace LaburnumChute::Relay {

namespace {

/// Maximum number of idle connections to one address; covers the batch size of an endpoint.
constexpr std::size_t MaxIdlePerAddress = 64;
/// Reuse period if the remote side's idle timeout is unknown; it is assumed to be short.
constexpr Common::milliseconds DefaultReuseTime{900};
/// Connections are not reused within this time before the remote side's idle timeout: if a request
/// is sent while the remote side closes the connection, it is unknown whether it has run.
constexpr Common::milliseconds IdleTimeoutMargin{700};
constexpr Common::milliseconds MaxReuseTime{20000};
/// TCP_USER_TIMEOUT: the connection fails if sent bytes are not acknowledged for this long.
/// Otherwise a broken network path would go unnoticed for minutes.
constexpr unsigned TcpUserTimeoutMs = 2000;
/// An established connection can go silent permanently while new ones work. TCP keep-alive probes
/// detect that after 4 s. Since TCP_USER_TIMEOUT is set, the first unanswered probe after it ends
/// the connection, whatever their count; with a shorter interval, an endpoint that is silent for a
/// second would lose its connections.
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 2;
constexpr int KeepAliveProbeCount = 2;

void setOption(asio::ip::tcp::socket &socket, int level, int name, int value)
{
    // The connection works without this option but detects a broken network path later.
    static_cast<void>(::setsockopt(socket.native_handle(), level, name, &value, sizeof(value)));
}

void configure(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, TcpUserTimeoutMs);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbeCount);
}

/// Returns true if the remote side has closed the connection or has sent unexpected bytes.
bool isUnusable(OutboundConnection &connection)
{
    char byte = 0;
    boost::system::error_code error;
    connection.socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

OutboundPool::OutboundPool(asio::io_context &context)
    : context_(context)
{
}

OutboundConnectionPtr OutboundPool::open(const asio::ip::tcp::endpoint &target)
{
    auto connection = std::make_unique<OutboundConnection>(context_);
    boost::system::error_code error;
    connection->socket.open(target.protocol(), error);
    if (error) {
        return nullptr;
    }
    configure(connection->socket);
    return connection;
}

void OutboundConnection::recordRequest(std::uint64_t key)
{
    carried_[next_] = key;
    next_ = (next_ + 1) % carried_.size();
}

bool OutboundConnection::hasCarried(std::uint64_t key) const
{
    return key != 0 && std::find(carried_.begin(), carried_.end(), key) != carried_.end();
}

OutboundConnectionPtr OutboundPool::acquire(const std::string &address, Common::Duration maxIdle,
                                            Common::Time now, std::uint64_t requestKey)
{
    const auto found = idle_.find(address);
    if (found == idle_.end() || maxIdle <= Common::Duration(0)) {
        return nullptr;
    }
    auto &connections = found->second;
    // The most recently used connection is the least likely to have been closed.
    auto index = connections.size();
    while (index > 0 && now - connections[index - 1]->idleSince <= maxIdle) {
        --index;
        if (connections[index]->hasCarried(requestKey)) {
            continue;
        }
        auto connection = std::move(connections[index]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
        if (now < connection->reusableUntil && !isUnusable(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

void OutboundPool::release(const std::string &address, OutboundConnectionPtr connection,
                           std::optional<Common::Duration> idleTimeout, Common::Time now)
{
    auto &connections = idle_[address];
    if (connections.size() >= MaxIdlePerAddress) {
        return;
    }
    markIdle(*connection, idleTimeout, now);
    connections.push_back(std::move(connection));
}

void OutboundPool::markIdle(OutboundConnection &connection,
                            std::optional<Common::Duration> idleTimeout, Common::Time now)
{
    const auto reuseTime =
        idleTimeout ? *idleTimeout - IdleTimeoutMargin : Common::Duration(DefaultReuseTime);
    connection.reused = true;
    connection.idleSince = now;
    connection.reusableUntil = now + std::min<Common::Duration>(reuseTime, MaxReuseTime);
}

void OutboundPool::closeExpired(Common::Time now)
{
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second,
                      [now](const auto &connection) { return now >= connection->reusableUntil; });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

std::size_t OutboundPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[address, connections] : idle_) {
        count += connections.size();
    }
    return count;
}

} // namespace LaburnumChute::Relay
