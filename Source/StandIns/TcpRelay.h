#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "StandIns/HttpServer.h"
#include "StandIns/Link.h"

namespace LaburnumChute::StandIns {

/// One connection through the proxy. Each direction reads, keeps what it read until the link has
/// carried it, then writes.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
    RelayedConnection(asio::io_context &context, Tcp::socket client, LinkEnd link,
                      Tcp::endpoint target);

    void start();
    /// From now on nothing passes and neither end is told, as when a box between them has lost
    /// track of the connection.
    void silence();
    void abort();

private:
    struct Packet
    {
        Common::Time due;
        std::vector<char> data;
        /// The sender has closed; no data.
        bool last = false;
    };
    struct Way
    {
        explicit Way(const asio::any_io_executor &executor);
        std::deque<Packet> packets;
        Signal changed;
        bool closed = false;
    };

    asio::awaitable<void> connect();
    asio::awaitable<void> read(Tcp::socket &from, Way &way, LinkDirection &direction);
    asio::awaitable<void> write(Tcp::socket &to, Way &way, LinkDirection &direction);
    void readWay(bool forward);

    asio::io_context &context_;
    Tcp::socket client_;
    Tcp::socket server_;
    LinkEnd link_;
    Tcp::endpoint target_;
    Way forward_;
    Way back_;
    bool silent_ = false;
};

/// A listening port whose connections go over a link to a target.
class TcpRelay
{
public:
    TcpRelay(asio::io_context &context, LinkEnd link, const nlohmann::json &settings);

    std::string address() const
    {
        return toString(endpoint_);
    }
    /// Brings listener and connections in line with the link after a change.
    void linkChanged();
    void silenceOpen();
    std::size_t openConnections() const;

private:
    void listen();
    asio::awaitable<void> accept();

    asio::io_context &context_;
    LinkEnd link_;
    Tcp::acceptor reservation_;
    Tcp::endpoint endpoint_;
    Tcp::endpoint target_;
    std::optional<Tcp::acceptor> acceptor_;
    std::vector<std::weak_ptr<RelayedConnection>> connections_;
};

} // namespace LaburnumChute::StandIns
