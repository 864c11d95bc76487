#include <gtest/gtest.h>

#include "Entry/Entry.h"

namespace LaburnumChute::Entry {

namespace {

std::string eventText(const std::string &engine, const std::string &token)
{
    return "data: {\"system_fingerprint\":\"" + engine + "\",\"choices\":[{\"text\":\"" + token
           + "\"}]}\n\n";
}

// An engine goes down after two tokens of an answer. Another one is given the request and generates
// the same tokens again. The caller must see each token once.
TEST(StreamContinuationTest, RepeatedEventsAreDroppedAndNewOnesPassedOn)
{
    StreamContinuation stream;
    auto seen = stream.feed(eventText("a", "For ") + eventText("a", "Aiko")).value();
    stream.restart();
    EXPECT_EQ(stream.feed(eventText("b", "For ")).value(), "");
    seen += stream.feed(eventText("b", "Aiko") + eventText("b", ", 2026")).value();
    EXPECT_EQ(seen, eventText("a", "For ") + eventText("a", "Aiko") + eventText("b", ", 2026"));
    EXPECT_EQ(stream.passed(), 3U);
}

// The second engine samples and says something else. Joining the halves would give the caller a
// text that nobody generated.
TEST(StreamContinuationTest, DifferentTextIsAnError)
{
    StreamContinuation stream;
    ASSERT_TRUE(stream.feed(eventText("a", "For ")));
    stream.restart();
    EXPECT_FALSE(stream.feed(eventText("b", "To ")));
}

} // namespace

} // namespace LaburnumChute::Entry
