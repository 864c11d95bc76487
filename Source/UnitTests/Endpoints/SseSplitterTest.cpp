#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Endpoints/Endpoints.h"

namespace LaburnumChute::Endpoints {

namespace {

std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: token " + std::to_string(number) + "\n\n";
}

TEST(SseSplitterTest, CommentsAndPartialEventsAreNotReturned)
{
    SseSplitter splitter;
    EXPECT_EQ(splitter.feed(": waiting\n\nid: 1\nda"), "");
    EXPECT_EQ(splitter.feed("ta: a\n\nid: 2\ndata: b"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(splitter.lastEventId(), 1U);
    EXPECT_EQ(splitter.events(), 1U);
}

// A connection breaks inside the second event and the stream continues on a new connection, which
// sends that event again from the start. The caller must not receive the incomplete event.
TEST(SseSplitterTest, PartialEventIsDiscardedBeforeAnotherConnectionContinues)
{
    SseSplitter splitter;
    std::string received = splitter.feed(eventText(1) + "id: 2\ndata: tok");
    splitter.discardPartialEvent();
    received += splitter.feed(eventText(2) + "data: [DONE]\n\n");
    EXPECT_EQ(received, eventText(1) + eventText(2) + "data: [DONE]\n\n");
    EXPECT_TRUE(splitter.done());
    EXPECT_EQ(splitter.lastEventId(), 2U);
}

RC_GTEST_PROP(SseSplitterProperty, AnyCutOfTheBytesGivesTheSameEvents, ())
{
    std::string stream;
    const auto count = *rc::gen::inRange(1, 20);
    for (int number = 1; number <= count; ++number) {
        stream += eventText(number);
    }
    SseSplitter splitter;
    std::string received;
    std::size_t start = 0;
    while (start < stream.size()) {
        const auto length = *rc::gen::inRange<std::size_t>(1, 40);
        received += splitter.feed(std::string_view(stream).substr(start, length));
        start += length;
    }
    RC_ASSERT(received == stream);
    RC_ASSERT(splitter.events() == static_cast<std::uint64_t>(count));
}

} // namespace

} // namespace LaburnumChute::Endpoints
