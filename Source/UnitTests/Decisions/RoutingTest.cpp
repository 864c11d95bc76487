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

// A prompt of 12,000 tokens is followed by short ones. By the number of requests both endpoints
// look equal once each has one, and a short prompt waits for seconds behind the long one.
TEST(RoutingTest, AShortPromptIsNotQueuedBehindALongOne)
{
    Harness harness;
    harness.addEngines(2);
    auto history = request("history");
    history.promptTokens = 12000;
    harness.submit(history);
    for (int index = 0; index < 4; ++index) {
        harness.submit(request("line" + std::to_string(index)));
        EXPECT_NE(harness.endpointOf("line" + std::to_string(index)),
                  harness.endpointOf("history"));
    }
}

TEST(RoutingTest, ARepeatedPromptReturnsToTheEndpointThatHoldsItsPrefix)
{
    Harness harness;
    harness.addEngines(6);
    auto first = request("draft1");
    first.prefixBlocks = blocks(1000, 7);
    harness.submit(first);
    const auto endpoint = harness.endpointOf("draft1");
    harness.now += milliseconds(300);
    harness.firstToken("draft1");
    harness.finish("draft1");
    auto second = request("draft2");
    second.prefixBlocks = blocks(1000, 7);
    harness.submit(second);
    EXPECT_EQ(harness.endpointOf("draft2"), endpoint);
}

// All requests share one prefix. Sending all of them to the endpoint that holds it would leave five
// endpoints idle while its queue grows.
TEST(RoutingTest, AHotPrefixSpreadsOverEndpoints)
{
    Harness harness;
    harness.addEngines(6);
    for (int index = 0; index < 24; ++index) {
        auto facts = request("r" + std::to_string(index));
        facts.prefixBlocks = blocks(1000, 7);
        EXPECT_TRUE(has<Dispatch>(harness.submit(facts)));
    }
    for (const auto &[endpoint, requests] : harness.running) {
        EXPECT_LE(requests.size(), 9U) << endpoint << ": the batch and one queued request";
    }
    EXPECT_GE(harness.running.size(), 3U);
}

LoadReport busyReport(std::int64_t running)
{
    auto report = idleReport();
    report.running = running;
    return report;
}

// Each engine has two free slots, and its report of that stays the same for a while. An instance
// that relied on the report alone would send a whole burst to one engine; the surplus would be
// queued there behind everything else, where removing it is not free.
TEST(RoutingTest, OwnSendsCorrectALaggingReport)
{
    Harness harness;
    harness.scheduler.updateEndpoints(engines(4), harness.now);
    const auto measuredAt = harness.now;
    for (int index = 0; index < 24; ++index) {
        for (int endpoint = 0; endpoint < 4; ++endpoint) {
            auto stale = busyReport(6);
            stale.age = harness.now - measuredAt;
            harness.recordDispatches(harness.scheduler.reportLoad(
                EndpointId("e" + std::to_string(endpoint)), stale, harness.now));
        }
        harness.now += milliseconds(5);
        harness.submit(request("r" + std::to_string(index)));
    }
    for (const auto &[endpoint, requests] : harness.running) {
        EXPECT_LE(requests.size(), 3U) << endpoint << ": two slots and one queued request";
    }
    EXPECT_EQ(harness.dispatchOrder.size(), 12U);
}

// Four instances have one request each on every one of twelve engines and see the same reports, in
// which each engine has four free slots. If each instance used all of these slots, four times as
// much would arrive, and the last callers would wait for the duration of a whole response until the
// next report. At most a second batch may be queued on an engine.
TEST(RoutingTest, InstancesWithTheSameStaleViewDoNotHerd)
{
    std::map<std::string, std::size_t> sent;
    for (std::uint64_t instance = 0; instance < 4; ++instance) {
        Harness harness(lowSlackOptions(), instance + 1);
        const std::vector<InstanceId> instances(4, InstanceId("i"));
        harness.scheduler.updateInstances(instances, harness.now);
        harness.scheduler.updateEndpoints(engines(12), harness.now);
        for (int index = 0; index < 12; ++index) {
            harness.submit(request("before" + std::to_string(index)));
        }
        harness.now += milliseconds(100);
        for (int endpoint = 0; endpoint < 12; ++endpoint) {
            harness.scheduler.reportLoad(EndpointId("e" + std::to_string(endpoint)), busyReport(4),
                                         harness.now);
        }
        harness.now += milliseconds(500);
        for (int index = 0; index < 96; ++index) {
            harness.submit(request("r" + std::to_string(index)));
        }
        for (const auto &[endpoint, requests] : harness.running) {
            sent[endpoint] += requests.size();
        }
    }
    for (const auto &[endpoint, requests] : sent) {
        EXPECT_LE(requests, 16U) << endpoint;
    }
}

// An engine is full with the requests of three peers, which refill each slot as it becomes free.
// The fourth instance has no request there and would never see spare capacity in a report.
TEST(RoutingTest, AnInstanceGetsItsEqualPartOfAFullEndpoint)
{
    Harness harness;
    harness.scheduler.updateInstances(std::vector<InstanceId>(4, InstanceId("i")), harness.now);
    harness.scheduler.updateEndpoints(engines(1), harness.now);
    auto full = busyReport(8);
    full.waiting = 4;
    harness.scheduler.reportLoad(EndpointId("e0"), full, harness.now);
    harness.submit(request("r1"));
    harness.submit(request("r2"));
    harness.submit(request("r3"));
    EXPECT_EQ(harness.running["e0"].size(), 2U) << "a quarter of 9 slots";
}

TEST(RoutingTest, AnEndpointWithTheAdapterIsPreferred)
{
    Harness harness;
    auto list = engines(6);
    list[4].adapters = {AdapterName("brass")};
    harness.scheduler.updateEndpoints(list, harness.now);
    auto facts = request("r1");
    facts.target = Target::model(ModelName("inscription"), AdapterName("brass"));
    harness.submit(facts);
    EXPECT_EQ(harness.endpointOf("r1"), "e4");
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

// Short prompts with a fully cached prefix follow long uncached ones. Both are faster than
// expected, by different factors, which used to halve the limit.
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
    std::map<EndpointHandle, int> instancesByEndpoint;
    for (int instance = 0; instance < 94; ++instance) {
        EndpointTable table(routing, concurrency, InstanceId("i" + std::to_string(instance)),
                            Sapporo);
        table.update(engines(323), Time());
        ASSERT_EQ(table.candidates(Inscription).size(), routing.subsetSize);
        for (const auto handle : table.candidates(Inscription)) {
            ++instancesByEndpoint[handle];
        }
    }
    ASSERT_EQ(instancesByEndpoint.size(), 323U);
    for (const auto &[handle, count] : instancesByEndpoint) {
        EXPECT_GE(count, 5);
        EXPECT_LE(count, 40);
    }
}

// A lost endpoint returns with an empty cache. With its full limit at once, every request there
// would prefill its whole prompt at the same time.
TEST(RoutingTest, AReturningEndpointStartsSlowly)
{
    Harness harness;
    harness.addEngines(1);
    harness.now += seconds(60);
    harness.scheduler.updateEndpoints(engines(2), harness.now);
    harness.reportAll(2);
    for (int index = 0; index < 17; ++index) {
        harness.submit(request("r" + std::to_string(index)));
    }
    EXPECT_LE(harness.running["e1"].size(), 2U);
    harness.reportAll(2);
    harness.now += seconds(10);
    harness.reportAll(2);
    harness.tickAfter(milliseconds(20));
    EXPECT_GE(harness.running["e1"].size(), 7U);
}

} // namespace

} // namespace LaburnumChute::Decisions
