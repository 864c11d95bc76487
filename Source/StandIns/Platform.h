#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "StandIns/HttpServer.h"

namespace LaburnumChute::StandIns {

/// The configuration service: numbered versions, read and watched by HTTP, published only on the
/// control port of the test.
class ConfigurationService
{
public:
    ConfigurationService(asio::io_context &context, const nlohmann::json &settings);

    void start();
    std::string address() const
    {
        return server_.address();
    }
    /// Publishes {"follows", "content"}: the new number, or an error when another came before.
    std::pair<http::status, nlohmann::json> publish(const nlohmann::json &publication);
    /// "down": resets all connections; "hang": answers nothing; "stale_at": shows nothing above
    /// this number (0 ends it); "revert_to": gives this older version as the newest, also to who
    /// has a newer one (0 ends it); "forged": a content that every second read gets under the
    /// newest number in place of the published one (null ends it).
    void setFaults(const nlohmann::json &changes);
    nlohmann::json record() const;

private:
    asio::awaitable<void> handle(ConnectionPointer connection);
    asio::awaitable<void> get(ConnectionPointer connection, Target target);
    std::uint64_t visibleNumber() const;
    nlohmann::json versionDocument(std::uint64_t number);

    asio::io_context &context_;
    std::string listen_;
    HttpServer server_;
    std::map<std::uint64_t, nlohmann::json> versions_;
    Signal changed_;
    bool down_ = false;
    bool hang_ = false;
    std::uint64_t staleAt_ = 0;
    std::uint64_t revertTo_ = 0;
    nlohmann::json forged_;
    std::uint64_t reads_ = 0;
    std::uint64_t watching_ = 0;
    Common::Time startedAt_;
};

/// The list of instances and endpoints, which each viewer sees some time late.
class InstanceList
{
public:
    InstanceList(asio::io_context &context, const nlohmann::json &settings);

    void start();
    std::string address() const
    {
        return server_.address();
    }
    /// Replaces what is true from now on: {"instances": [...], "endpoints": [...]}. An instance may
    /// carry "via": {"<viewer>": {"http", "gossip", "channel"}}, the addresses for that viewer.
    void setTruth(nlohmann::json truth);
    /// {"lag_ms": n, "viewer_lag_ms": {"<viewer>": n}, "down": bool}
    void setFaults(const nlohmann::json &changes);
    nlohmann::json record() const;

private:
    struct Snapshot
    {
        Common::Time from;
        std::uint64_t fromMs = 0;
        nlohmann::json truth;
    };

    asio::awaitable<void> handle(ConnectionPointer connection);
    nlohmann::json view(const std::string &viewer) const;

    std::string listen_;
    HttpServer server_;
    std::deque<Snapshot> history_;
    Common::milliseconds lag_{500};
    std::map<std::string, Common::milliseconds> viewerLag_;
    bool down_ = false;
    std::uint64_t reads_ = 0;
};

/// Tells clients the addresses of the entry instances of a customer.
class Directory
{
public:
    Directory(asio::io_context &context, const nlohmann::json &settings);

    void start();
    std::string address() const
    {
        return server_.address();
    }
    /// {"<customer>": ["ip:port", ...]}
    void setEntries(nlohmann::json entries);

private:
    asio::awaitable<void> handle(ConnectionPointer connection);

    std::string listen_;
    HttpServer server_;
    nlohmann::json entries_ = nlohmann::json::object();
};

/// Hands out weights at a bounded rate.
class WeightStore
{
public:
    WeightStore(asio::io_context &context, const nlohmann::json &settings);

    void start();
    std::string address() const
    {
        return server_.address();
    }
    nlohmann::json record() const;

private:
    asio::awaitable<void> handle(ConnectionPointer connection);
    asio::awaitable<void> send(ConnectionPointer connection, std::size_t bytes);

    asio::io_context &context_;
    std::string listen_;
    HttpServer server_;
    std::size_t loadsPerMinute_;
    double megabitsPerSecond_;
    std::size_t modelBytes_;
    std::size_t adapterBytes_;
    /// Starts of the loads of the last minute.
    std::deque<Common::Time> loads_;
    Common::Time sendFreeAt_;
    std::uint64_t served_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace LaburnumChute::StandIns
