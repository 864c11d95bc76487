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

/// An engine that loads in four seconds and, if told so, checks fencing numbers.
struct FakeEngine
{
    bool checksFences = false;
    EngineState state;
    Common::Time loadEnds;
    int loads = 0;
    /// An unload left it without any model that is ready.
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

/// Instances that give orders to engines, in steps of 100 ms.
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

// Two instances believe to be the orderer, because one has not yet heard that the other lives. With
// orders given blindly an engine would load a model twice, and its callers would wait twice as
// long.
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
// numbers each undoes the other's work; a load every few seconds would eat the weight store's rate.
TEST(OrdersTest, OrderersWithDifferentVersionsDoNotFlap)
{
    OrderSimulation simulation;
    auto older = makeOrderer("1", false, simulation.now);
    auto newer = makeOrderer("2", false, simulation.now);
    simulation.run({&older, &newer}, seconds(300), Wall);
    EXPECT_GT(simulation.foreignOrders, 0);
    EXPECT_LE(simulation.sentOrders.size(), 2u * 300u / 8u)
        << "one order in each quiet period of each";
}

// The orderer is replaced by an instance whose clock runs an hour behind, and nothing was stored.
// An engine that checks fencing numbers would refuse everything for an hour.
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

// The orderer is stopped, another one takes over, and the first wakes up with an order in mind.
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

// The answer to an order is lost, and the order itself may be stuck on the way. If the engine does
// not check fencing numbers and the next order overtakes it, the late one undoes the newer one's
// work.
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

// A new version places a model on forty runners at once. The weight store turns away what exceeds
// its rate, and the runners whose load was turned away serve nothing.
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

// An operator publishes a new version of a model that nine engines serve, and each drops the old
// one when it begins to load. Given to all at once, nobody serves the model for the time of a load.
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

/// A text that looks like the name of a version; few different ones, so that they often agree.
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
