#include <gtest/gtest.h>

#include "Dispatch/ReadingQueue.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr Time Start = Time(seconds(100));

// Two instances send an engine a prompt of 400 ms each in the same moment. Each sum by itself has
// run off after 400 ms, while the engine still reads: a third prompt would be promised an idle
// engine.
TEST(ReadingQueueTest, PromptsAreReadOneAfterTheOther)
{
    ReadingQueue queue;
    queue.add(Start, milliseconds(400));
    queue.add(Start, milliseconds(400));
    EXPECT_EQ(queue.wait(Start), Duration(milliseconds(800)));
    EXPECT_EQ(queue.wait(Start + milliseconds(500)), Duration(milliseconds(300)));
    EXPECT_EQ(queue.wait(Start + seconds(2)), Duration(0));
}

// An engine has been idle for a while. The time that passed does not count towards what comes next.
TEST(ReadingQueueTest, IdleTimeIsNotSavedUp)
{
    ReadingQueue queue;
    queue.add(Start, milliseconds(10));
    queue.add(Start + seconds(5), milliseconds(400));
    EXPECT_EQ(queue.wait(Start + seconds(5)), Duration(milliseconds(400)));
}

// The first event of a prompt comes early. What was sent before it has been read, too.
TEST(ReadingQueueTest, AFirstEventShowsWhatHasBeenRead)
{
    ReadingQueue queue;
    queue.add(Start, milliseconds(300));
    queue.add(Start + milliseconds(10), milliseconds(300));
    queue.add(Start + milliseconds(20), milliseconds(100));
    queue.readUpTo(Start + milliseconds(10), Start + milliseconds(50));
    EXPECT_EQ(queue.wait(Start + milliseconds(50)), Duration(milliseconds(100)));
}

// A caller leaves before its prompt is read. Its engine is no longer kept from others for it.
TEST(ReadingQueueTest, AnAbandonedPromptIsNotWaitedFor)
{
    ReadingQueue queue;
    queue.add(Start, milliseconds(300));
    queue.add(Start + milliseconds(10), milliseconds(200));
    queue.remove(Start, Start + milliseconds(10));
    EXPECT_EQ(queue.wait(Start + milliseconds(10)), Duration(milliseconds(200)));
}

// An engine that makes tokens for others reads a prompt for half a second. Meanwhile it is sent
// something short. Had time run off in one way at that moment and in another between two prompts,
// the wait would shrink by the new prompt, and requests be promised what the engine cannot keep.
TEST(ReadingQueueTest, WhatIsAddedMeanwhileDoesNotShortenTheWait)
{
    ReadingQueue queue;
    ReadingQueue undisturbed;
    queue.add(Start, milliseconds(500));
    undisturbed.add(Start, milliseconds(500));
    for (const milliseconds after : {milliseconds(100), milliseconds(200), milliseconds(300)}) {
        queue.add(Start + after, Duration(0));
        EXPECT_EQ(queue.wait(Start + after), undisturbed.wait(Start + after));
    }
}

} // namespace

} // namespace LaburnumChute::Dispatch
