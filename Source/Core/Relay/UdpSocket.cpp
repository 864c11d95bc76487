#include "Relay/UdpSocket.h"

#include "Async/Async.h"

namespace LaburnumChute::Relay {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/// Large enough for the datagrams that arrive while the process is suspended for 1 to 2 s.
constexpr int ReceiveBufferBytes = 256 * 1024;

} // namespace

UdpSocket::UdpSocket(asio::io_context &context, Handler handler)
    : socket_(context)
    , handler_(std::move(handler))
{
}

Common::Result<void> UdpSocket::open(const std::string &address)
{
    const auto parsed = Async::parseTcpAddress(address);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    const udp::endpoint local(parsed->address(), parsed->port());
    boost::system::error_code error;
    socket_.open(local.protocol(), error);
    if (!error) {
        socket_.bind(local, error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        return Common::makeError(Common::ErrorCode::Unavailable,
                                 "cannot bind UDP " + address + ": " + error.message());
    }
    // If this fails, the default buffer is used, and more datagrams may be lost.
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ignored);
    receive();
    return {};
}

void UdpSocket::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](const boost::system::error_code &error, std::size_t size) {
                                   if (error == asio::error::operation_aborted) {
                                       return;
                                   }
                                   // A closed port at a peer is reported as an error on this
                                   // socket; later receives still work.
                                   if (!error) {
                                       handler_(std::string_view(buffer_.data(), size));
                                   }
                                   receive();
                               });
}

void UdpSocket::send(const std::string &address, const std::string &datagram)
{
    const auto parsed = Async::parseTcpAddress(address);
    if (!parsed) {
        return;
    }
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(datagram), udp::endpoint(parsed->address(), parsed->port()), 0,
                    ignored);
}

} // namespace LaburnumChute::Relay
