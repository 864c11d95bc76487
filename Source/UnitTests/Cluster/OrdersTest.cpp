#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Cluster/OrderCoordinator.h"

using namespace LaburnumChute;
using namespace LaburnumChute::Cluster;
using Common::milliseconds;
using Common::seconds;

namespace {

const Common::EndpointId Runner("runner-1");
const Common::ModelName Inscription("inscription");

/// An engine that loads a model in four seconds and optionally checks fencing tokens.
struct FakeEngine
{
    bool checksFences = false;
    EngineState state;
    Common::Time loadEnds;
    int loads = 0;
    /// The last unload left it without any model that is ready.
    bool hadNoReadyModel = false;

    OrderAnswer execute(const EngineOrder &order, std::uint64_t fence, Common::Time now)
    {
        ++state.ordersSeen;
        if (checksFences && fence <= state.highestFence) {
            return OrderFenced{};
        }
        state.highestFence = std::max(state.highestFence, fence);
        const ModelVersion version{order.model, order.version};
        if (order.action == OrderAction::LoadModel) {
            ++loads;
            state.models.push_back({version, false});
            loadEnds = now + seconds(4);
        } else if (order.action == OrderAction::UnloadModel) {
            std::erase_if(state.models,
                          [&](const auto &model) { return model.version == version; });
            hadNoReadyModel = std::none_of(state.models.begin(), state.models.end(),
                                           [](const auto &model) { return model.ready; });
        } else if (order.action == OrderAction::SetRole) {
            state.role = order.role;
        }
        return OrderAccepted{};
    }
    EngineState readState(Common::Time now)
    {
        for (auto &model : state.models) {
            model.ready = model.ready || now >= loadEnds;
        }
        return state;
    }
};

DesiredEngine makeDesiredEngine(const std::string &version, bool checksFences,
                                const Common::EndpointId &endpoint = Runner)
{
    return {endpoint, checksFences, "", {{Inscription, version}}, {}};
}

/// Simulates instances that send orders to engines, in steps of 100 ms.
struct OrderSimulation
{
    Common::Time now{seconds(1000)};
    std::map<Common::EndpointId, FakeEngine> engines;
    std::vector<std::pair<std::uint64_t, EngineOrder>> sentOrders;
    int foreignOrders = 0;

