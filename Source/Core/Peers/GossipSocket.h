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

/// Parses "ip:port" as a UDP endpoint; host names are not resolved.
Common::Result<boost::asio::ip::udp::endpoint> parseUdpAddress(const Cluster::Address &address);

/// Sends and receives gossip over UDP. Must be used from one strand; the handler runs on it.
class GossipSocket
{
public:
    using Handler =
        std::function<void(const Cluster::Address &from, Cluster::GossipMessage message)>;

    GossipSocket(const boost::asio::any_io_executor &executor, Handler handler);

    /// Binds the socket; port 0 selects a free port.
    Common::Result<void> open(const boost::asio::ip::udp::endpoint &local);
    /// Receives until close(). Datagrams that are not gossip messages are counted and dropped.
    boost::asio::awaitable<void> run();
    void close();

    /// Sends without blocking. A datagram that the system does not accept immediately is dropped:
    /// gossip is repeated, and a queue would deliver outdated state late.
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
