#include "Relay/UdpSocket.h"

#include "Async/Async.h"

namespace LaburnumChute::Relay {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/// Holds what a process that was suspended for a second or two finds waiting for it.
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
    // A smaller buffer only loses more datagrams.
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
                                   // A closed port at a peer comes back as an error of this
                                   // socket; the next receive works.
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
