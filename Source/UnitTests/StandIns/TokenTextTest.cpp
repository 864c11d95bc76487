#include <gtest/gtest.h>

#include "Common/Common.h"
#include "StandIns/TokenText.h"

using namespace LaburnumChute::StandIns;

namespace {

TEST(TokenText, TheAnswerDependsOnRequestPromptAndSalt)
{
    const auto seed = answerSeed("r", "p", "");
    EXPECT_EQ(answerText(seed, 3),
              answerToken(seed, 1) + answerToken(seed, 2) + answerToken(seed, 3));
    EXPECT_EQ(answerToken(seed, 1).size(), TokenBytes);
    EXPECT_NE(answerText(seed, 8), answerText(answerSeed("q", "p", ""), 8));
    EXPECT_NE(answerText(seed, 8), answerText(answerSeed("r", "q", ""), 8));
    EXPECT_NE(answerText(seed, 8), answerText(answerSeed("r", "p", "e1"), 8));
}

TEST(TokenText, PromptTextOfTheOpenAiShapes)
{
    using nlohmann::json;
    EXPECT_EQ(promptText({{"prompt", "a"}}), "a");
    EXPECT_EQ(promptText({{"prompt", json::array({"a", "b"})}}), "a\nb");
    const json part = {{"type", "text"}, {"text", "x"}};
    const json chat = json::array({{{"role", "system"}, {"content", "s"}},
                                   {{"role", "user"}, {"content", json::array({part, part})}}});
    EXPECT_EQ(promptText({{"messages", chat}}), "system\ns\nuser\nxx\n");
}

TEST(TokenText, OnlyFullBlocksAreHashedAndEachOverItsPredecessor)
{
    const std::string block(BlockTokens * TokenBytes, 'a');
    const auto chain = blockChain(block + block + "rest");
    ASSERT_EQ(chain.size(), 2U);
    EXPECT_NE(chain[0], chain[1]);
    EXPECT_EQ(chain[0], LaburnumChute::Common::stableHash(std::string(8, '\0') + block));
}

} // namespace
