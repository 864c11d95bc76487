#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "StandIns/HttpServer.h"

namespace LaburnumChute::StandIns {

/// Status and body of a call that the engine answers at once.
struct EngineAnswer
{
    http::status status;
    nlohmann::json body;
};

/// The models and adapters of one engine and the orders that change them.
class EngineModels
{
public:
    /// The weight store may be empty: then a load takes two seconds.
    EngineModels(asio::io_context &context, std::string id, std::string weightStore,
                 bool checksFences);

    /// Puts a model in place without a load, as at the engine's start.
    void preload(const std::string &model, const std::string &version);
    void preloadAdapter(const std::string &adapter);
    /// Takes an order; a load goes on in the background.
    EngineAnswer order(const nlohmann::json &order);

    /// True when "<model>" or "<model>:<adapter>" is loaded.
    bool serves(const std::string &name) const;
    std::vector<std::string> readyModels() const;
    nlohmann::json state() const;
    /// All orders that came in, refused ones too.
    const nlohmann::json &orders() const
    {
        return orders_;
    }

private:
    struct Model
    {
        std::string version;
        bool ready = false;
        /// Tells an older load of the same model that it was overtaken.
        std::uint64_t load = 0;
    };

    void apply(const nlohmann::json &order);
    asio::awaitable<void> loadModel(std::string model, std::uint64_t load, std::string target);
    asio::awaitable<void> loadAdapter(std::string adapter, std::string target);
    asio::awaitable<void> fetch(std::string target);

    asio::io_context &context_;
    std::string id_;
    std::string weightStore_;
    bool checksFences_;
    std::string role_ = "serve";
    std::uint64_t highestFence_ = 0;
    std::uint64_t nextLoad_ = 1;
    std::map<std::string, Model> models_;
    std::map<std::string, bool> adapters_;
    nlohmann::json orders_ = nlohmann::json::array();
};

} // namespace LaburnumChute::StandIns
