#include "Peers/GossipSocket.h"

#include <array>
#include <charconv>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "Common/Log.h"

namespace LaburnumChute::Peers {

namespace asio = boost::asio;
using Common::LogLevel;
using Common::LogType;

namespace {

/// Holds the datagrams that arrive while the process is paused for one or two seconds.
constexpr int ReceiveBufferBytes = 1 << 20;

Cluster::Address toAddress(const asio::ip::udp::endpoint &endpoint)
{
    return Cluster::Address(fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port()));
}

} // namespace

Common::Result<asio::ip::udp::endpoint> parseUdpAddress(const Cluster::Address &address)
{
    const std::string &text = address.text();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 fmt::format("\"{}\" is not ip:port", text));
    }
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 fmt::format("\"{}\" is not ip:port", text));
    }
    return asio::ip::udp::endpoint(ip, port);
}

GossipSocket::GossipSocket(const asio::any_io_executor &executor, Handler handler)
    : socket_(executor)
    , handler_(std::move(handler))
{
}

Common::Result<void> GossipSocket::open(const asio::ip::udp::endpoint &local)
{
    boost::system::error_code error;
    socket_.open(local.protocol(), error);
    if (!error) {
        socket_.bind(local, error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        return Common::makeError(
            Common::ErrorCode::Unavailable,
            fmt::format("cannot bind UDP {}: {}", toAddress(local), error.message()));
    }
    // Ignored: a smaller buffer only drops more datagrams.
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ignored);
    return {};
}

asio::awaitable<void> GossipSocket::run()
{
    std::array<char, 2 * Cluster::MaxDatagramBytes> buffer;
    while (socket_.is_open()) {
        asio::ip::udp::endpoint sender;
        boost::system::error_code error;
        const std::size_t size = co_await socket_.async_receive_from(
            asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || !socket_.is_open()) {
            co_return;
        }
        // A peer's "port unreachable" reply is reported as an error of this socket; the next
        // receive works.
        if (!error) {
            handleDatagram(std::string_view(buffer.data(), size), sender);
        }
    }
}

void GossipSocket::handleDatagram(std::string_view datagram, const asio::ip::udp::endpoint &sender)
{
    auto message = Cluster::decode(datagram);
    if (!message) {
        ++droppedReceived_;
        Common::log(LogType::Peers, LogLevel::Debug, "dropped a datagram from {}: {}",
                    toAddress(sender), message.error().message);
        return;
    }
    handler_(toAddress(sender), std::move(*message));
}

void GossipSocket::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void GossipSocket::send(const Cluster::SendGossip &effect)
{
    const auto endpoint = parseUdpAddress(effect.to);
    if (!endpoint || !socket_.is_open()) {
        ++droppedSent_;
        return;
    }
    const std::string datagram = Cluster::encode(effect.message);
    boost::system::error_code error;
    socket_.send_to(asio::buffer(datagram), *endpoint, 0, error);
    if (error) {
        ++droppedSent_;
    }
}

asio::ip::udp::endpoint GossipSocket::localEndpoint() const
{
    boost::system::error_code ignored;
    return socket_.local_endpoint(ignored);
}

} // namespace LaburnumChute::Peers
