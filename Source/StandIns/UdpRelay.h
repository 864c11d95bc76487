#pragma once

#include <map>
#include <memory>
#include <vector>

#include "StandIns/HttpServer.h"
#include "StandIns/Link.h"

namespace LaburnumChute::StandIns {

using Udp = asio::ip::udp;

/// A UDP port whose datagrams go over a link to a target, and the target's answers back to who
/// asked. Datagrams are lost where a real link loses them: when it is cut, held or overfull.
class UdpRelay : public std::enable_shared_from_this<UdpRelay>
{
public:
    UdpRelay(asio::io_context &context, LinkEnd link, const nlohmann::json &settings);

    void start();
    /// Ends the relay. It is destroyed when its pending receives have ended.
    void close();

    std::string address() const;

private:
    using SocketPointer = std::shared_ptr<Udp::socket>;

    asio::awaitable<void> receiveFromClients();
    asio::awaitable<void> receiveFromTarget(SocketPointer socket, Udp::endpoint client);
    SocketPointer upstream(const Udp::endpoint &client);
    void forward(const SocketPointer &socket, const Udp::endpoint &to, std::vector<char> data,
                 LinkDirection &direction);

    asio::io_context &context_;
    LinkEnd link_;
    SocketPointer socket_;
    Udp::endpoint target_;
    std::map<Udp::endpoint, SocketPointer> clients_;
    bool closed_ = false;
};

} // namespace LaburnumChute::StandIns
