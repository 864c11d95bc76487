#include <algorithm>

#include <gtest/gtest.h>

#include "Documents.h"

namespace LaburnumChute::Configuration {

namespace {

bool hasProblemAt(const Report &report, const std::string &pointer)
{
    return std::any_of(report.problems.begin(), report.problems.end(),
                       [&](const Problem &problem) { return problem.pointer == pointer; });
}

/// The one problem of the engraving works' example after a change.
Problem onlyProblem(const std::string &mergePatch)
{
    const auto report = check(otaruWith(mergePatch).dump());
    EXPECT_EQ(report.configuration, nullptr);
    EXPECT_EQ(report.problems.size(), 1U) << toString(report.problems);
    return report.problems.empty() ? Problem() : report.problems.front();
}

TEST(ParserTest, ExamplesAreValidAndHaveNoWarnings)
{
    for (const auto *name : {"otaru", "caroni"}) {
        const auto report = check(example(name).dump());
        EXPECT_NE(report.configuration, nullptr) << toString(report.problems);
        EXPECT_TRUE(report.warnings.empty()) << toString(report.warnings);
    }
}

TEST(ParserTest, LookupsFollowTheDocument)
{
    const auto otaru = *parse(example("otaru").dump());
    const auto *route = otaru->route("/v1/chat/completions", ModelName("inscription"));
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->name.text(), "draft-chat");
    EXPECT_EQ(otaru->route("/v1/embeddings", ModelName("inscription")), nullptr);
    EXPECT_EQ(otaru->customerByToken("example-schools")->name.text(), "schools");
    EXPECT_EQ(otaru->customerByToken("guessed"), nullptr);
    EXPECT_EQ(otaru->runners(ModelName("inscription"), RegionName("hakodate")), 4);
    const auto *link = otaru->link(RegionName("hakodate"), RegionName("sapporo"));
    ASSERT_NE(link, nullptr);
    EXPECT_EQ(link->oneWayDelay, Common::milliseconds(55));
    EXPECT_EQ(link->megabitsPerSecond, 140);

    const auto caroni = *parse(example("caroni").dump());
    const ServiceName desk("dispatch-desk");
    EXPECT_EQ(caroni->route(desk, "/tickets/7")->name.text(), "tickets");
    EXPECT_EQ(caroni->route(desk, "/dispatches")->name.text(), "dispatch");
    EXPECT_EQ(caroni->link(RegionName("north"), RegionName("south"))->megabitsPerSecond, 2000);
}

TEST(ParserTest, AllProblemsAreFoundInOneReading)
{
    const auto report = check(otaruWith(R"({
        "routes": {"draft-chat": {"model": "inscripton", "deadline_ms": 0},
                   "orders": {"priority": "vip"}},
        "regionz": {}
    })")
                                  .dump());
    EXPECT_TRUE(hasProblemAt(report, "/routes/draft-chat/model"));
    EXPECT_TRUE(hasProblemAt(report, "/routes/draft-chat/deadline_ms"));
    EXPECT_TRUE(hasProblemAt(report, "/routes/orders/priority"));
    EXPECT_TRUE(hasProblemAt(report, "/regionz"));
}

TEST(ParserTest, UnknownMemberIsNamedWithTheKnownOnes)
{
    const auto problem = onlyProblem(R"({"models": {"inscription": {"versoin": "2"}}})");
    EXPECT_EQ(problem.pointer, "/models/inscription/versoin");
    EXPECT_EQ(problem.value, "\"2\"");
    EXPECT_NE(problem.expected.find("version"), std::string::npos);
}

TEST(ParserTest, DanglingReferenceNamesTheChoices)
{
    const auto problem = onlyProblem(R"({"customers": {"clubs": {"highest_priority": "top"}}})");
    EXPECT_EQ(toString(problem),
              "/customers/clubs/highest_priority: found \"top\"; expected the name of a priority: "
              "batch, interactive, order");
}

TEST(ParserTest, ResidencyRuleThatLeavesARouteWithNowhereToGoIsRefused)
{
    // An operator drains Sapporo's order desk and forgets that orders may be kept only there. Every
    // order would be refused from then on; the document is refused instead.
    const auto problem = onlyProblem(R"({
        "routes": {"orders": {"residency": "sapporo-only"}},
        "placements": {"services": {"order-desk": {"runners": {"sapporo": 0}}}}
    })");
    EXPECT_EQ(problem.pointer, "/routes/orders/residency");
}

