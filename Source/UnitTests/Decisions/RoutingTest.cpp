#include <numeric>

#include <gtest/gtest.h>

#include "Decisions/ConcurrencyLimit.h"
#include "Decisions/EndpointTable.h"
#include "Support.h"

namespace LaburnumChute::Decisions {

using namespace Testing;

namespace {

std::vector<std::uint64_t> blocks(std::uint64_t start, int count)
{
    std::vector<std::uint64_t> result(static_cast<std::size_t>(count));
    std::iota(result.begin(), result.end(), start);
    return result;
}

// A dispatcher asks for a call history of 12,000 tokens to be condensed; a call-taker's prompt line
// comes right after. Counting requests both endpoints look equal once each has one, and the
// call-taker waits for seconds behind the history.
TEST(RoutingTest, AShortLineDoesNotGoBehindALongHistory)
{
    World world;
    world.addEngines(2);
    auto history = request("history");
    history.promptTokens = 12000;
    world.submit(history);
    for (int index = 0; index < 4; ++index) {
        world.submit(request("line" + std::to_string(index)));
        EXPECT_NE(world.endpointOf("line" + std::to_string(index)), world.endpointOf("history"));
    }
}

TEST(RoutingTest, ARetypedDraftReturnsToTheEndpointThatHoldsItsPrefix)
{
    World world;
    world.addEngines(6);
    auto first = request("draft1");
    first.prefixBlocks = blocks(1000, 7);
    world.submit(first);
    const auto endpoint = world.endpointOf("draft1");
    world.now += milliseconds(300);
    world.firstToken("draft1");
    world.finish("draft1");
    auto second = request("draft2");
    second.prefixBlocks = blocks(1000, 7);
    world.submit(second);
    EXPECT_EQ(world.endpointOf("draft2"), endpoint);
}

// One template becomes the fashion of the day: all requests share its prefix. Sending all of them
// to the one holder would leave five endpoints idle while its queue grows.
TEST(RoutingTest, AHotPrefixSpreadsOverEndpoints)
{
    World world;
    world.addEngines(6);
    for (int index = 0; index < 24; ++index) {
        auto facts = request("r" + std::to_string(index));
        facts.prefixBlocks = blocks(1000, 7);
        EXPECT_TRUE(has<Dispatch>(world.submit(facts)));
    }
    for (const auto &[endpoint, requests] : world.on) {
        EXPECT_LE(requests.size(), 9U) << endpoint << ": the batch and one that waits";
    }
    EXPECT_GE(world.on.size(), 3U);
}

LoadReport busyReport(std::int64_t running)
{
    auto report = idleReport();
    report.running = running;
    return report;
}

// Each engine has room for two more, and its report of that stays the same for a second. An
// instance that believed the report would send it a whole burst; the surplus waits on the engine,
// behind everything else there, where dropping it is no longer free.
TEST(RoutingTest, OwnSendsCorrectALaggingReport)
{
    World world;
    world.scheduler.updateEndpoints(engines(4), world.now);
    const auto describes = world.now;
    for (int index = 0; index < 24; ++index) {
        for (int endpoint = 0; endpoint < 4; ++endpoint) {
            auto stale = busyReport(6);
            stale.age = world.now - describes;
            world.take(world.scheduler.reportLoad(EndpointId("e" + std::to_string(endpoint)), stale,
                                                  world.now));
        }
        world.now += milliseconds(5);
        world.submit(request("r" + std::to_string(index)));
    }
    for (const auto &[endpoint, requests] : world.on) {
        EXPECT_LE(requests.size(), 3U) << endpoint << ": two places and one waiting";
    }
    EXPECT_EQ(world.order.size(), 12U);
}

// Four instances have one request each on every engine of twelve, and see the same reports, in
// which each engine has room for four more. If each believed that the room is its own, four times
// as much would arrive, and the callers at the end would wait for a whole answer's time until the
// next report. At most a second batch may end up waiting there.
TEST(RoutingTest, InstancesWithTheSameStaleViewDoNotHerd)
{
    std::map<std::string, std::size_t> sent;
    for (std::uint64_t instance = 0; instance < 4; ++instance) {
        World world(tightOptions(), instance + 1);
        const std::vector<InstanceId> instances(4, InstanceId("i"));
        world.scheduler.updateInstances(instances, world.now);
        world.scheduler.updateEndpoints(engines(12), world.now);
        for (int index = 0; index < 12; ++index) {
            world.submit(request("before" + std::to_string(index)));
        }
        world.now += milliseconds(100);
        for (int endpoint = 0; endpoint < 12; ++endpoint) {
            world.scheduler.reportLoad(EndpointId("e" + std::to_string(endpoint)), busyReport(4),
                                       world.now);
        }
        world.now += milliseconds(500);
        for (int index = 0; index < 96; ++index) {
            world.submit(request("r" + std::to_string(index)));
        }
        for (const auto &[endpoint, requests] : world.on) {
            sent[endpoint] += requests.size();
        }
    }
    for (const auto &[endpoint, requests] : sent) {
        EXPECT_LE(requests, 16U) << endpoint;
    }
}

// The same engine is full with the requests of three other instances, which refill each place as it
// falls free. The fourth has nothing there and would never see room in a report.
TEST(RoutingTest, AnInstanceGetsItsPartOfAFullEndpoint)
{
    World world;
    world.scheduler.updateInstances(std::vector<InstanceId>(4, InstanceId("i")), world.now);
    world.scheduler.updateEndpoints(engines(1), world.now);
    auto full = busyReport(8);
    full.waiting = 4;
    world.scheduler.reportLoad(EndpointId("e0"), full, world.now);
    world.submit(request("r1"));
    world.submit(request("r2"));
    world.submit(request("r3"));
    EXPECT_EQ(world.on["e0"].size(), 2U) << "a fourth of 9 places";
}

TEST(RoutingTest, AnEndpointWithTheAdapterIsPreferred)
{
    World world;
    auto list = engines(6);
    list[4].adapters = {AdapterName("brass")};
    world.scheduler.updateEndpoints(list, world.now);
    auto facts = request("r1");
    facts.target = Target::model(ModelName("inscription"), AdapterName("brass"));
    world.submit(facts);
    EXPECT_EQ(world.endpointOf("r1"), "e4");
}

TEST(ConcurrencyLimitTest, FollowsLastingDelayDownAndRecovers)
{
    ConcurrencyLimit limit({});
    limit.setBatchLimit(16);
    const double full = limit.value();
    for (int index = 0; index < 100; ++index) {
        limit.sample(index % 2 == 0 ? 1.0 : 1.5, 16);
    }
    EXPECT_DOUBLE_EQ(limit.value(), full);
    for (int index = 0; index < 100; ++index) {
        limit.sample(6, 16);
    }
    EXPECT_LT(limit.value(), full / 2);
    EXPECT_GE(limit.value(), 4) << "a quarter of the stated limit";
    for (int index = 0; index < 300; ++index) {
        limit.sample(1, limit.value());
    }
    EXPECT_DOUBLE_EQ(limit.value(), full);
}

// Short prompts of which the whole prefix is cached come after long cold ones. Both are faster than
// expected, by factors that differ; the limit once fell to half because of that.
TEST(ConcurrencyLimitTest, AnswersThatAreFasterThanExpectedDoNotLowerIt)
{
    ConcurrencyLimit limit({});
    limit.setBatchLimit(16);
    const double full = limit.value();
    limit.sample(0.1, 16);
    for (int index = 0; index < 100; ++index) {
        limit.sample(0.7, 16);
    }
    EXPECT_DOUBLE_EQ(limit.value(), full);
}

TEST(RoutingTest, SubsetsOfManyInstancesCoverEveryEndpointEvenly)
{
    const RoutingOptions routing;
    const ConcurrencyOptions concurrency;
    std::map<EndpointHandle, int> users;
    for (int instance = 0; instance < 94; ++instance) {
        EndpointTable table(routing, concurrency, InstanceId("i" + std::to_string(instance)),
                            Sapporo);
        table.update(engines(323), Time());
        ASSERT_EQ(table.candidates(Inscription).size(), routing.subsetSize);
        for (const auto handle : table.candidates(Inscription)) {
            ++users[handle];
        }
    }
    ASSERT_EQ(users.size(), 323U);
    for (const auto &[handle, count] : users) {
        EXPECT_GE(count, 5);
        EXPECT_LE(count, 40);
    }
}

// An endpoint that was lost comes back with an empty cache. With its full share at once every
// request there would prefill its whole prompt at the same time.
TEST(RoutingTest, AReturningEndpointStartsSlowly)
{
    World world;
    world.addEngines(1);
    world.now += seconds(60);
    world.scheduler.updateEndpoints(engines(2), world.now);
    world.reportAll(2);
    for (int index = 0; index < 17; ++index) {
        world.submit(request("r" + std::to_string(index)));
    }
    EXPECT_LE(world.on["e1"].size(), 2U);
    world.reportAll(2);
    world.now += seconds(10);
    world.reportAll(2);
    world.tickAfter(milliseconds(20));
    EXPECT_GE(world.on["e1"].size(), 7U);
}

} // namespace

} // namespace LaburnumChute::Decisions
