#include "Gateway/OrderRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace LaburnumChute::Gateway {

namespace {

using nlohmann::json;

constexpr Common::LogType LogCategory = Common::LogType::Cluster;
constexpr Common::milliseconds LoopInterval{250};
/// A longer gap between iterations means that this process was paused.
constexpr Common::milliseconds PauseThreshold{1000};
constexpr Common::milliseconds LimitsInterval{30000};
constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned Conflict = 409;

std::string_view nameOf(Cluster::OrderAction action)
{
    switch (action) {
    case Cluster::OrderAction::SetRole:
        return "set_role";
    case Cluster::OrderAction::LoadModel:
        return "load_model";
    case Cluster::OrderAction::LoadAdapter:
        return "load_adapter";
    case Cluster::OrderAction::UnloadAdapter:
        return "unload_adapter";
    case Cluster::OrderAction::UnloadModel:
        return "unload_model";
    }
    return "set_role";
}

std::string bodyOf(const Cluster::SendOrder &order)
{
    const json body = {{"fence", order.fence},
                       {"action", nameOf(order.order.action)},
                       {"model", order.order.model.text()},
                       {"version", order.order.version},
                       {"adapter", order.order.adapter.text()},
                       {"role", order.order.role}};
    return body.dump();
}

Common::Result<Cluster::EngineState> parseState(const std::string &text,
                                                const Common::ModelName &pool)
{
    try {
        const json document = json::parse(text);
        Cluster::EngineState state;
        state.role = document.value("role", std::string());
        state.highestFence = document.at("highest_fence").get<std::uint64_t>();
        state.ordersSeen = document.at("orders_seen").get<std::uint64_t>();
        for (const json &model : document.at("models")) {
            const Common::ModelName name(model.at("model").get<std::string>());
            state.models.push_back(
                {{name, model.at("version").get<std::string>()}, model.at("state") == "ready"});
        }
        for (const json &adapter : document.at("adapters")) {
            // Engines list adapters without their model; all engines of a pool serve one model.
            state.adapters.push_back(
                {pool, Common::AdapterName(adapter.at("adapter").get<std::string>())});
        }
        return state;
    } catch (const json::exception &error) {
        return Common::makeError(Common::ErrorCode::ProtocolViolation, error.what());
    }
}

} // namespace

OrderRunner::OrderRunner(asio::io_context &control, const std::string &weightStore,
                         const ClusterRunner &cluster, const RoutingTableCell &table,
                         Common::MetricsRegistry &metrics, const Cluster::OrderOptions &options)
    : control_(control)
    , hasWeightStore_(!weightStore.empty())
    , weightStore_(weightStore)
    , cluster_(cluster)
    , table_(table)
    , coordinator_(options)
    , deviating_(metrics.gauge("laburnumchute_engines_deviating",
                               "Engines that are not as the configuration wants them, as far as "
                               "this instance gives the orders"))
    , ordersSent_(metrics.counter("laburnumchute_engine_orders_total", "Orders given to engines"))
    , foreignOrders_(metrics.counter("laburnumchute_engine_foreign_orders_total",
                                     "Readings that showed orders of somebody else"))
{
}

void OrderRunner::start()
{
    asio::co_spawn(control_, coordinationLoop(), asio::detached);
    if (hasWeightStore_) {
        asio::co_spawn(control_, limitsLoop(), asio::detached);
    }
}

asio::awaitable<void> OrderRunner::coordinationLoop()
{
    const std::string scope = "orders/" + cluster_.node().self().region.text();
    Common::Time last = std::chrono::steady_clock::now();
    while (true) {
        co_await Async::sleepFor(LoopInterval);
        const auto now = std::chrono::steady_clock::now();
        if (now - last > PauseThreshold) {
            coordinator_.resumed(now);
        }
        last = now;
        updateDesired();
        coordinator_.setOrderer(cluster_.node().orderer(scope) == cluster_.node().self().id, now);
        execute(coordinator_.tick(now));
        deviating_.set(coordinator_.orderer() ? static_cast<double>(coordinator_.deviating())
                                              : 0.0);
    }
}

asio::awaitable<void> OrderRunner::limitsLoop()
{
    while (true) {
        const auto limits = co_await weightStore_.readLimits();
        if (limits) {
            const auto regions = std::max<std::size_t>(1, cluster_.node().regions().size());
            coordinator_.setLoadsPerMinute(limits->loadsPerMinute / static_cast<double>(regions));
        }
        co_await Async::sleepFor(LimitsInterval);
    }
}

