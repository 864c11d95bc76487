#include <gtest/gtest.h>

#include "Entry/Entry.h"

namespace LaburnumChute::Entry {

namespace {

std::string eventText(const std::string &engine, const std::string &token)
{
    return "data: {\"system_fingerprint\":\"" + engine + "\",\"choices\":[{\"text\":\"" + token
           + "\"}]}\n\n";
}

// An engine fails after two tokens. Another engine receives the request and generates the same
// tokens again. The caller must receive each token once.
TEST(StreamContinuationTest, RepeatedEventsAreDroppedAndNewOnesForwarded)
{
    StreamContinuation stream;
    auto received = stream.feed(eventText("a", "For ") + eventText("a", "Aiko")).value();
    stream.restart();
    EXPECT_EQ(stream.feed(eventText("b", "For ")).value(), "");
    received += stream.feed(eventText("b", "Aiko") + eventText("b", ", 2026")).value();
    EXPECT_EQ(received, eventText("a", "For ") + eventText("a", "Aiko") + eventText("b", ", 2026"));
    EXPECT_EQ(stream.forwardedEvents(), 3U);
}

// The second engine samples different tokens. Joining both parts would give the caller a text that
// no engine generated.
TEST(StreamContinuationTest, DifferentTextIsAnError)
{
    StreamContinuation stream;
    ASSERT_TRUE(stream.feed(eventText("a", "For ")));
    stream.restart();
    EXPECT_FALSE(stream.feed(eventText("b", "To ")));
}

} // namespace

} // namespace LaburnumChute::Entry
