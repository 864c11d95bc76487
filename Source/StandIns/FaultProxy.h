#pragma once

#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "StandIns/Link.h"
#include "StandIns/TcpRelay.h"
#include "StandIns/UdpRelay.h"

namespace LaburnumChute::StandIns {

/// The proxies between processes under test. Each proxy is a port that leads to one target over a
/// named link; several proxies may share a link, and with it the link's rate and faults.
class FaultProxy
{
public:
    explicit FaultProxy(asio::io_context &context);

    /// Changes a link as Link::change() says, and makes it if it is new. The member "silence_open"
    /// set to true makes the connections that are open now go silent for good; new ones work.
    void setLink(const std::string &id, const nlohmann::json &changes);
    /// Adds {"id", "kind": "tcp" | "udp", "target": "ip:port", "link"}; its address. With
    /// "reversed" set to true the callers of this proxy are at the other end of the link.
    std::string add(const nlohmann::json &settings);

    nlohmann::json addresses() const;
    /// By link: bytes each way and open connections.
    nlohmann::json record() const;

private:
    struct TcpEntry
    {
        std::string link;
        std::unique_ptr<TcpRelay> relay;
    };

    std::shared_ptr<Link> link(const std::string &id);

    asio::io_context &context_;
    std::map<std::string, std::shared_ptr<Link>> links_;
    std::map<std::string, TcpEntry> tcp_;
    std::map<std::string, std::shared_ptr<UdpRelay>> udp_;
};

} // namespace LaburnumChute::StandIns
