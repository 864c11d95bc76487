#include "Cluster/OrderCoordinator.h"

#include <algorithm>

namespace LaburnumChute::Cluster {

OrderCoordinator::OrderCoordinator(const OrderOptions &options)
    : options_(options)
{
}

void OrderCoordinator::setDesired(const std::vector<DesiredEngine> &engines)
{
    std::map<Common::EndpointId, Engine> updated;
    for (const DesiredEngine &desired : engines) {
        const auto known = engines_.find(desired.endpoint);
        Engine engine = known == engines_.end() ? Engine{} : std::move(known->second);
        engine.desired = desired;
        // The desired state may have changed, so the engine is read again soon.
        engine.nextRead = quietUntil_;
        updated.emplace(desired.endpoint, std::move(engine));
    }
    engines_ = std::move(updated);
}

void OrderCoordinator::setLoadsPerMinute(double loads)
{
    loadsPerMinute_ = loads;
}

void OrderCoordinator::setOrderer(bool orderer, Common::Time now)
{
    if (orderer && !orderer_) {
        startQuietPeriod(now);
    }
    orderer_ = orderer;
}

void OrderCoordinator::resumed(Common::Time now)
{
    startQuietPeriod(now);
}

void OrderCoordinator::startQuietPeriod(Common::Time now)
{
    quietUntil_ = now + options_.quietPeriod;
    // The former orderer may have used up the rate of the weight store.
    loadTokens_ = 0;
    tokensUpdated_ = now;
    for (auto &[id, engine] : engines_) {
        engine.phase = Phase::Idle;
        engine.nextRead = quietUntil_;
        engine.ordersExpected.reset();
    }
}

OrderEffects OrderCoordinator::tick(Common::Time now)
{
    OrderEffects effects;
    if (!orderer_ || now < quietUntil_) {
        return effects;
    }
    for (auto &[id, engine] : engines_) {
        if (engine.phase != Phase::Idle && now >= engine.deadline) {
            markUncertain(engine, now);
        }
        if (engine.phase == Phase::Idle && now >= engine.nextRead) {
            engine.phase = Phase::Reading;
            engine.deadline = now + options_.answerTimeout;
            effects.push_back(ReadEngineState{id});
        }
    }
    return effects;
}

OrderEffects OrderCoordinator::stateRead(const Common::EndpointId &endpoint,
                                         const EngineState &state, Common::Time now,
                                         Common::WallTime wallNow)
{
    highestFence_ = std::max(highestFence_, state.highestFence);
    const auto it = engines_.find(endpoint);
    if (it == engines_.end() || it->second.phase != Phase::Reading) {
        return {};
    }
    Engine &engine = it->second;
    engine.phase = Phase::Idle;
    engine.nextRead = now + options_.auditInterval;
    const bool foreign = engine.ordersExpected && *engine.ordersExpected != state.ordersSeen;
    engine.ordersExpected = state.ordersSeen;
    engine.deviates = nextOrder(engine.desired, state).has_value();
    if (!orderer_ || now < quietUntil_) {
        return {};
    }
    if (foreign) {
        // Two orderers with different versions of the configuration would keep undoing each other's
        // orders, with a load each time.
        engine.nextRead = now + options_.quietPeriod;
        return {ForeignOrders{endpoint}};
    }
    return decide(engine, state, now, wallNow);
}

OrderEffects OrderCoordinator::decide(Engine &engine, const EngineState &state, Common::Time now,
                                      Common::WallTime wallNow)
{
    const auto order = nextOrder(engine.desired, state);
    const bool loading = std::any_of(state.models.begin(), state.models.end(),
                                     [](const auto &model) { return !model.ready; });
    engine.loading = loading;
    if (!order) {
        engine.nextRead = now + (loading ? options_.settleInterval : options_.auditInterval);
        return {};
    }
    const bool reload = order->action == OrderAction::LoadModel;
    if ((reload && !mayReload(engine, state, order->model))
        || (readsWeights(*order) && !takeLoadToken(now))) {
        engine.nextRead = now + options_.settleInterval;
        return {};
    }
    engine.loading = engine.loading || reload;
    highestFence_ = std::max(highestFence_ + 1, Common::toUnixMilliseconds(wallNow));
    engine.phase = Phase::Ordering;
    engine.deadline = now + options_.answerTimeout;
    return {SendOrder{engine.desired.endpoint, *order, highestFence_}};
}

bool OrderCoordinator::mayReload(const Engine &engine, const EngineState &state,
                                 const Common::ModelName &model) const
{
    const bool isServing =
        std::any_of(state.models.begin(), state.models.end(),
                    [&](const auto &known) { return known.ready && known.version.model == model; });
    if (!isServing) {
        return true;
    }
    const auto isAssigned = [&](const Engine &other) {
        return std::any_of(other.desired.models.begin(), other.desired.models.end(),
                           [&](const auto &version) { return version.model == model; });
    };
    std::size_t assigned = 0;
    std::size_t loading = 0;
    for (const auto &[id, other] : engines_) {
        assigned += isAssigned(other) ? 1 : 0;
        loading += &other != &engine && isAssigned(other) && other.loading ? 1 : 0;
    }
    const auto maxLoading =
        static_cast<std::size_t>(static_cast<double>(assigned) * options_.maxReloadingFraction);
    return loading < std::max<std::size_t>(maxLoading, 1);
}

bool OrderCoordinator::takeLoadToken(Common::Time now)
{
    const double minutes = Common::toSeconds(now - tokensUpdated_) / 60.0;
    tokensUpdated_ = now;
    loadTokens_ = std::min(options_.loadBurst, loadTokens_ + minutes * loadsPerMinute_);
    if (loadTokens_ < 1) {
        return false;
    }
    loadTokens_ -= 1;
    return true;
}

void OrderCoordinator::stateReadFailed(const Common::EndpointId &endpoint, Common::Time now)
{
    const auto it = engines_.find(endpoint);
    if (it != engines_.end() && it->second.phase == Phase::Reading) {
        markUncertain(it->second, now);
    }
}

void OrderCoordinator::orderAnswered(const Common::EndpointId &endpoint, const OrderAnswer &answer,
                                     Common::Time now)
{
    const auto it = engines_.find(endpoint);
    if (it == engines_.end() || it->second.phase != Phase::Ordering) {
        return;
    }
    Engine &engine = it->second;
    engine.phase = Phase::Idle;
    engine.nextRead = now + options_.settleInterval;
    if (std::holds_alternative<OrderAccepted>(answer) && engine.ordersExpected) {
        ++*engine.ordersExpected;
        return;
    }
    if (std::holds_alternative<OrderUncertain>(answer)) {
        engine.phase = Phase::Ordering;
        markUncertain(engine, now);
        return;
    }
    // Another orderer has a higher fencing token. Exceeding it at once would start a race between
    // the two.
    engine.ordersExpected.reset();
    engine.nextRead = now + options_.quietPeriod;
}

void OrderCoordinator::markUncertain(Engine &engine, Common::Time now)
{
    const bool mayArriveLate = engine.phase == Phase::Ordering && !engine.desired.checksFences;
    engine.phase = Phase::Idle;
    engine.ordersExpected.reset();
    engine.nextRead = now + (mayArriveLate ? options_.quietPeriod : options_.settleInterval);
}

std::size_t OrderCoordinator::deviating() const
{
    return static_cast<std::size_t>(std::count_if(
        engines_.begin(), engines_.end(), [](const auto &item) { return item.second.deviates; }));
}

} // namespace LaburnumChute::Cluster
