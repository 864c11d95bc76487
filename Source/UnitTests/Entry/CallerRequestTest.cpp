#include <gtest/gtest.h>

#include "Entry/Entry.h"

namespace LaburnumChute::Entry {

namespace {

TEST(CallerHeadersTest, ParsesValuesAndIgnoresTheCaseOfNames)
{
    const auto headers = parseCallerHeaders({{"authorization", "Bearer abc"},
                                             {"LABURNUMCHUTE-DEADLINE-MS", "1500"},
                                             {"laburnumchute-repeatable", "false"}});
    ASSERT_TRUE(headers);
    EXPECT_EQ(headers->bearerToken, "abc");
    EXPECT_EQ(headers->deadline, Common::milliseconds(1500));
    EXPECT_EQ(headers->repeatable, false);
}

TEST(CallerHeadersTest, ErrorNamesTheInvalidHeader)
{
    const auto headers = parseCallerHeaders({{"Laburnumchute-Deadline-Ms", "soon"}});
    ASSERT_FALSE(headers);
    EXPECT_EQ(headers.error().message,
              "Laburnumchute-Deadline-Ms: the value \"soon\" is not valid; "
              "expected whole milliseconds from 1 to 86400000");
}

TEST(ModelCallTest, ParsesChatTextAndModel)
{
    const auto call = parseModelCall(ModelCallKind::ChatCompletion,
                                     R"({"model":"inscription:brass","stream":true,"max_tokens":7,
            "messages":[{"role":"user","content":"a"},
                        {"role":"assistant","content":[{"type":"text","text":"b"}]}]})");
    ASSERT_TRUE(call);
    EXPECT_EQ(call->model.text(), "inscription");
    EXPECT_EQ(call->adapter.text(), "brass");
    EXPECT_TRUE(call->stream);
    EXPECT_EQ(call->maxTokens, 7U);
    EXPECT_EQ(call->promptText, "user\na\nassistant\nb\n");
}

TEST(ModelCallTest, BodiesWithInvalidMembersAreRejected)
{
    const auto kind = ModelCallKind::ChatCompletion;
    EXPECT_FALSE(parseModelCall(kind, "{"));
    EXPECT_FALSE(parseModelCall(kind, "[]"));
    EXPECT_FALSE(parseModelCall(kind, R"({"messages":[]})"));
    EXPECT_FALSE(parseModelCall(kind, R"({"model":"m","messages":[]})"));
    EXPECT_FALSE(parseModelCall(kind, R"({"model":"m","messages":[{"role":1}]})"));
    EXPECT_FALSE(parseModelCall(kind, R"({"model":"m","stream":3,
                                          "messages":[{"role":"user","content":"a"}]})"));
    EXPECT_FALSE(parseModelCall(ModelCallKind::Completion, R"({"model":"m","prompt":[1]})"));
}

TEST(PrefixTest, OnlySharedPrefixBlocksHaveEqualHashes)
{
    const std::string shared(512, 'a');
    const auto left = prefixHashes(shared + std::string(256, 'b'));
    const auto right = prefixHashes(shared + std::string(256, 'c'));
    ASSERT_EQ(left.size(), 3U);
    EXPECT_EQ(left[0], right[0]);
    EXPECT_EQ(left[1], right[1]);
    EXPECT_NE(left[2], right[2]);
    EXPECT_NE(left[0], left[1]);
}

} // namespace

} // namespace LaburnumChute::Entry
