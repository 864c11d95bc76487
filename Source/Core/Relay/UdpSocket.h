#pragma once

#include <array>
#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// Sends and receives datagrams between instances.
class UdpSocket
{
public:
    using Handler = std::function<void(std::string_view datagram)>;

    UdpSocket(boost::asio::io_context &context, Handler handler);

    Common::Result<void> open(const std::string &address);
    /// Sends without blocking. A datagram that the kernel does not accept immediately is dropped,
    /// since heartbeats are sent periodically.
    void send(const std::string &address, const std::string &datagram);

private:
    void receive();

    boost::asio::ip::udp::socket socket_;
    Handler handler_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 16 * 1024> buffer_{};
};

} // namespace LaburnumChute::Relay
