#include <gtest/gtest.h>

#include "StandIns/BatchScheduler.h"
#include "StandIns/TokenText.h"

using namespace LaburnumChute;
using StandIns::BatchScheduler;
using StandIns::BatchSettings;
using StandIns::Sequence;

namespace {

constexpr Common::milliseconds Base{10};
constexpr Common::milliseconds PerSequence{1};

BatchSettings settings()
{
    BatchSettings settings;
    settings.batchLimit = 2;
    settings.stepBase = Base;
    settings.stepPerSequence = PerSequence;
    settings.prefillTokensPerSecond = 1000;
    settings.prefillChunkTokens = 100;
    settings.kvLimitTokens = 1000;
    return settings;
}

Sequence sequence(std::uint64_t id, int priority = 0, std::size_t promptTokens = 1)
{
    Sequence sequence;
    sequence.id = id;
    sequence.priority = priority;
    sequence.promptTokens = promptTokens;
    sequence.maxTokens = 10;
    return sequence;
}

/// Runs steps until the sequence has a token; the number of steps.
int stepsToFirstToken(BatchScheduler &scheduler, std::uint64_t id)
{
    for (int steps = 1; steps < 100; ++steps) {
        scheduler.beginStep({});
        for (const auto &event : scheduler.finishStep({})) {
            if (event.sequence == id) {
                return steps;
            }
        }
    }
    return -1;
}

TEST(BatchScheduler, AStepGrowsWithTheSequencesThatDecode)
{
    BatchScheduler scheduler(settings());
    scheduler.submit(sequence(1));
    stepsToFirstToken(scheduler, 1);
    EXPECT_EQ(*scheduler.beginStep({}), Base + PerSequence);
    scheduler.finishStep({});
    scheduler.submit(sequence(2));
    stepsToFirstToken(scheduler, 2);
    EXPECT_EQ(*scheduler.beginStep({}), Base + 2 * PerSequence);
}

TEST(BatchScheduler, ALongPromptTakesSeveralStepsAndTheCachedPartNone)
{
    const std::string prompt(256 * StandIns::TokenBytes, 'p');
    BatchScheduler scheduler(settings());
    auto first = sequence(1, 0, 256);
    first.chain = StandIns::blockChain(prompt);
    auto second = first;
    second.id = 2;
    scheduler.submit(first);
    EXPECT_EQ(stepsToFirstToken(scheduler, 1), 4); // 100 + 100 + 56, then the first token
    scheduler.remove(1);
    scheduler.submit(second);
    EXPECT_EQ(stepsToFirstToken(scheduler, 2), 2);
    EXPECT_EQ(scheduler.find(2)->cachedTokens, 256U);
}

TEST(BatchScheduler, LowerPriorityNumbersEnterTheBatchFirst)
{
    BatchScheduler scheduler(settings());
    scheduler.submit(sequence(1, 5));
    scheduler.submit(sequence(2, 1));
    scheduler.submit(sequence(3, 0));
    scheduler.beginStep({});
    EXPECT_FALSE(scheduler.find(1)->begun);
    EXPECT_TRUE(scheduler.find(2)->begun);
    EXPECT_TRUE(scheduler.find(3)->begun);
    EXPECT_EQ(scheduler.waiting(), 1U);
}

TEST(BatchScheduler, ARemovedSequenceGivesNoTokenInTheStepUnderWay)
{
    BatchScheduler scheduler(settings());
    scheduler.submit(sequence(1));
    stepsToFirstToken(scheduler, 1);
    scheduler.beginStep({});
    EXPECT_EQ(scheduler.remove(1)->generated, 1U);
    EXPECT_TRUE(scheduler.finishStep({}).empty());
    EXPECT_EQ(scheduler.usedTokens(), 0U);
}

TEST(BatchScheduler, AReaderWhoStopsPausesHisSequence)
{
    auto limited = settings();
    limited.pauseAheadTokens = 2;
    BatchScheduler scheduler(limited);
    scheduler.submit(sequence(1));
    while (scheduler.beginStep({})) {
        scheduler.finishStep({});
    }
    EXPECT_EQ(scheduler.find(1)->generated, 2U);
    scheduler.setRead(1, 1);
    EXPECT_TRUE(scheduler.beginStep({}));
}

} // namespace
