#pragma once

#include <list>
#include <map>
#include <optional>

#include <nlohmann/json.hpp>

#include "StandIns/Engine.h"
#include "StandIns/FaultProxy.h"
#include "StandIns/HttpServer.h"
#include "StandIns/PlainService.h"
#include "StandIns/Platform.h"

namespace LaburnumChute::StandIns {

/// All stand-ins of one process, built from a scenario, and their control port:
///
///     GET  /addresses                 {"control", "<id>": "ip:port", ...}
///     GET  /record?times=true         what ran, by stand-in
///     POST /record/clear
///     POST /faults/<id>               changes of an endpoint's or a platform service's faults
///     POST /publish                   {"follows", "content"} to the configuration service
///     POST /instances, /directory     a new truth
///     POST /proxies                   {"id", "kind", "target", "link"} adds one: {"address"}
///     POST /links/<id>                changes of a link, see FaultProxy.h
class Host
{
public:
    Host(asio::io_context &context, const nlohmann::json &scenario);

    void start();
    nlohmann::json addresses() const;

private:
    asio::awaitable<void> handle(ConnectionPointer connection);
    std::pair<http::status, nlohmann::json> answer(http::verb method, const Target &target,
                                                   const std::string &body);
    std::pair<http::status, nlohmann::json> change(const Target &target,
                                                   const nlohmann::json &body);
    bool setFaults(const std::string &id, const nlohmann::json &changes);
    nlohmann::json record(bool withTokenTimes) const;
    void clearRecord();

    asio::io_context &context_;
    std::string listen_;
    HttpServer control_;
    std::list<Engine> engines_;
    std::list<PlainService> services_;
    std::optional<ConfigurationService> configuration_;
    std::optional<InstanceList> instances_;
    std::optional<Directory> directory_;
    std::optional<WeightStore> weights_;
    FaultProxy proxy_;
};

} // namespace LaburnumChute::StandIns
