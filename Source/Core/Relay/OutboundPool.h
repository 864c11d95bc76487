#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

namespace asio = boost::asio;

/// A connection to an endpoint, another instance or the platform's store.
struct OutboundConnection
{
    explicit OutboundConnection(asio::io_context &context)
        : socket(context)
    {
    }

    asio::ip::tcp::socket socket;
    /// An answer has been read on it before.
    bool reused = false;
    /// When it was last given back, and until when the other side keeps it open.
    Common::Time idleSince{};
    Common::Time reusableUntil{};
};

using OutboundConnectionPtr = std::unique_ptr<OutboundConnection>;

/// Keeps idle connections by address.
class OutboundPool
{
public:
    explicit OutboundPool(asio::io_context &context);

    asio::io_context &context()
    {
        return context_;
    }
    /// An idle connection that has been idle no longer than given; null when there is none.
    OutboundConnectionPtr acquire(const std::string &address, Common::Duration maxIdle,
                                  Common::Time now);
    /// @param keptFor how long the other side says that it keeps an idle connection
    void release(const std::string &address, OutboundConnectionPtr connection,
                 std::optional<Common::Duration> idleTimeout, Common::Time now);
    /// Closes what has been idle for too long.
    void closeExpired(Common::Time now);
    std::size_t idleCount() const;

private:
    asio::io_context &context_;
    std::map<std::string, std::vector<OutboundConnectionPtr>> idle_;
};

} // namespace LaburnumChute::Relay
