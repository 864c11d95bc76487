#include <gtest/gtest.h>

#include "Entry/Entry.h"

namespace LaburnumChute::Entry {

namespace {

using nlohmann::json;

TEST(CompletionAssemblerTest, ChunksBecomeOneChatCompletion)
{
    CompletionAssembler answer(ModelCallKind::ChatCompletion);
    ASSERT_TRUE(
        answer.feed("id: 1\ndata: {\"id\":\"chatcmpl-1\",\"model\":\"m\",\"choices\":[{\"index\":0,"
                    "\"delta\":{\"role\":\"assistant\",\"content\":\"For \"}}]}\n\n"));
    ASSERT_TRUE(answer.feed("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"Aiko\"},"
                            "\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"));
    const auto document = json::parse(answer.body());
    EXPECT_EQ(document["object"], "chat.completion");
    EXPECT_EQ(document["id"], "chatcmpl-1");
    EXPECT_EQ(document["choices"][0]["message"]["content"], "For Aiko");
    EXPECT_EQ(document["choices"][0]["finish_reason"], "stop");
}

TEST(CompletionAssemblerTest, ToolCallArgumentsAreJoined)
{
    CompletionAssembler answer(ModelCallKind::ChatCompletion);
    ASSERT_TRUE(
        answer.feed("data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":"
                    "0,\"id\":\"t\",\"function\":{\"name\":\"ticket\",\"arguments\":\"{\"}}]"
                    "}}]}\n\n"));
    ASSERT_TRUE(
        answer.feed("data: {\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":"
                    "0,\"function\":{\"arguments\":\"}\"}}]}}]}\n\n"));
    const auto call =
        json::parse(answer.body())["choices"][0]["message"]["tool_calls"][0]["function"];
    EXPECT_EQ(call["name"], "ticket");
    EXPECT_EQ(call["arguments"], "{}");
}

TEST(CompletionAssemblerTest, EventThatIsNotAnObjectIsAnError)
{
    CompletionAssembler answer(ModelCallKind::Completion);
    EXPECT_FALSE(answer.feed("data: 7\n\n"));
}

// Guards against an exception that ends the process when an engine in trouble sends other types.
TEST(CompletionAssemblerTest, ChoiceOfAnotherFormIsAnError)
{
    CompletionAssembler answer(ModelCallKind::Completion);
    EXPECT_FALSE(answer.feed("data: {\"choices\":[7]}\n\n"));
    EXPECT_FALSE(answer.feed("data: {\"choices\":[{\"index\":\"a\"}]}\n\n"));
}

// Guards against counting a part of an answer as free, which an engine could send without end.
TEST(CompletionAssemblerTest, EachPartCountsAsMemory)
{
    CompletionAssembler answer(ModelCallKind::ChatCompletion);
    std::size_t before = 0;
    const std::string choice = "{\"index\":1,\"delta\":";
    for (const std::string &part :
         {choice + "{\"content\":\"text\"}}", choice + "{\"tool_calls\":[{\"index\":0}]}}",
          choice + "{\"tool_calls\":[{\"index\":0,\"function\":{\"arguments\":\"a\"}}]}}"}) {
        ASSERT_TRUE(answer.feed("data: {\"choices\":[" + part + "]}\n\n"));
        EXPECT_GT(answer.bytes(), before);
        before = answer.bytes();
    }
}

} // namespace

} // namespace LaburnumChute::Entry
