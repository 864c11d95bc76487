#include <gtest/gtest.h>

#include "Documents.h"

namespace LaburnumChute::Configuration {

namespace {

Problems changeOtaru(const nlohmann::json &after)
{
    const auto before = *parse(example("otaru").dump());
    const auto next = parse(after.dump());
    EXPECT_TRUE(next) << next.error().message;
    return next ? checkChange(*before, **next) : Problems();
}

TEST(ChangeTest, RemovingAModelTogetherWithItsRoutesStrandsItsCallers)
{
    // An operator deletes a model and all that names it in one patch. The document is consistent,
    // so its validation says nothing; the clerks who are drafting with the model get "not found".
    const auto problems = changeOtaru(otaruWith(R"({
        "models": {"inscription": null},
        "routes": {"draft-chat": null, "draft-text": null},
        "placements": {"models": {"inscription": null}}
    })"));
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].pointer, "/models/inscription");
}

TEST(ChangeTest, ServiceWithoutRunnersIsStranded)
{
    const auto problems = changeOtaru(otaruWith(R"({
        "routes": {"orders": null},
        "placements": {"services": {"order-desk": null}}
    })"));
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].pointer, "/placements/services/order-desk/runners");
}

TEST(ChangeTest, AdapterThatStandsOnRunnersIsStranded)
{
    const auto problems = changeOtaru(otaruWith(R"({
        "models": {"inscription": {"adapters": ["plaque"]}},
        "placements": {"models": {"inscription": {"adapters": {"medal": null}}}}
    })"));
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems[0].pointer, "/models/inscription/adapters");
}

TEST(ChangeTest, TakingAwayRoutesFirstIsAllowed)
{
    const auto withoutRoutes = otaruWith(R"({"routes": {"draft-chat": null, "draft-text": null}})");
    EXPECT_TRUE(changeOtaru(withoutRoutes).empty());
    EXPECT_TRUE(
        changeOtaru(
            otaruWith(
                R"({"placements": {"models": {"inscription": {"runners": {"sapporo": 6}}}}})"))
            .empty());
}

} // namespace

} // namespace LaburnumChute::Configuration