TEST(ParserTest, HomeRegionWithoutRunnersIsAWarning)
{
    const auto report = check(otaruWith(R"({
        "routes": {"orders": {"residency": "home"}},
        "placements": {"services": {"order-desk": {"runners": {"hakodate": 0}}}}
    })")
                                  .dump());
    ASSERT_NE(report.configuration, nullptr);
    ASSERT_EQ(report.warnings.size(), 1U);
    EXPECT_NE(report.warnings[0].expected.find("hakodate"), std::string::npos);
}

TEST(ParserTest, NameThatStandsTwiceIsRefusedWithItsPosition)
{
    auto text = example("otaru").dump();
    const std::string entry = R"("schools":{)";
    text.insert(text.find(entry),
                R"("schools":{"share":9,"highest_priority":"order","bearer_tokens":[]},)");
    const auto report = check(text);
    ASSERT_EQ(report.problems.size(), 1U) << toString(report.problems);
    EXPECT_EQ(report.problems[0].pointer, "/customers/schools");
}

TEST(ParserTest, TokenOfTwoCustomersIsRefusedAndNotShown)
{
    const auto problem =
        onlyProblem(R"({"customers": {"clubs": {"bearer_tokens": ["example-schools"]}}})");
    EXPECT_EQ(problem.pointer, "/customers/schools/bearer_tokens");
    EXPECT_EQ(toString(problem).find("example-schools"), std::string::npos);
}

TEST(ParserTest, EachKindOfBadValueHasItsPosition)
{
    const std::vector<std::pair<std::string, std::string>> cases = {
        {R"({"schema": 2})", "/schema"},
        {R"({"regions": {"hakodate": {"failure_domains": ["sapporo-1"]}}})",
         "/regions/sapporo/failure_domains"},
        {R"({"links": {"asahikawa": {"sapporo": {"one_way_delay_ms": 1, "megabits_per_second": 1}}}})",
         "/links/sapporo/asahikawa"},
        {R"({"residency_rules": {"home": {"regions": "away"}}})", "/residency_rules/home/regions"},
        {R"({"residency_rules": {"sapporo-only": {"regions": ["otaru"]}}})",
         "/residency_rules/sapporo-only/regions"},
        {R"({"customers": {"clubs": {"share": "much"}}})", "/customers/clubs/share"},
        {R"({"models": {"inscription": {"context_limit_tokens": 1.5}}})",
         "/models/inscription/context_limit_tokens"},
        {R"({"services": {"order-desk": {"calls": {"orders": {}}}}})",
         "/services/order-desk/calls"},
        {R"({"routes": {"orders": {"model": "inscription"}}})", "/routes/orders/service"},
        {R"({"routes": {"draft-text": {"path": "/v1/chat/completions"}}})",
         "/routes/draft-text/path"},
        {R"({"placements": {"models": {"inscription": {"adapters": {"medal": {"sapporo": 5}}}}}})",
         "/placements/models/inscription/adapters/medal/sapporo"},
        {R"({"placements": {"services": {"order-desk": {"runners": {"otaru": 1}}}}})",
         "/placements/services/order-desk/runners"},
        {R"({"limits": {"retry_share": 1.5}})", "/limits/retry_share"},
    };
    for (const auto &[patch, pointer] : cases) {
        EXPECT_EQ(onlyProblem(patch).pointer, pointer) << patch;
    }
}

TEST(ParserTest, BytesThatAreNoDocumentAreRefused)
{
    EXPECT_FALSE(parse(""));
    EXPECT_FALSE(parse("{\"schema\": 1"));
    EXPECT_FALSE(parse("[]"));
    EXPECT_FALSE(parse("null"));
    EXPECT_FALSE(parse(std::string(MaximumBytes + 1, ' ')));
    EXPECT_FALSE(parse(std::string(100'000, '[')));
    EXPECT_NE(parse("{\"schema\": }").error().message.find("offset 12"), std::string::npos);
}

} // namespace

} // namespace LaburnumChute::Configuration
