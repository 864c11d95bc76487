#include "Relay/InboundServer.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "Async/Async.h"

namespace LaburnumChute::Relay {

namespace {

/// Order in which connections give up memory: those that do not read, then those with the most.
std::pair<bool, std::size_t> excess(const InboundConnection &connection, Common::Time now)
{
    const auto bytes = connection.heldBytes();
    return {bytes > 0 && connection.unread(now), bytes};
}

} // namespace

InboundServer::InboundServer(asio::io_context &context, std::size_t connectionLimit,
                             InboundConnection::LimitsSource limits,
                             InboundConnection::Handler handler, ConnectionObserver observer,
                             InboundConnection::MemoryObserver memoryObserver,
                             Common::Headers rejectionHeaders)
    : context_(context)
    , connectionLimit_(connectionLimit)
    , limits_(std::move(limits))
    , handler_(std::move(handler))
    , observer_(std::move(observer))
    , memoryObserver_(std::move(memoryObserver))
    , rejectionHeaders_(std::move(rejectionHeaders))
    , acceptor_(context)
{
}

Common::Result<std::string> InboundServer::listen(const std::string &address)
{
    auto bound = Async::listenOn(acceptor_, address);
    if (bound) {
        accept();
    }
    return bound;
}

void InboundServer::accept()
{
    acceptor_.async_accept(context_, [this](const boost::system::error_code &error,
                                            asio::ip::tcp::socket socket) {
        // A connection may have been accepted in the turn in which the acceptor was closed.
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (error) {
            // Without a free descriptor, accepting would fail again at once.
            acceptAtTick_ = true;
            return;
        }
        // A connection beyond the limit takes the place of an idle one, or is closed unread, so
        // that the caller tries another instance. Accepting more could use up the descriptors
        // needed for endpoints.
        if (connections_.size() < connectionLimit_ || closeIdlest()) {
            auto connection =
                std::make_shared<InboundConnection>(std::move(socket), limits_, handler_, observer_,
                                                    memoryObserver_, rejectionHeaders_);
            connections_.push_back(connection);
            connection->start(std::chrono::steady_clock::now());
            if (closeAfterResponse_) {
                connection->closeAfterNextResponse();
            }
        }
        accept();
    });
}

bool InboundServer::closeIdlest()
{
    auto idlest = connections_.end();
    for (auto each = connections_.begin(); each != connections_.end(); ++each) {
        const auto since = (*each)->idleSince();
        if (since && (idlest == connections_.end() || *since < *(*idlest)->idleSince())) {
            idlest = each;
        }
    }
    if (idlest == connections_.end() || !(*idlest)->closeIfIdle()) {
        return false;
    }
    connections_.erase(idlest);
    return true;
}

void InboundServer::limitReceiveBuffers(int bytes)
{
    boost::system::error_code ignored;
    acceptor_.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
}

void InboundServer::stopAccepting()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void InboundServer::closeAfterNextResponses()
{
    closeAfterResponse_ = true;
    for (const auto &connection : connections_) {
        connection->closeAfterNextResponse();
    }
}

void InboundServer::closeGracefully()
{
    closeAfterResponse_ = true;
    for (const auto &connection : connections_) {
        connection->closeGracefully();
    }
}

void InboundServer::tick(Common::Time now)
{
    for (const auto &connection : connections_) {
        connection->tick(now);
    }
    std::erase_if(connections_, [](const auto &connection) { return !connection->open(); });
    if (std::exchange(acceptAtTick_, false) && acceptor_.is_open()) {
        accept();
    }
}

std::shared_ptr<InboundConnection> InboundServer::mostUnsent(Common::Time now) const
{
    const auto largest = std::max_element(connections_.begin(), connections_.end(),
                                          [now](const auto &one, const auto &other) {
                                              return excess(*one, now) < excess(*other, now);
                                          });
    return largest == connections_.end() || (*largest)->heldBytes() == 0 ? nullptr : *largest;
}

void InboundServer::limitUnsent(const std::vector<InboundServer *> &servers, std::size_t limit,
                                Common::Time now)
{
    std::size_t total = 0;
    for (const auto *server : servers) {
        total += server->unsentBytes();
    }
    while (total > limit) {
        std::shared_ptr<InboundConnection> largest;
        for (const auto *server : servers) {
            const auto candidate = server->mostUnsent(now);
            if (candidate && (!largest || excess(*largest, now) < excess(*candidate, now))) {
                largest = candidate;
            }
        }
        if (!largest) {
            return;
        }
        total -= largest->heldBytes();
        largest->reset(ConnectionEnd::MemoryLimit);
    }
}

std::size_t InboundServer::pending(Common::Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [now](const auto &connection) {
            return connection->open() && !connection->stalled(now);
        }));
}

void InboundServer::closeForExit()
{
    for (const auto &connection : connections_) {
        connection->closeForExit();
    }
}

std::size_t InboundServer::delivering(Common::Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [now](const auto &connection) { return connection->delivering(now); }));
}

std::size_t InboundServer::unsentBytes() const
{
    return std::accumulate(
        connections_.begin(), connections_.end(), std::size_t(0),
        [](std::size_t sum, const auto &connection) { return sum + connection->heldBytes(); });
}

std::size_t InboundServer::serving() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto &connection) { return connection->serving(); }));
}

} // namespace LaburnumChute::Relay
