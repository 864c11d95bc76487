#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Relay/EventCutter.h"

namespace LaburnumChute::Relay {

TEST(EventCutterTest, CompleteEventsAreUnchanged)
{
    EventCutter cutter;
    EXPECT_EQ(cutter.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(cutter.lastId(), "1");
    EXPECT_EQ(cutter.feed("ta: b\n"), "");
    EXPECT_EQ(cutter.feed("\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(cutter.lastId(), "2");
}

TEST(EventCutterTest, CarriageReturnsAndOtherFieldsAreKept)
{
    EventCutter cutter;
    const std::string event = "weight-versions: 4\r\nid: 7\r\ndata: x\r\n\r\n";
    EXPECT_EQ(cutter.feed(event), event);
    EXPECT_EQ(cutter.lastId(), "7");
}

// A stream breaks inside an event and is resumed at another endpoint after the last complete event.
// If the partial event were passed on, it would be joined with the complete one.
TEST(EventCutterTest, IncompleteEventIsDiscardedOnRestart)
{
    EventCutter cutter;
    cutter.feed("id: 1\ndata: a\n\nid: 2\ndata: hal");
    cutter.restart();
    EXPECT_EQ(cutter.feed("id: 2\ndata: whole\n\n"), "id: 2\ndata: whole\n\n");
}

// The endpoint that resumes the stream repeats events that the caller already has.
TEST(EventCutterTest, RepeatedEventsAreSkippedAfterRestart)
{
    EventCutter cutter;
    cutter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    cutter.restart();
    EXPECT_EQ(cutter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
              "id: 3\ndata: c\n\n");
}

TEST(EventCutterTest, TellsAnIncompleteEventFromLineBreaksBetweenEvents)
{
    EventCutter cutter;
    cutter.feed("id: 1\ndata: a\n\n");
    EXPECT_EQ(cutter.incompleteEventBytes(), 0U);
    cutter.feed("\r\n");
    EXPECT_EQ(cutter.incompleteEventBytes(), 0U);
    cutter.feed("data: b\n");
    EXPECT_GT(cutter.incompleteEventBytes(), 0U);
    cutter.feed("\n");
    EXPECT_EQ(cutter.incompleteEventBytes(), 0U);
}

TEST(EventCutterTest, RemainderIsReturnedAtTheEnd)
{
    EventCutter cutter;
    cutter.feed("id: 1\ndata: a\n\ndata: end");
    EXPECT_EQ(cutter.takeRemainder(), "data: end");
    EXPECT_EQ(cutter.takeRemainder(), "");
}

// Guards against an event without end that is kept in memory unseen.
TEST(EventCutterTest, BytesHeldBackAreKnown)
{
    const std::string large(250000, 'x');
    EventCutter cutter;
    EXPECT_EQ(cutter.feed("id: 1\ndata: " + large + "\n\n").size(), large.size() + 14);
    EXPECT_EQ(cutter.pendingBytes(), 0U);
    cutter.feed("data: " + large);
    EXPECT_EQ(cutter.pendingBytes(), large.size() + 6);
    cutter.restart();
    EXPECT_EQ(cutter.pendingBytes(), 0U);
}

RC_GTEST_PROP(EventCutterProperty, AnySplitOfTheBytesGivesTheSameEvents, ())
{
    std::string stream;
    const auto events = *rc::gen::inRange(1, 8);
    for (int index = 0; index < events; ++index) {
        const auto *end = *rc::gen::element("\n", "\r\n");
        stream += "id: " + std::to_string(index) + end + "data: x" + end + end;
    }
    EventCutter cutter;
    std::string output;
    std::size_t position = 0;
    while (position < stream.size()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 12);
        output += cutter.feed(std::string_view(stream).substr(position, size));
        position += size;
    }
    RC_ASSERT(output == stream);
    RC_ASSERT(cutter.lastId() == std::to_string(events - 1));
}

} // namespace LaburnumChute::Relay
