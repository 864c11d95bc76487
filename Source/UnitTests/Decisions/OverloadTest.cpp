#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Decisions/WaitQueue.h"
#include "Support.h"

namespace LaburnumChute::Decisions {

using namespace Testing;

namespace {

/// One engine whose batch of 8 and one waiting place are taken by "b0" to "b8".
World fullWorld(const SchedulerOptions &options = tightOptions())
{
    World world(options);
    world.addEngines(1);
    for (int index = 0; index < 9; ++index) {
        world.submit(request("b" + std::to_string(index), "before"));
    }
    return world;
}

/// Ends one request of the full engine; the one that is sent in its place.
std::string serveOne(World &world)
{
    world.now += milliseconds(50);
    const auto sent = all<Dispatch>(world.finish(*world.on["e0"].begin()));
    return sent.empty() ? "" : sent.front().request.text();
}

// Call histories wait for a place as a call-taker's line comes in. In the order of arrival the
// line would wait for all of them.
TEST(OverloadTest, AShortLineIsServedBeforeHistoriesThatCameEarlier)
{
    auto world = fullWorld();
    for (int index = 0; index < 2; ++index) {
        auto history = request("history" + std::to_string(index), "dispatch");
        history.promptTokens = 10000;
        world.submit(history);
    }
    world.now += milliseconds(100);
    world.submit(request("line"));
    EXPECT_EQ(serveOne(world), "line");
    EXPECT_EQ(serveOne(world), "history0");
}

// Prompt lines keep coming for as long as the engine can serve them. By priority alone a history of
// lower priority would never be condensed.
TEST(OverloadTest, LowerPriorityIsServedWithinTheBoundOfTurns)
{
    auto world = fullWorld();
    auto history = request("history");
    history.priority = 1;
    world.submit(history);
    int turns = 0;
    std::string served;
    while (served != "history" && turns < 50) {
        world.submit(request("line" + std::to_string(turns)));
        served = serveOne(world);
        ++turns;
    }
    EXPECT_LE(turns, QueueOptions().lowerPriorityRatio + 1);
    EXPECT_GT(turns, 1) << "but the lines come first";
}

// Histories of fifty times a line's work wait beside lines. Given every tenth turn they would take
// most of the engines, and the call-takers' lines would wait although they alone fit easily.
TEST(OverloadTest, LowerPriorityGetsAShareOfTheWorkAndNotOfTheTurns)
{
    auto world = fullWorld();
    for (int index = 0; index < 3; ++index) {
        auto history = request("history" + std::to_string(index), "dispatch");
        history.priority = 1;
        history.patience = Patience::Long;
        history.expectedOutputTokens = 5000;
        world.submit(history);
    }
    int histories = 0;
    for (int turn = 0; turn < 100; ++turn) {
        world.submit(request("line" + std::to_string(turn), "c" + std::to_string(turn)));
        histories += serveOne(world).find("history") == 0 ? 1 : 0;
    }
    EXPECT_LE(histories, 1);
}

// One office resends all afternoon and has forty requests waiting; a school sends its first.
TEST(OverloadTest, AHotCustomerDoesNotDelayTheOthers)
{
    auto options = tightOptions();
    options.admission.enabled = false;
    auto world = fullWorld(options);
    for (int index = 0; index < 40; ++index) {
        world.submit(request("hot" + std::to_string(index), "office"));
        world.now += milliseconds(1);
    }
    serveOne(world);
    serveOne(world);
    world.submit(request("first", "school"));
    EXPECT_EQ(serveOne(world), "first");
}

// The same office fills the queue. It may hold its part of what can wait; the school is let in.
TEST(OverloadTest, UnderContentionACustomerIsLetInUpToItsShare)
{
    auto world = fullWorld();
    int refused = 0;
    for (int index = 0; index < 400; ++index) {
        const auto effects = world.submit(request("hot" + std::to_string(index), "office"));
        for (const auto &refusal : all<Reject>(effects)) {
            ++refused;
            EXPECT_EQ(refusal.run, RunState::NotRun);
            EXPECT_GT(refusal.retryAfter, Duration(0));
        }
    }
    EXPECT_GT(refused, 0);
    EXPECT_FALSE(has<Reject>(world.submit(request("first", "school"))));
}

// A depot has histories waiting for half an hour of work. Its call-takers' lines are another
// matter.
TEST(OverloadTest, ACustomersHistoriesDoNotShutOutItsLines)
{
    auto world = fullWorld();
    for (int index = 0; index < 4; ++index) {
        auto history = request("history" + std::to_string(index), "depot");
        history.priority = 1;
        history.patience = Patience::Long;
        history.expectedOutputTokens = 2000;
        world.submit(history);
    }
    for (int index = 0; index < 8; ++index) {
        const auto id = "line" + std::to_string(index);
        EXPECT_FALSE(has<Reject>(world.submit(request(id, "depot")))) << index;
        world.submit(request("other" + std::to_string(index), "other"));
    }
}

// A burst of ten times what can be begun in time. A caller who is told at once may go elsewhere;
// one who is kept until its deadline has lost that time.
TEST(OverloadTest, ABurstIsRefusedAtOnceAndMayReturnAfterTheTimeNamed)
{
    auto world = fullWorld();
    std::optional<Duration> retryAfter;
    for (int index = 0; index < 300 && !retryAfter; ++index) {
        const auto customer = "school" + std::to_string(index);
        const auto refusals =
            all<Reject>(world.submit(request("r" + std::to_string(index), customer)));
        if (!refusals.empty()) {
            retryAfter = refusals.front().retryAfter;
        }
    }
    ASSERT_TRUE(retryAfter);
    EXPECT_LE(*retryAfter, seconds(10));
    const auto back = world.now + *retryAfter;
    while (world.now < back) {
        serveOne(world);
    }
    EXPECT_FALSE(has<Reject>(world.submit(request("again", "school0"))));
}

// Half of the engines are lost under load. A limit on the number of waiting requests that was right
// before lets callers in who will wait twice as long as they stay.
TEST(OverloadTest, WhatMayWaitFollowsTheCapacityThatIsLeft)
{
    const auto letIn = [](int engineCount) {
        World world(tightOptions());
        world.addEngines(engineCount);
        int count = 0;
        while (count < 5000
               && !has<Reject>(world.submit(
                   request("r" + std::to_string(count), "c" + std::to_string(count))))) {
            ++count;
        }
        return count - 9 * engineCount;
    };
    const int withOne = letIn(1);
    const int withFour = letIn(4);
    EXPECT_GT(withOne, 0);
    EXPECT_NEAR(withFour, 4 * withOne, 0.1 * withFour);
}

TEST(OverloadTest, ADeadlineThatCannotBeMetIsRefusedAtOnce)
{
    auto world = fullWorld();
    for (int index = 0; index < 60; ++index) {
        world.submit(request("r" + std::to_string(index), "c" + std::to_string(index)));
    }
    auto facts = request("hasty", "school");
    facts.deadline = world.now + milliseconds(100);
    const auto refusals = all<Reject>(world.submit(facts));
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().reason, RejectReason::DeadlineTooClose);
}

RC_GTEST_PROP(OverloadProperty, NobodyStarvesPastTheStatedBound, ())
{
    const auto count = *rc::gen::inRange(1, 40);
    const QueueOptions options;
    WaitQueue queue(options);
    Time now = Time() + seconds(100);
    std::map<std::string, int> allowed;
    int serial = 0;
    const auto push = [&] {
        Waiting waiting;
        waiting.id = RequestId(std::to_string(serial++));
        waiting.customer = CustomerName(std::to_string(*rc::gen::inRange(0, 5)));
        waiting.priority = *rc::gen::inRange(0, 2);
        waiting.enqueuedAt = now;
        waiting.workTokens = 1;
        waiting.firstTokenWork = milliseconds(*rc::gen::inRange(0, 3000));
        queue.push(waiting);
        // At worst all that wait are older and of the same, lowest priority.
        allowed[waiting.id.text()] =
            static_cast<int>(options.lowerPriorityRatio + 1) * (static_cast<int>(queue.size()) + 1);
    };
    for (int index = 0; index < count; ++index) {
        push();
    }
    const auto noShares = [](const CustomerName &customer) { return customer.text() == "0"; };
    for (int turn = 0; turn < 300; ++turn) {
        const auto served = queue.next(now, noShares).front();
        queue.turnTaken(served);
        queue.remove(served);
        allowed.erase(served.text());
        for (auto &[id, turns] : allowed) {
            RC_ASSERT(--turns >= 0);
        }
        now += milliseconds(10);
        push();
    }
}

} // namespace

} // namespace LaburnumChute::Decisions
