#include <gtest/gtest.h>

#include "LoadTool/Report.h"

using namespace LaburnumChute::LoadTool;
using nlohmann::json;

namespace {

Plan plan()
{
    return Plan({{"callers", json::array()}, {"endpoint_regions", {{"e", "sapporo"}}}});
}

Outcome outcome(End end, bool wanted)
{
    Outcome outcome;
    outcome.tryIds = {"r"};
    outcome.tries = 1;
    outcome.end = end;
    outcome.wanted = wanted;
    outcome.region = "hakodate";
    outcome.servedBy = "e";
    return outcome;
}

json records(const json &run)
{
    return {{"e", {{"kind", "engine"}, {"runs", json::array({run})}}}};
}

TEST(Report, CountsTokensGeneratedAfterTheCallerLeft)
{
    auto cancelled = outcome(End::Cancelled, false);
    cancelled.cancelledAtMs = 1010;
    const json run = {{"request_id", "r.x"},
                      {"started_at_ms", 1000},
                      {"engine_seconds", 0.5},
                      {"tokens", 3},
                      {"token_times_ms", {5, 10, 11}}};
    const auto report = evaluate(plan(), {cancelled}, {records(run)});
    EXPECT_EQ(report.tokensAfterCancel, 1U);
    EXPECT_DOUBLE_EQ(report.engineSeconds, 0.5);
    EXPECT_EQ(report.away, 1U);
}

TEST(Report, IsBadWhenSomethingRanThatWasSaidNotToHave)
{
    auto refused = outcome(End::Complete, true);
    refused.notRun = {"r"};
    const json run = {{"request_id", "r.x"}, {"engine_seconds", 0.1}};
    EXPECT_FALSE(evaluate(plan(), {refused}, {records(run)}).good());
    const json queued = {{"request_id", "r.x"}, {"engine_seconds", 0.0}};
    EXPECT_TRUE(evaluate(plan(), {refused}, {records(queued)}).good());
}

TEST(Report, IsBadWhenAWantedRequestIsLostOrAKeyRanTwice)
{
    EXPECT_FALSE(evaluate(plan(), {outcome(End::Broken, true)}, {}).good());
    const json run = {{"request_id", "r"}, {"idempotency_key", "k"}};
    const json service = {{"s", {{"kind", "service"}, {"runs", json::array({run, run})}}}};
    const auto report = evaluate(plan(), {outcome(End::Complete, true)}, {service});
    EXPECT_EQ(report.duplicateRuns, 1U);
    EXPECT_FALSE(report.good());
}

} // namespace
