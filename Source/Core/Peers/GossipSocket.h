#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include "Cluster/Cluster.h"
#include "Common/Error.h"

namespace LaburnumChute::Peers {

/// Turns "ip:port" into an endpoint; names are not looked up.
Common::Result<boost::asio::ip::udp::endpoint> parseUdpAddress(const Cluster::Address &address);

/// Carries gossip over UDP. To be used from one strand; the handler runs on it.
class GossipSocket
{
public:
    using Handler =
        std::function<void(const Cluster::Address &from, Cluster::GossipMessage message)>;

    GossipSocket(const boost::asio::any_io_executor &executor, Handler handler);

    /// Binds; port 0 takes a free one.
    Common::Result<void> open(const boost::asio::ip::udp::endpoint &local);
    /// Receives until close(). Datagrams that are not gossip are counted and dropped.
    boost::asio::awaitable<void> run();
    void close();

    /// Sends without waiting. A datagram that the system does not take at once is dropped: gossip
    /// repeats itself, and a queue would deliver old claims late.
    void send(const Cluster::SendGossip &effect);

    boost::asio::ip::udp::endpoint localEndpoint() const;
    std::uint64_t droppedReceived() const
    {
        return droppedReceived_;
    }
    std::uint64_t droppedSent() const
    {
        return droppedSent_;
    }

private:
    void handleDatagram(std::string_view datagram, const boost::asio::ip::udp::endpoint &sender);

    boost::asio::ip::udp::socket socket_;
    Handler handler_;
    std::uint64_t droppedReceived_ = 0;
    std::uint64_t droppedSent_ = 0;
};

} // namespace LaburnumChute::Peers
