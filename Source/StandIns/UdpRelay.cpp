#include "StandIns/UdpRelay.h"

namespace LaburnumChute::StandIns {

namespace {

constexpr std::size_t MaxDatagram = 65536;
/// A datagram that would wait longer than this on the link is lost.
constexpr Common::milliseconds MaxBacklog{100};

Udp::endpoint udpEndpoint(const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    return {endpoint.address(), endpoint.port()};
}

} // namespace

UdpRelay::UdpRelay(asio::io_context &context, LinkEnd link, const nlohmann::json &settings)
    : context_(context)
    , link_(std::move(link))
    , socket_(std::make_shared<Udp::socket>(context,
                                            udpEndpoint(settings.value("listen", "127.0.0.1:0"))))
    , target_(udpEndpoint(settings.at("target")))
{
}

void UdpRelay::start()
{
    asio::co_spawn(
        context_, [self = shared_from_this()] { return self->receiveFromClients(); },
        asio::detached);
}

void UdpRelay::close()
{
    closed_ = true;
    boost::system::error_code ignored;
    socket_->close(ignored);
    for (const auto &[client, socket] : clients_) {
        socket->close(ignored);
    }
}

std::string UdpRelay::address() const
{
    const auto endpoint = socket_->local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

asio::awaitable<void> UdpRelay::receiveFromClients()
{
    const auto self = shared_from_this();
    std::vector<char> buffer(MaxDatagram);
    for (;;) {
        Udp::endpoint client;
        boost::system::error_code error;
        const auto count = co_await socket_->async_receive_from(
            asio::buffer(buffer), client, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || closed_) {
            co_return;
        }
        if (!error) {
            const auto end = buffer.begin() + static_cast<std::ptrdiff_t>(count);
            forward(upstream(client), target_, {buffer.begin(), end}, link_.out());
        }
    }
}

UdpRelay::SocketPointer UdpRelay::upstream(const Udp::endpoint &client)
{
    auto &socket = clients_[client];
    if (!socket) {
        socket = std::make_shared<Udp::socket>(context_, Udp::endpoint(Udp::v4(), 0));
        asio::co_spawn(
            context_,
            [self = shared_from_this(), socket, client] {
                return self->receiveFromTarget(socket, client);
            },
            asio::detached);
    }
    return socket;
}

asio::awaitable<void> UdpRelay::receiveFromTarget(SocketPointer socket, Udp::endpoint client)
{
    const auto self = shared_from_this();
    std::vector<char> buffer(MaxDatagram);
    for (;;) {
        Udp::endpoint from;
        boost::system::error_code error;
        const auto count = co_await socket->async_receive_from(
            asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || closed_) {
            co_return;
        }
        if (!error) {
            const auto end = buffer.begin() + static_cast<std::ptrdiff_t>(count);
            forward(socket_, client, {buffer.begin(), end}, link_.in());
        }
    }
}

void UdpRelay::forward(const SocketPointer &socket, const Udp::endpoint &to, std::vector<char> data,
                       LinkDirection &direction)
{
    const auto now = std::chrono::steady_clock::now();
    if (link_.cut() || direction.held || direction.backlog(now) > MaxBacklog) {
        return;
    }
    const auto due = direction.send(data.size(), now);
    const auto timer = std::make_shared<asio::steady_timer>(context_, due);
    const auto kept = std::make_shared<std::vector<char>>(std::move(data));
    const auto link = link_;
    const auto *way = &direction;
    timer->async_wait([link, way, socket, to, timer, kept](boost::system::error_code error) {
        if (error || link.cut() || way->held) {
            return;
        }
        boost::system::error_code ignored;
        socket->send_to(asio::buffer(*kept), to, 0, ignored);
    });
}

} // namespace LaburnumChute::StandIns