void OrderRunner::updateDesired()
{
    const auto table = table_.share();
    if (!table->configuration) {
        return;
    }
    std::vector<Cluster::DesiredEngine> desired;
    std::map<Common::EndpointId, Target> targets;
    std::string signature = std::to_string(table->configurationNumber);
    for (const auto &listed : cluster_.listedEndpoints()) {
        const Common::ModelName name(listed.name);
        const auto *model = table->configuration->model(name);
        const bool managed = listed.kind == Readers::EndpointKind::Engine
                             && listed.region == cluster_.node().self().region && !listed.leaving;
        if (!managed || model == nullptr) {
            continue;
        }
        Cluster::DesiredEngine engine;
        engine.endpoint = listed.id;
        engine.checksFences = listed.checksFences;
        engine.models = {{name, model->version}};
        for (const auto &adapter : model->adapters) {
            engine.adapters.push_back({name, adapter});
        }
        signature += " " + listed.id.text() + "@" + listed.http;
        targets[listed.id] = {listed.http, name};
        desired.push_back(std::move(engine));
    }
    if (signature != desiredSignature_) {
        desiredSignature_ = signature;
        targets_ = std::move(targets);
        coordinator_.setDesired(desired);
    }
}

OrderRunner::Target OrderRunner::targetOf(const Common::EndpointId &endpoint) const
{
    const auto it = targets_.find(endpoint);
    return it == targets_.end() ? Target{} : it->second;
}

void OrderRunner::execute(const Cluster::OrderEffects &effects)
{
    for (const auto &effect : effects) {
        if (const auto *read = std::get_if<Cluster::ReadEngineState>(&effect)) {
            asio::co_spawn(control_, readState(read->endpoint, targetOf(read->endpoint)),
                           asio::detached);
        } else if (const auto *order = std::get_if<Cluster::SendOrder>(&effect)) {
            asio::co_spawn(control_, sendOrder(*order, targetOf(order->endpoint)), asio::detached);
        } else if (const auto *foreign = std::get_if<Cluster::ForeignOrders>(&effect)) {
            foreignOrders_.add();
            Common::log(LogCategory, Common::LogLevel::Warning,
                        "engine {} received orders from another sender", foreign->endpoint);
        }
    }
}

asio::awaitable<void> OrderRunner::readState(Common::EndpointId endpoint, Target target)
{
    Readers::HttpClientRequest query;
    query.address = target.address;
    query.target = "/v1/state";
    const auto answer = co_await Readers::fetch(std::move(query));
    const auto now = std::chrono::steady_clock::now();
    if (!answer || answer->status != Ok) {
        coordinator_.stateReadFailed(endpoint, now);
        co_return;
    }
    const auto state = parseState(answer->body, target.model);
    if (!state) {
        Common::log(LogCategory, Common::LogLevel::Warning,
                    "cannot parse the state of engine {}: {}", endpoint, state.error().message);
        coordinator_.stateReadFailed(endpoint, now);
        co_return;
    }
    execute(coordinator_.stateRead(endpoint, *state, now, std::chrono::system_clock::now()));
}

asio::awaitable<void> OrderRunner::sendOrder(Cluster::SendOrder order, Target target)
{
    ordersSent_.add();
    Common::log(LogCategory, Common::LogLevel::Info,
                "sending order to engine {}: {} {} {} {} with fence {}", order.endpoint,
                nameOf(order.order.action), order.order.model, order.order.version,
                order.order.adapter, order.fence);
    Readers::HttpClientRequest query;
    query.address = target.address;
    query.method = "POST";
    query.target = "/v1/orders";
    query.headers.push_back({"Content-Type", "application/json"});
    query.body = bodyOf(order);
    const auto answer = co_await Readers::fetch(std::move(query));
    Cluster::OrderAnswer outcome = Cluster::OrderUncertain{};
    if (answer && (answer->status == Ok || answer->status == Accepted)) {
        outcome = Cluster::OrderAccepted{};
    } else if (answer && answer->status == Conflict) {
        outcome = Cluster::OrderFenced{};
    }
    coordinator_.orderAnswered(order.endpoint, outcome, std::chrono::steady_clock::now());
}

json OrderRunner::dump() const
{
    return {{"orderer", coordinator_.orderer()},
            {"highest_fence", coordinator_.highestFence()},
            {"engines", targets_.size()},
            {"deviating", coordinator_.deviating()}};
}

} // namespace LaburnumChute::Gateway
