#include "StandIns/EngineModels.h"

#include <algorithm>

namespace LaburnumChute::StandIns {

namespace {

constexpr Common::seconds LoadWithoutStore{2};
constexpr Common::milliseconds FetchRetry{500};

} // namespace

EngineModels::EngineModels(asio::io_context &context, std::string id, std::string weightStore,
                           bool checksFences)
    : context_(context)
    , id_(std::move(id))
    , weightStore_(std::move(weightStore))
    , checksFences_(checksFences)
{
}

void EngineModels::preload(const std::string &model, const std::string &version)
{
    models_[model] = {version, true, 0};
}

void EngineModels::preloadAdapter(const std::string &adapter)
{
    adapters_[adapter] = true;
}

EngineAnswer EngineModels::order(const nlohmann::json &order)
{
    const auto fence = order.value("fence", std::uint64_t{0});
    const bool refused = checksFences_ && fence < highestFence_;
    auto seen = order;
    seen["refused"] = refused;
    seen["at_ms"] = Common::toUnixMilliseconds(std::chrono::system_clock::now());
    orders_.push_back(std::move(seen));
    if (refused) {
        return {http::status::conflict, {{"highest_fence", highestFence_}}};
    }
    highestFence_ = std::max(highestFence_, fence);
    apply(order);
    return {http::status::accepted, nlohmann::json::object()};
}

void EngineModels::apply(const nlohmann::json &order)
{
    const auto action = order.value("action", std::string());
    const auto model = order.value("model", std::string());
    const auto version = order.value("version", std::string());
    const auto adapter = order.value("adapter", std::string());
    const auto target = "/v1/weights/" + model + "/" + version;
    if (action == "load_model") {
        const auto load = nextLoad_++;
        models_[model] = {version, false, load};
        asio::co_spawn(context_, loadModel(model, load, target), asio::detached);
    } else if (action == "unload_model") {
        models_.erase(model);
    } else if (action == "load_adapter") {
        adapters_[adapter] = false;
        asio::co_spawn(context_, loadAdapter(adapter, target + "?adapter=" + adapter),
                       asio::detached);
    } else if (action == "unload_adapter") {
        adapters_.erase(adapter);
    } else if (action == "set_role") {
        role_ = order.value("role", role_);
    }
}

asio::awaitable<void> EngineModels::loadModel(std::string model, std::uint64_t load,
                                              std::string target)
{
    co_await fetch(std::move(target));
    const auto found = models_.find(model);
    if (found != models_.end() && found->second.load == load) {
        found->second.ready = true;
    }
}

asio::awaitable<void> EngineModels::loadAdapter(std::string adapter, std::string target)
{
    co_await fetch(std::move(target));
    const auto found = adapters_.find(adapter);
    if (found != adapters_.end()) {
        found->second = true;
    }
}

asio::awaitable<void> EngineModels::fetch(std::string target)
{
    if (weightStore_.empty()) {
        co_await sleepFor(context_, LoadWithoutStore);
        co_return;
    }
    for (;;) {
        const auto answer = co_await httpGet(context_, weightStore_, target);
        if (answer.status == static_cast<unsigned>(http::status::ok)) {
            co_return;
        }
        const int wait = answer.retryAfter.empty() ? 0 : std::stoi(answer.retryAfter);
        co_await sleepFor(context_, std::max<Common::Duration>(Common::seconds(wait), FetchRetry));
    }
}

bool EngineModels::serves(const std::string &name) const
{
    const auto colon = name.find(':');
    const auto model = models_.find(name.substr(0, colon));
    if (model == models_.end() || !model->second.ready) {
        return false;
    }
    if (colon == std::string::npos) {
        return true;
    }
    const auto adapter = adapters_.find(name.substr(colon + 1));
    return adapter != adapters_.end() && adapter->second;
}

std::vector<std::string> EngineModels::readyModels() const
{
    std::vector<std::string> names;
    for (const auto &[name, model] : models_) {
        if (model.ready) {
            names.push_back(name);
        }
    }
    return names;
}

nlohmann::json EngineModels::state() const
{
    auto models = nlohmann::json::array();
    for (const auto &[name, model] : models_) {
        models.push_back({{"model", name},
                          {"version", model.version},
                          {"state", model.ready ? "ready" : "loading"}});
    }
    auto adapters = nlohmann::json::array();
    for (const auto &[name, ready] : adapters_) {
        adapters.push_back({{"adapter", name}, {"state", ready ? "ready" : "loading"}});
    }
    return {{"id", id_},
            {"role", role_},
            {"models", models},
            {"adapters", adapters},
            {"highest_fence", highestFence_},
            {"orders_seen", orders_.size()}};
}

} // namespace LaburnumChute::StandIns
