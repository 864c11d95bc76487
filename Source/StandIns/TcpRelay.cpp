#include "StandIns/TcpRelay.h"

#include <algorithm>

namespace LaburnumChute::StandIns {

namespace {

constexpr std::size_t ReadBlock = 64UL * 1024;
/// Packets that one direction of a connection may have under way, as a TCP window bounds them.
constexpr std::size_t MaxPackets = 128;
/// A reader holds back while the link has more than this to send.
constexpr Common::milliseconds MaxBacklog{100};
constexpr Common::milliseconds Poll{2};

Common::Time now()
{
    return std::chrono::steady_clock::now();
}

void reset(Tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

RelayedConnection::Way::Way(const asio::any_io_executor &executor)
    : changed(executor)
{
}

RelayedConnection::RelayedConnection(asio::io_context &context, Tcp::socket client, LinkEnd link,
                                     Tcp::endpoint target)
    : context_(context)
    , client_(std::move(client))
    , server_(client_.get_executor())
    , link_(std::move(link))
    , target_(std::move(target))
    , forward_(client_.get_executor())
    , back_(client_.get_executor())
{
}

void RelayedConnection::start()
{
    asio::co_spawn(
        client_.get_executor(), [self = shared_from_this()] { return self->connect(); },
        asio::detached);
}

asio::awaitable<void> RelayedConnection::connect()
{
    // The handshake of the real connection takes one round trip.
    co_await sleepFor(context_, link_.out().delay + link_.in().delay);
    while (link_.out().held || link_.in().held) {
        co_await sleepFor(context_, Poll);
    }
    boost::system::error_code error;
    co_await server_.async_connect(target_, asio::redirect_error(asio::use_awaitable, error));
    if (error || !client_.is_open()) {
        abort();
        co_return;
    }
    client_.set_option(Tcp::no_delay(true), error);
    server_.set_option(Tcp::no_delay(true), error);
    readWay(true);
    readWay(false);
}

void RelayedConnection::readWay(bool forward)
{
    auto &from = forward ? client_ : server_;
    auto &to = forward ? server_ : client_;
    auto &way = forward ? forward_ : back_;
    auto &direction = forward ? link_.out() : link_.in();
    const auto self = shared_from_this();
    asio::co_spawn(
        from.get_executor(),
        [self, &from, &way, &direction] { return self->read(from, way, direction); },
        asio::detached);
    asio::co_spawn(
        from.get_executor(),
        [self, &to, &way, &direction] { return self->write(to, way, direction); }, asio::detached);
}

asio::awaitable<void> RelayedConnection::read(Tcp::socket &from, Way &way, LinkDirection &direction)
{
    const auto self = shared_from_this();
    std::vector<char> buffer(ReadBlock);
    for (;;) {
        while (!silent_
               && (way.packets.size() >= MaxPackets || direction.backlog(now()) > MaxBacklog)) {
            co_await sleepFor(context_, Poll);
        }
        boost::system::error_code error;
        const auto count = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (silent_ && !error) {
            continue;
        }
        if (silent_) {
            co_return;
        }
        if (error && error != asio::error::eof) {
            abort();
            co_return;
        }
        Packet packet;
        packet.due = direction.send(count, now());
        packet.data.assign(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(count));
        packet.last = static_cast<bool>(error);
        const bool last = packet.last;
        way.packets.push_back(std::move(packet));
        way.changed.notify();
        if (last) {
            co_return;
        }
    }
}

asio::awaitable<void> RelayedConnection::write(Tcp::socket &to, Way &way, LinkDirection &direction)
{
    const auto self = shared_from_this();
    for (;;) {
        while (way.packets.empty() && !way.closed) {
            co_await way.changed.wait();
        }
        if (way.closed) {
            co_return;
        }
        const auto packet = std::move(way.packets.front());
        way.packets.pop_front();
        if (packet.due > now()) {
            co_await sleepFor(context_, packet.due - now());
        }
        while (direction.held && !way.closed) {
            co_await sleepFor(context_, Poll);
        }
        if (silent_ || way.closed) {
            continue;
        }
        boost::system::error_code error;
        if (packet.last) {
            to.shutdown(Tcp::socket::shutdown_send, error);
            co_return;
        }
        co_await asio::async_write(to, asio::buffer(packet.data),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            abort();
            co_return;
        }
    }
}

void RelayedConnection::silence()
{
    silent_ = true;
}

void RelayedConnection::abort()
{
    if (silent_) {
        return;
    }
    reset(client_);
    reset(server_);
    forward_.closed = true;
    back_.closed = true;
    forward_.changed.notify();
    back_.changed.notify();
}

TcpRelay::TcpRelay(asio::io_context &context, LinkEnd link, const nlohmann::json &settings)
    : context_(context)
    , link_(std::move(link))
    , reservation_(bindAcceptor(context, parseEndpoint(settings.value("listen", "127.0.0.1:0"))))
    , endpoint_(reservation_.local_endpoint())
    , target_(parseEndpoint(settings.at("target")))
{
    listen();
}

void TcpRelay::listen()
{
    acceptor_.emplace(bindAcceptor(context_, endpoint_));
    acceptor_->listen(asio::socket_base::max_listen_connections);
    asio::co_spawn(
        context_, [this] { return accept(); }, asio::detached);
}

asio::awaitable<void> TcpRelay::accept()
{
    for (;;) {
        boost::system::error_code error;
        auto socket =
            co_await acceptor_->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (error) {
            co_await sleepFor(context_, Poll);
            continue;
        }
        connections_.erase(std::remove_if(connections_.begin(), connections_.end(),
                                          [](const auto &weak) { return weak.expired(); }),
                           connections_.end());
        const auto connection =
            std::make_shared<RelayedConnection>(context_, std::move(socket), link_, target_);
        connections_.push_back(connection);
        connection->start();
    }
}

void TcpRelay::linkChanged()
{
    const bool listening = acceptor_ && acceptor_->is_open();
    if (!link_.cut() && !listening) {
        listen();
    }
    if (!link_.cut()) {
        return;
    }
    if (listening) {
        boost::system::error_code ignored;
        acceptor_->close(ignored);
    }
    for (const auto &weak : connections_) {
        if (const auto connection = weak.lock()) {
            connection->abort();
        }
    }
}

void TcpRelay::silenceOpen()
{
    for (const auto &weak : connections_) {
        if (const auto connection = weak.lock()) {
            connection->silence();
        }
    }
}

std::size_t TcpRelay::openConnections() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto &weak) { return !weak.expired(); }));
}

} // namespace LaburnumChute::StandIns