    void step(OrderCoordinator &coordinator, Common::WallTime wall)
    {
        for (const OrderEffect &effect : coordinator.tick(now)) {
            readState(coordinator, std::get<ReadEngineState>(effect).endpoint, wall);
        }
    }
    void readState(OrderCoordinator &coordinator, const Common::EndpointId &endpoint,
                   Common::WallTime wall)
    {
        FakeEngine &engine = engines[endpoint];
        for (const OrderEffect &effect :
             coordinator.stateRead(endpoint, engine.readState(now), now, wall)) {
            if (const auto *order = std::get_if<SendOrder>(&effect)) {
                sentOrders.emplace_back(order->fence, order->order);
                const auto answer = engine.execute(order->order, order->fence, now);
                coordinator.orderAnswered(endpoint, answer, now);
            } else {
                ++foreignOrders;
            }
        }
    }
    void run(const std::vector<OrderCoordinator *> &coordinators, Common::Duration duration,
             Common::WallTime wall)
    {
        for (const Common::Time end = now + duration; now < end; now += milliseconds(100)) {
            for (OrderCoordinator *coordinator : coordinators) {
                step(*coordinator, wall);
            }
        }
    }
};

constexpr Common::WallTime Wall{seconds(1'790'000'000)};

OrderCoordinator makeOrderer(const std::string &version, bool checksFences, Common::Time now)
{
    OrderCoordinator coordinator{OrderOptions{}};
    coordinator.setLoadsPerMinute(60);
    coordinator.setDesired({makeDesiredEngine(version, checksFences)});
    coordinator.setOrderer(true, now);
    return coordinator;
}

TEST(OrdersTest, EngineReachesTheDesiredState)
{
    for (const bool checks : {false, true}) {
        OrderSimulation simulation;
        simulation.engines[Runner].checksFences = checks;
        simulation.engines[Runner].state.models = {{{Inscription, "1"}, true}};
        auto coordinator = makeOrderer("2", checks, simulation.now);
        simulation.run({&coordinator}, seconds(60), Wall);
        ASSERT_EQ(simulation.sentOrders.size(), 2u);
        EXPECT_EQ(simulation.sentOrders[0].second.action, OrderAction::LoadModel);
        EXPECT_EQ(simulation.sentOrders[1].second.action, OrderAction::UnloadModel);
        EXPECT_EQ(coordinator.deviating(), 0u);
        EXPECT_FALSE(simulation.engines[Runner].hadNoReadyModel);
    }
}

// Two instances consider themselves the orderer, because one does not yet know that the other is
// alive. If they sent orders without reading the state first, an engine would load a model twice,
// and its callers would wait twice as long.
TEST(OrdersTest, TwoOrderersWithTheSameVersionLoadOnce)
{
    for (const bool checks : {false, true}) {
        OrderSimulation simulation;
        simulation.engines[Runner].checksFences = checks;
        auto first = makeOrderer("1", checks, simulation.now);
        auto second = makeOrderer("1", checks, simulation.now);
        simulation.run({&first, &second}, seconds(120), Wall);
        EXPECT_EQ(simulation.engines[Runner].loads, 1);
    }
}

// A partition leaves one orderer with an older configuration. On an engine that ignores fencing
// tokens, each would undo the other's orders; a load every few seconds would use up the rate of the
// weight store.
TEST(OrdersTest, OrderersWithDifferentVersionsDoNotFlap)
{
    OrderSimulation simulation;
    auto older = makeOrderer("1", false, simulation.now);
    auto newer = makeOrderer("2", false, simulation.now);
    simulation.run({&older, &newer}, seconds(300), Wall);
    EXPECT_GT(simulation.foreignOrders, 0);
    EXPECT_LE(simulation.sentOrders.size(), 2u * 300u / 8u)
        << "one order per quiet period from each orderer";
}

// The orderer is replaced by an instance whose clock is an hour behind, and fencing tokens are not
// stored. If tokens depended on the clock alone, an engine that checks them would reject all orders
// for an hour.
TEST(OrdersTest, FencingNumbersGrowOverReplacementsWithAClockBehind)
{
    OrderSimulation simulation;
    simulation.engines[Runner].checksFences = true;
    {
        auto first = makeOrderer("1", true, simulation.now);
        simulation.run({&first}, seconds(30), Wall);
    }
    auto second = makeOrderer("2", true, simulation.now);
    simulation.run({&second}, seconds(60), Wall - std::chrono::hours(1));
    EXPECT_EQ(second.deviating(), 0u);
    ASSERT_EQ(simulation.sentOrders.size(), 3u);
    EXPECT_TRUE(std::is_sorted(simulation.sentOrders.begin(), simulation.sentOrders.end(),
                               [](const auto &a, const auto &b) { return a.first < b.first; }));
    EXPECT_GT(simulation.sentOrders[1].first, simulation.sentOrders[0].first);
}

// The orderer is paused between reading an engine's state and sending an order, and another one
// takes over. When resumed, the first must not act on the old state.
TEST(OrdersTest, ResumedOrdererWaitsQuietPeriodAndReadsFirst)
{
    OrderSimulation simulation;
    auto coordinator = makeOrderer("2", false, simulation.now);
    simulation.now += seconds(9);
    const auto effects = coordinator.tick(simulation.now);
    ASSERT_EQ(effects.size(), 1u);
    simulation.now += seconds(60);
    coordinator.resumed(simulation.now);
    EXPECT_TRUE(coordinator.stateRead(Runner, {}, simulation.now, Wall).empty());
    simulation.run({&coordinator}, seconds(7), Wall);
    EXPECT_TRUE(simulation.sentOrders.empty());
    simulation.run({&coordinator}, seconds(10), Wall);
    EXPECT_EQ(simulation.sentOrders.size(), 1u);
}

// The answer to an order is lost, and the order itself may be delayed. If the engine does not check
// fencing tokens and a newer order overtakes it, the delayed order undoes the newer one.
TEST(OrdersTest, UncertainOrderToAnEngineWithoutFencingDelaysTheNext)
{
    for (const bool checks : {false, true}) {
        OrderSimulation simulation;
        auto coordinator = makeOrderer("2", checks, simulation.now);
        simulation.now += seconds(9);
        ASSERT_EQ(coordinator.tick(simulation.now).size(), 1u);
        ASSERT_EQ(coordinator.stateRead(Runner, {}, simulation.now, Wall).size(), 1u);
        coordinator.orderAnswered(Runner, OrderUncertain{}, simulation.now);
        simulation.run({&coordinator}, seconds(7), Wall);
        EXPECT_EQ(simulation.sentOrders.size(), checks ? 1u : 0u);
        simulation.run({&coordinator}, seconds(10), Wall);
        EXPECT_EQ(simulation.sentOrders.size(), 1u);
    }
}

// A new version assigns a model to forty runners at once. The weight store rejects reads above its
// rate, and runners whose load was rejected can't serve requests.
TEST(OrdersTest, LoadsStayWithinTheRateOfTheWeightStore)
{
    OrderSimulation simulation;
    OrderCoordinator coordinator{OrderOptions{}};
    coordinator.setLoadsPerMinute(6);
    std::vector<DesiredEngine> desired;
    for (int i = 0; i < 40; ++i) {
        const Common::EndpointId id("runner-" + std::to_string(i));
        simulation.engines[id].checksFences = true;
        desired.push_back(makeDesiredEngine("1", true, id));
    }
    coordinator.setDesired(desired);
    coordinator.setOrderer(true, simulation.now);
    simulation.run({&coordinator}, seconds(60), Wall);
    EXPECT_LE(simulation.sentOrders.size(), 6u);
    EXPECT_GE(simulation.sentOrders.size(), 4u);
    simulation.run({&coordinator}, seconds(420), Wall);
    EXPECT_EQ(coordinator.deviating(), 0u);
}

// An operator publishes a new version of a model that nine engines serve, and each unloads the old
// one when it starts to load the new one. If all were ordered to load at once, no engine would
// serve the model during the load.
TEST(OrdersTest, NewVersionIsRolledOutInStages)
{
    OrderSimulation simulation;
    OrderCoordinator coordinator{OrderOptions{}};
    coordinator.setLoadsPerMinute(6000);
    std::vector<DesiredEngine> desired;
    for (int i = 0; i < 9; ++i) {
        const Common::EndpointId id("runner-" + std::to_string(i));
        simulation.engines[id].state.models = {{{Inscription, "1"}, true}};
        desired.push_back(makeDesiredEngine("2", false, id));
    }
    coordinator.setDesired(desired);
    coordinator.setOrderer(true, simulation.now);
    for (int step = 0; step < 600; ++step) {
        simulation.run({&coordinator}, milliseconds(100), Wall);
        int loading = 0;
        for (const auto &[id, engine] : simulation.engines) {
            loading += std::any_of(engine.state.models.begin(), engine.state.models.end(),
                                   [](const auto &model) { return !model.ready; });
        }
        ASSERT_LE(loading, 3);
    }
    EXPECT_EQ(coordinator.deviating(), 0u);
}

/// An arbitrary version name out of a few, so that equal ones are frequent.
std::string arbitraryVersion()
{
    return std::to_string(*rc::gen::inRange(0, 4));
}

RC_GTEST_PROP(OrdersTest, StepsEndInTheDesiredStateAndThenNoneIsLeft, ())
{
    DesiredEngine desired = makeDesiredEngine(arbitraryVersion(), false);
    if (*rc::gen::arbitrary<bool>()) {
        desired.models.push_back({Common::ModelName("other"), arbitraryVersion()});
    }
    FakeEngine engine;
    engine.state.models = {{{Inscription, arbitraryVersion()}, true}};
    Common::Time now{seconds(1)};
    int steps = 0;
    while (const auto order = nextOrder(desired, engine.readState(now))) {
        engine.execute(*order, 1, now);
        now += seconds(5);
        RC_ASSERT(++steps < 10);
    }
    std::vector<ModelVersion> loaded;
    for (const auto &model : engine.state.models) {
        loaded.push_back(model.version);
    }
    std::sort(loaded.begin(), loaded.end());
    std::sort(desired.models.begin(), desired.models.end());
    RC_ASSERT(loaded == desired.models);
}

} // namespace
