#include <gtest/gtest.h>

#include "Documents.h"

namespace LaburnumChute::Configuration {

namespace {

using nlohmann::json;

TEST(PatchTest, ArrayIsAJsonPatch)
{
    const auto done = applyPatch(R"({"a": {"b": 1}})",
                                 R"([{"op": "test", "path": "/a/b", "value": 1},
                                     {"op": "replace", "path": "/a/b", "value": 2}])");
    ASSERT_TRUE(done);
    EXPECT_EQ(json::parse(*done), json::parse(R"({"a": {"b": 2}})"));
}

TEST(PatchTest, ObjectIsAMergePatch)
{
    const auto done = applyPatch(R"({"a": {"b": 1, "c": 2}})", R"({"a": {"b": null, "d": 3}})");
    ASSERT_TRUE(done);
    EXPECT_EQ(json::parse(*done), json::parse(R"({"a": {"c": 2, "d": 3}})"));
}

TEST(PatchTest, PatchThatDoesNotFitIsAConflict)
{
    const auto failedTest =
        applyPatch(R"({"a": 1})", R"([{"op": "test", "path": "/a", "value": 2}])");
    ASSERT_FALSE(failedTest);
    EXPECT_EQ(failedTest.error().code, Common::ErrorCode::Conflict);
    EXPECT_FALSE(applyPatch(R"({"a": 1})", R"([{"op": "remove", "path": "/b"}])"));
}

TEST(PatchTest, WhatIsNoPatchIsAnInvalidArgument)
{
    for (const auto *patch : {"", "7", "null", "{\"a\":", "\"text\""}) {
        const auto done = applyPatch("{}", patch);
        ASSERT_FALSE(done) << patch;
        EXPECT_EQ(done.error().code, Common::ErrorCode::InvalidArgument) << patch;
    }
    EXPECT_FALSE(applyPatch("{", "{}"));
    EXPECT_FALSE(applyPatch("{}", "[7]"));
}

} // namespace

} // namespace LaburnumChute::Configuration
