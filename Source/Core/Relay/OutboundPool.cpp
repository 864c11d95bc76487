#include "Relay/OutboundPool.h"

#include <algorithm>

namespace LaburnumChute::Relay {

namespace {

/// Idle connections kept to one address: what an endpoint's batch may need.
constexpr std::size_t MaxIdlePerAddress = 64;
/// Without word of the other side's idle timeout it is taken to be short.
constexpr Common::milliseconds DefaultReuseTime{900};
/// Given up this long before the other side would close it: a request that crosses the close may or
/// may not have run.
constexpr Common::milliseconds IdleTimeoutMargin{700};
constexpr Common::milliseconds MaxReuseTime{20000};

/// True when the other side has closed the connection or has sent bytes that nobody asked for.
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

OutboundConnectionPtr OutboundPool::acquire(const std::string &address, Common::Duration maxIdle,
                                            Common::Time now)
{
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    // The one used last: it is the least likely to have been closed meanwhile.
    while (!connections.empty() && now - connections.back()->idleSince <= maxIdle) {
        auto connection = std::move(connections.back());
        connections.pop_back();
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
    const auto reuseTime =
        idleTimeout ? *idleTimeout - IdleTimeoutMargin : Common::Duration(DefaultReuseTime);
    connection->reused = true;
    connection->idleSince = now;
    connection->reusableUntil = now + std::min<Common::Duration>(reuseTime, MaxReuseTime);
    connections.push_back(std::move(connection));
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
