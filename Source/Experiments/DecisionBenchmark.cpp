// Cost of one decision against 10 to 10,000 candidate endpoints, for the capacity page. The subset
// is as large as the fleet here, so that every endpoint is a candidate; half of each batch is in
// use.

#include <numeric>

#include <benchmark/benchmark.h>

#include "Decisions/Decisions.h"
#include "Decisions/Router.h"

namespace LaburnumChute::Experiments {

namespace {

using namespace Decisions;

const RegionName Home("home");
const Target Model = Target::model(ModelName("model"));
constexpr int PromptBlocks = 16;

std::vector<EndpointFacts> endpoints(std::int64_t count)
{
    std::vector<EndpointFacts> result;
    for (std::int64_t index = 0; index < count; ++index) {
        result.push_back({EndpointId("endpoint-" + std::to_string(index)),
                          {Model},
                          {},
                          Home,
                          FailureDomainName("a"),
                          false});
    }
    return result;
}

LoadReport halfFull()
{
    LoadReport report;
    report.running = 8;
    report.batchLimit = 16;
    report.stepTime = milliseconds(20);
    report.prefillTokensPerSecond = 8000;
    return report;
}

RequestFacts request(std::uint64_t serial)
{
    RequestFacts facts;
    facts.id = RequestId("request-" + std::to_string(serial));
    facts.customer = CustomerName("customer");
    facts.target = Model;
    facts.allowedRegions = {Home};
    facts.promptTokens = PromptBlocks * BlockTokens;
    facts.expectedOutputTokens = 100;
    facts.prefixBlocks.resize(PromptBlocks);
    std::iota(facts.prefixBlocks.begin(), facts.prefixBlocks.end(), (serial % 512) * 1000);
    return facts;
}

SchedulerOptions options(std::int64_t count)
{
    SchedulerOptions result;
    result.routing.subsetSize = static_cast<std::size_t>(count);
    result.routing.reportStaleAfter = std::chrono::hours(100);
    return result;
}

/// The choice of an endpoint alone.
void chooseEndpoint(benchmark::State &state)
{
    const auto all = options(state.range(0));
    EndpointTable table(all.routing, all.concurrency, InstanceId("self"), Home);
    PrefixIndex prefixes(all.routing.prefixEntries);
    const Ejection ejection(all.ejection);
    Router router(all.routing, 1);
    const Time now = Time() + seconds(1000);
    table.update(endpoints(state.range(0)), now);
    for (const auto handle : table.handles()) {
        table.at(handle).load.report(halfFull(), now);
        table.at(handle).limit.setBatchLimit(halfFull().batchLimit);
    }
    std::vector<RequestFacts> requests;
    for (std::uint64_t serial = 0; serial < 512; ++serial) {
        requests.push_back(request(serial));
        prefixes.stored(static_cast<EndpointHandle>(serial)
                            % static_cast<EndpointHandle>(state.range(0)),
                        requests.back().prefixBlocks);
    }
    const auto allowed = [](EndpointHandle) { return true; };
    std::size_t turn = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(router.choose(requests[turn++ % requests.size()], table, prefixes,
                                               ejection, now, allowed, true));
    }
}
BENCHMARK(chooseEndpoint)->RangeMultiplier(10)->Range(10, 10000);

/// All that a request costs the scheduler: submit, first token, end, with trace and bookkeeping.
void wholeRequest(benchmark::State &state)
{
    Scheduler scheduler(options(state.range(0)), InstanceId("self"), Home, 1);
    Time now = Time() + seconds(1000);
    scheduler.updateEndpoints(endpoints(state.range(0)), now);
    for (const auto &endpoint : endpoints(state.range(0))) {
        scheduler.reportLoad(endpoint.id, halfFull(), now);
    }
    std::uint64_t serial = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds(50);
        const auto facts = request(serial++);
        const auto effects = scheduler.submit(facts, now);
        const auto &sent = std::get<Dispatch>(effects.front());
        scheduler.firstToken(facts.id, sent.endpoint, now);
        scheduler.finished(facts.id, sent.endpoint, Outcome::Completed, now);
    }
}
BENCHMARK(wholeRequest)->RangeMultiplier(10)->Range(10, 10000);

} // namespace

} // namespace LaburnumChute::Experiments

BENCHMARK_MAIN();
