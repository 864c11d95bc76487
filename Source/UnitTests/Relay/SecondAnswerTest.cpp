#include <gtest/gtest.h>

#include "Relay/SecondAnswer.h"

namespace LaburnumChute::Relay {

namespace {

const std::string Head = "HTTP/1.1 200 OK\r\nLoad: 1\r\nId: 00ab\r\n\r\n";

/// Whether a second answer is found in the body, which comes in pieces of the size.
bool isFound(const std::string &body, std::size_t size)
{
    SecondAnswer finder("00ab");
    bool found = false;
    for (std::size_t at = 0; at < body.size(); at += size) {
        found = finder.feed(std::string_view(body).substr(at, size)) || found;
    }
    return found;
}

} // namespace

// Guards against a second answer that passes for the end of the first one.
TEST(SecondAnswerTest, AHeadWithTheIdIsFoundHoweverItArrives)
{
    for (std::size_t size = 1; size < Head.size(); ++size) {
        EXPECT_TRUE(isFound("body HTTP/" + Head + "more", size)) << size;
    }
}

TEST(SecondAnswerTest, OtherBytesAreNoSecondAnswer)
{
    for (const std::size_t size : {1, 7, 1000}) {
        EXPECT_FALSE(isFound("HTTP/1.1 200 OK\r\nId: 00ac\r\n\r\nId: 00ab", size));
        EXPECT_FALSE(isFound("POST /x HTTP/1.1\r\nId: 00ab\r\n\r\n", size));
        EXPECT_FALSE(isFound("see HTTP/1.1 and Id: 00ab", size));
        EXPECT_FALSE(isFound("HTTP/1.1 2", size));
    }
}

TEST(SecondAnswerTest, AnAnswerOfAnotherAttemptStartsAnew)
{
    SecondAnswer finder("00ab");
    EXPECT_FALSE(finder.feed("HTTP/1.1 200 OK\r\n"));
    finder.restart();
    EXPECT_FALSE(finder.feed("Id: 00ab\r\n\r\n"));
}

} // namespace LaburnumChute::Relay
