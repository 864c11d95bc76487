#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "StandIns/EngineRecord.h"
#include "StandIns/Faults.h"
#include "StandIns/HttpServer.h"

namespace LaburnumChute::StandIns {

struct ServiceSettings
{
    explicit ServiceSettings(const nlohmann::json &json);

    std::string id;
    std::string listen;
    std::size_t workers = 4;
    /// A call takes between half and one and a half times this, by the hash of its request id.
    Common::milliseconds serviceTime{40};
    Common::milliseconds loadLag{500};
};

/// A runner of a plain service: answers any path, runs each call it gets, also a repeated one.
class PlainService
{
public:
    PlainService(asio::io_context &context, ServiceSettings settings);

    void start();
    const std::string &id() const
    {
        return settings_.id;
    }
    std::string address() const
    {
        return server_.address();
    }
    void setFaults(const nlohmann::json &changes);
    const Faults &faults() const
    {
        return faults_;
    }
    nlohmann::json record() const;
    void clearRecord();

private:
    asio::awaitable<void> handle(ConnectionPointer connection);
    asio::awaitable<void> work(ConnectionPointer connection, Target target);
    asio::awaitable<void> sampleLoad();
    asio::awaitable<void> restartLater();
    void crash();
    Common::Duration serviceTime(const std::string &requestId) const;
    nlohmann::json loadReport() const;

    asio::io_context &context_;
    ServiceSettings settings_;
    HttpServer server_;
    Faults faults_;
    RunRecords records_;
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    std::uint64_t life_ = 1;
    Signal freed_;
    nlohmann::json load_;
    Common::Time loadAt_;
};

} // namespace LaburnumChute::StandIns
