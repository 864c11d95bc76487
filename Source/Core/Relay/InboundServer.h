#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Relay/InboundConnection.h"

namespace LaburnumChute::Relay {

/// Accepts connections on one address.
class InboundServer
{
public:
    InboundServer(asio::io_context &context, std::size_t connectionLimit,
                  InboundConnection::LimitsSource limits, InboundConnection::Handler handler,
                  ConnectionObserver observer = {},
                  InboundConnection::MemoryObserver memoryObserver = {},
                  Common::Headers rejectionHeaders = {});

    Common::Result<std::string> listen(const std::string &address);
    /// Limits what the kernel holds of each connection accepted from now on.
    void limitReceiveBuffers(int bytes);
    void stopAccepting();
    /// Closes every connection after its next response, or immediately if it is idle. Connections
    /// accepted later are closed after their first response.
    void closeGracefully();
    /// Closes each connection after its next response. Idle connections stay open.
    void closeAfterNextResponses();
    void tick(Common::Time now);
    /// Closes all connections as the process exits.
    void closeForExit();
    /// Number of open connections whose remote side has not stopped reading.
    std::size_t pending(Common::Time now) const;
    /// Number of connections on which bytes of a response may not have arrived yet.
    std::size_t delivering(Common::Time now) const;
    std::size_t unsentBytes() const;
    /// The connection that has to give up its unsent bytes if memory is needed, or null: among
    /// those that do not read, or else among all, the one with the most.
    std::shared_ptr<InboundConnection> mostUnsent(Common::Time now) const;
    /// Closes connections until all of them hold at most the limit.
    static void limitUnsent(const std::vector<InboundServer *> &servers, std::size_t limit,
                            Common::Time now);

    std::size_t connections() const
    {
        return connections_.size();
    }
    /// Number of requests being served.
    std::size_t serving() const;

private:
    void accept();
    /// Closes the connection that has been idle for the longest time, so that another one can be
    /// accepted. Returns false if none is idle.
    bool closeIdlest();

    asio::io_context &context_;
    std::size_t connectionLimit_;
    InboundConnection::LimitsSource limits_;
    InboundConnection::Handler handler_;
    ConnectionObserver observer_;
    InboundConnection::MemoryObserver memoryObserver_;
    Common::Headers rejectionHeaders_;
    asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<InboundConnection>> connections_;
    bool closeAfterResponse_ = false;
    bool acceptAtTick_ = false;
};

} // namespace LaburnumChute::Relay
