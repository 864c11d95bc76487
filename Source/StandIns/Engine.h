#pragma once

#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "StandIns/BatchScheduler.h"
#include "StandIns/EngineModels.h"
#include "StandIns/EngineRecord.h"
#include "StandIns/EngineStream.h"
#include "StandIns/Faults.h"
#include "StandIns/HttpServer.h"

namespace LaburnumChute::StandIns {

/// Settings of one engine, as a scenario writes them.
struct EngineSettings
{
    explicit EngineSettings(const nlohmann::json &json);

    std::string id;
    std::string listen;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string version;
    std::string weightStore;
    BatchSettings batch;
    std::size_t queueLimit = 1000;
    std::size_t defaultMaxTokens = 64;
    bool checksFences = true;
    /// Answers depend on the engine too, as with a sampling temperature above zero.
    bool sampled = false;
    /// Age that the load report may have.
    Common::milliseconds loadLag{500};
    Common::milliseconds cacheEventDelay{1000};
    /// One in so many cache events is never published; zero for none.
    std::uint64_t cacheEventGap = 17;
    /// How long after a connection closed the engine stops its work.
    Common::milliseconds closeNotice{1000};
    /// How long a finished stream can be resumed.
    Common::milliseconds streamRetention{30000};
    /// Size of the KV cache of one token, for export.
    std::size_t kvBytesPerToken = 1024;
};

/// A model engine's stand-in on a port of its own: docs/PROTOCOLS.md, "Model engines".
class Engine
{
public:
    Engine(asio::io_context &context, EngineSettings settings);

    void start();
    const std::string &id() const
    {
        return settings_.id;
    }
    std::string address() const
    {
        return server_.address();
    }
    const Faults &faults() const
    {
        return faults_;
    }
    /// Takes changes to the faults; the member "crash" crashes it now.
    void setFaults(const nlohmann::json &changes);
    nlohmann::json record(bool withTokenTimes) const;
    void clearRecord();

private:
    asio::awaitable<void> handle(ConnectionPointer connection);
    asio::awaitable<void> complete(ConnectionPointer connection, bool chat);
    asio::awaitable<void> streamTo(ConnectionPointer connection, StreamPointer stream,
                                   std::size_t after);
    asio::awaitable<void> writeStream(ConnectionPointer connection, StreamPointer stream,
                                      std::size_t after, std::uint64_t reader);
    asio::awaitable<void> answerWhole(ConnectionPointer connection, StreamPointer stream);
    asio::awaitable<void> resume(ConnectionPointer connection, std::string requestId);
    asio::awaitable<void> cancel(ConnectionPointer connection, std::string requestId);
    asio::awaitable<void> keyValueCache(ConnectionPointer connection, std::string prefix);
    asio::awaitable<void> refuse(ConnectionPointer connection, std::string reason);
    asio::awaitable<void> run();
    asio::awaitable<void> sampleLoad();
    asio::awaitable<void> restartLater();
    /// Dies with all connections and memory, and comes back as the faults say.
    void crash();

    /// Answers the calls that neither run nor stop a request.
    EngineAnswer report(const Target &target, const std::string &body);
    StreamPointer submit(const HttpConnection &connection, const nlohmann::json &body, bool chat);
    void deliver(const TokenEvent &event, Common::Time now);
    void finish(EngineStream &stream, StreamEnd end, std::string recordEnd);
    void readerLeft(const StreamPointer &stream, std::uint64_t reader);
    void stopAfterNotice(const StreamPointer &stream, std::uint64_t reader);
    void forgetOldStreams();
    nlohmann::json loadReport() const;
    nlohmann::json cacheEvents(std::uint64_t after);

    asio::io_context &context_;
    EngineSettings settings_;
    BatchScheduler scheduler_;
    EngineModels models_;
    HttpServer server_;
    Faults faults_;
    RunRecords records_;
    Signal work_;
    std::uint64_t nextSequence_ = 1;
    std::uint64_t life_ = 1;
    std::map<std::uint64_t, StreamPointer> active_;
    std::map<std::string, StreamPointer> byName_;
    std::deque<StreamPointer> ended_;
    nlohmann::json load_;
    Common::Time loadAt_;
};

} // namespace LaburnumChute::StandIns
