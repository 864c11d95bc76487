#include <gtest/gtest.h>

#include "LoadTool/AnswerCheck.h"
#include "LoadTool/SseEvents.h"
#include "StandIns/TokenText.h"

using namespace LaburnumChute;
using LoadTool::AnswerCheck;

namespace {

constexpr auto RunId = "cmpl-mine.1";

std::string token(std::uint64_t index)
{
    return StandIns::answerToken(StandIns::answerSeed("mine.1", "p", ""), index);
}

TEST(AnswerCheck, TakesWhatTheEngineGenerated)
{
    AnswerCheck check("mine", "p");
    EXPECT_TRUE(check.take(RunId, "e", token(1)));
    EXPECT_TRUE(check.take(RunId, "e", token(2) + token(3)));
    EXPECT_EQ(check.tokens(), 3U);
}

// Each of these is a fault that a caller would see as a wrong inscription.
TEST(AnswerCheck, FindsLostRepeatedForeignAndMixedTokens)
{
    AnswerCheck lost("mine", "p");
    lost.take(RunId, "e", token(1));
    EXPECT_FALSE(lost.take(RunId, "e", token(3)));
    AnswerCheck repeated("mine", "p");
    repeated.take(RunId, "e", token(1));
    EXPECT_FALSE(repeated.take(RunId, "e", token(1)));
    AnswerCheck foreign("other", "p");
    EXPECT_FALSE(foreign.take(RunId, "e", token(1)));
    AnswerCheck mixed("mine", "p");
    mixed.take(RunId, "e", token(1));
    EXPECT_FALSE(mixed.take("cmpl-mine.2", "e", token(2)));
    EXPECT_FALSE(mixed.fault().empty());
}

TEST(SseEvents, AreCutWhereverTheBytesBreak)
{
    LoadTool::SseEvents events;
    EXPECT_TRUE(events.feed(": waiting\n\nid: 1\ndata: a").empty());
    EXPECT_TRUE(events.feed("b\n").empty());
    const auto got = events.feed("\nevent: error\ndata: c\n\n");
    ASSERT_EQ(got.size(), 2U);
    EXPECT_EQ(got[0].data, "ab");
    EXPECT_EQ(got[1].name, "error");
}

} // namespace
