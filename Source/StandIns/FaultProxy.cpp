#include "StandIns/FaultProxy.h"

namespace LaburnumChute::StandIns {

FaultProxy::FaultProxy(asio::io_context &context)
    : context_(context)
{
}

std::shared_ptr<Link> FaultProxy::link(const std::string &id)
{
    auto &link = links_[id];
    if (!link) {
        link = std::make_shared<Link>();
    }
    return link;
}

void FaultProxy::setLink(const std::string &id, const nlohmann::json &changes)
{
    link(id)->change(changes);
    for (auto &[name, entry] : tcp_) {
        if (entry.link != id) {
            continue;
        }
        entry.relay->linkChanged();
        if (changes.value("silence_open", false)) {
            entry.relay->silenceOpen();
        }
    }
}

std::string FaultProxy::add(const nlohmann::json &settings)
{
    const auto id = settings.at("id").get<std::string>();
    const auto linkId = settings.at("link").get<std::string>();
    const LinkEnd end(link(linkId), settings.value("reversed", false));
    if (settings.value("kind", "tcp") == "udp") {
        auto &relay = udp_[id];
        if (relay) {
            relay->close();
        }
        relay = std::make_shared<UdpRelay>(context_, end, settings);
        relay->start();
        return relay->address();
    }
    tcp_[id] = {linkId, std::make_unique<TcpRelay>(context_, end, settings)};
    return tcp_[id].relay->address();
}

nlohmann::json FaultProxy::addresses() const
{
    nlohmann::json all = nlohmann::json::object();
    for (const auto &[id, entry] : tcp_) {
        all[id] = entry.relay->address();
    }
    for (const auto &[id, relay] : udp_) {
        all[id] = relay->address();
    }
    return all;
}

nlohmann::json FaultProxy::record() const
{
    nlohmann::json all = nlohmann::json::object();
    for (const auto &[id, link] : links_) {
        std::size_t open = 0;
        for (const auto &[name, entry] : tcp_) {
            open += entry.link == id ? entry.relay->openConnections() : 0;
        }
        all[id] = {{"bytes_forward", link->forward.bytes},
                   {"bytes_back", link->back.bytes},
                   {"open", open}};
    }
    return all;
}

} // namespace LaburnumChute::StandIns
