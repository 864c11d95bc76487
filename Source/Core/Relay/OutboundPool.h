#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

namespace asio = boost::asio;

/// A connection to an endpoint, a peer or the platform's store.
struct OutboundConnection
{
    explicit OutboundConnection(asio::io_context &context)
        : socket(context)
    {
    }

    /// Remembers that a request was sent on the connection.
    void recordRequest(std::uint64_t key);
    /// Whether the request was sent on it recently, so that a second answer to it may still arrive.
    bool hasCarried(std::uint64_t key) const;

    asio::ip::tcp::socket socket;
    /// At least one response has been read on this connection.
    bool reused = false;
    /// When the connection was returned to the pool, and until when it may be reused.
    Common::Time idleSince{};
    Common::Time reusableUntil{};

private:
    /// Keys of the last requests, in a ring.
    std::array<std::uint64_t, 16> carried_{};
    std::size_t next_ = 0;
};

using OutboundConnectionPtr = std::unique_ptr<OutboundConnection>;

/// Keeps idle connections for reuse, by address.
class OutboundPool
{
public:
    explicit OutboundPool(asio::io_context &context);

    asio::io_context &context()
    {
        return context_;
    }
    /// Returns a configured socket that is to be connected to the target, or null if there are no
    /// sockets left.
    OutboundConnectionPtr open(const asio::ip::tcp::endpoint &target);
    /// Returns a connection that has been idle for at most `maxIdle`, or null if there is none.
    /// @param requestKey connections that have carried this request are not used; 0 for none
    OutboundConnectionPtr acquire(const std::string &address, Common::Duration maxIdle,
                                  Common::Time now, std::uint64_t requestKey = 0);
    /// @param idleTimeout idle timeout of the remote side, if known
    void release(const std::string &address, OutboundConnectionPtr connection,
                 std::optional<Common::Duration> idleTimeout, Common::Time now);
    /// Sets until when the connection may be used again.
    static void markIdle(OutboundConnection &connection,
                         std::optional<Common::Duration> idleTimeout, Common::Time now);
    /// Closes connections that may no longer be reused.
    void closeExpired(Common::Time now);
    std::size_t idleCount() const;

private:
    asio::io_context &context_;
    std::map<std::string, std::vector<OutboundConnectionPtr>> idle_;
};

} // namespace LaburnumChute::Relay
