#include <gtest/gtest.h>

#include "Dispatch/PrefillQueue.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr Time Start = Time(seconds(100));

// Two instances send an engine a prompt with 400 ms of prefill at the same time. Guards against
// counting both down in parallel: after 400 ms the engine would seem idle while it is still busy.
TEST(PrefillQueueTest, PromptsArePrefilledOneAfterTheOther)
{
    PrefillQueue queue;
    queue.add(Start, milliseconds(400));
    queue.add(Start, milliseconds(400));
    EXPECT_EQ(queue.wait(Start), Duration(milliseconds(800)));
    EXPECT_EQ(queue.wait(Start + milliseconds(500)), Duration(milliseconds(300)));
    EXPECT_EQ(queue.wait(Start + seconds(2)), Duration(0));
}

// Time during which an engine was idle does not count towards later prompts.
TEST(PrefillQueueTest, IdleTimeIsNotAccumulated)
{
    PrefillQueue queue;
    queue.add(Start, milliseconds(10));
    queue.add(Start + seconds(5), milliseconds(400));
    EXPECT_EQ(queue.wait(Start + seconds(5)), Duration(milliseconds(400)));
}

// The first event of a prompt is early: the prompts that were sent before it are prefilled, too.
TEST(PrefillQueueTest, FirstEventCompletesEarlierPrompts)
{
    PrefillQueue queue;
    queue.add(Start, milliseconds(300));
    queue.add(Start + milliseconds(10), milliseconds(300));
    queue.add(Start + milliseconds(20), milliseconds(100));
    queue.prefilledUpTo(Start + milliseconds(10), Start + milliseconds(50));
    EXPECT_EQ(queue.wait(Start + milliseconds(50)), Duration(milliseconds(100)));
}

// A caller leaves before the prefill of its prompt: others do not wait for it any more.
TEST(PrefillQueueTest, CancelledPromptIsNotWaitedFor)
{
    PrefillQueue queue;
    queue.add(Start, milliseconds(300));
    queue.add(Start + milliseconds(10), milliseconds(200));
    queue.remove(Start, Start + milliseconds(10));
    EXPECT_EQ(queue.wait(Start + milliseconds(10)), Duration(milliseconds(200)));
}

// A short prompt is added while an engine prefills a long one for half a second. Guards against
// accounting for the passed time differently when a prompt is added: the wait would shrink, and
// requests would be sent that the engine cannot answer in time.
TEST(PrefillQueueTest, AddingAPromptDoesNotShortenTheWait)
{
    PrefillQueue queue;
    PrefillQueue undisturbed;
    queue.add(Start, milliseconds(500));
    undisturbed.add(Start, milliseconds(500));
    for (const milliseconds after : {milliseconds(100), milliseconds(200), milliseconds(300)}) {
        queue.add(Start + after, Duration(0));
        EXPECT_EQ(queue.wait(Start + after), undisturbed.wait(Start + after));
    }
}

} // namespace

} // namespace LaburnumChute::Dispatch
