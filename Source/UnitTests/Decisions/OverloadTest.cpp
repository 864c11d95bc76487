#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Decisions/WaitQueue.h"
#include "Support.h"

namespace LaburnumChute::Decisions {

using namespace Testing;

namespace {

/// One engine whose batch of 8 and one queue position are taken by "b0" to "b8".
Harness harnessWithFullEndpoint(const SchedulerOptions &options = lowSlackOptions())
{
    Harness harness(options);
    harness.addEngines(1);
    for (int index = 0; index < 9; ++index) {
        harness.submit(request("b" + std::to_string(index), "before"));
    }
    return harness;
}

/// Ends one request of the full engine and returns the one that is dispatched in its slot.
std::string serveOne(Harness &harness)
{
    harness.now += milliseconds(50);
    const auto sent = all<Dispatch>(harness.finish(*harness.running["e0"].begin()));
    return sent.empty() ? "" : sent.front().request.text();
}

// Long prompts are queued when a short one arrives. In FIFO order the short one would wait for all
// of them.
TEST(OverloadTest, AShortPromptIsServedBeforeEarlierLongPrompts)
{
    auto harness = harnessWithFullEndpoint();
    for (int index = 0; index < 2; ++index) {
        auto history = request("history" + std::to_string(index), "dispatch");
        history.promptTokens = 10000;
        harness.submit(history);
    }
    harness.now += milliseconds(100);
    harness.submit(request("line"));
    EXPECT_EQ(serveOne(harness), "line");
    EXPECT_EQ(serveOne(harness), "history0");
}

// High-priority requests arrive as fast as the engine can serve them. By priority alone a request
// of lower priority would never be served.
TEST(OverloadTest, LowerPriorityIsServedWithinTheStatedBound)
{
    auto harness = harnessWithFullEndpoint();
    auto history = request("history");
    history.priority = 1;
    harness.submit(history);
    int turns = 0;
    std::string served;
    while (served != "history" && turns < 50) {
        harness.submit(request("line" + std::to_string(turns)));
        served = serveOne(harness);
        ++turns;
    }
    EXPECT_LE(turns, QueueOptions().lowerPriorityRatio + 1);
    EXPECT_GT(turns, 1) << "but higher priorities go first";
}

// Low-priority requests of fifty times the work are queued next to short ones. If they got every
// tenth turn they would use most of the engines, and the short requests would wait although the
// engines could easily serve all of those.
TEST(OverloadTest, LowerPriorityGetsAFractionOfTheWorkAndNotOfTheTurns)
{
    auto harness = harnessWithFullEndpoint();
    for (int index = 0; index < 3; ++index) {
        auto history = request("history" + std::to_string(index), "dispatch");
        history.priority = 1;
        history.patience = Patience::Long;
        history.expectedOutputTokens = 5000;
        harness.submit(history);
    }
    int histories = 0;
    for (int turn = 0; turn < 100; ++turn) {
        harness.submit(request("line" + std::to_string(turn), "c" + std::to_string(turn)));
        histories += serveOne(harness).find("history") == 0 ? 1 : 0;
    }
    EXPECT_LE(histories, 1);
}

// One customer has forty requests queued when another customer sends its first.
TEST(OverloadTest, AHotCustomerDoesNotDelayTheOthers)
{
    auto options = lowSlackOptions();
    options.admission.enabled = false;
    auto harness = harnessWithFullEndpoint(options);
    for (int index = 0; index < 40; ++index) {
        harness.submit(request("hot" + std::to_string(index), "office"));
        harness.now += milliseconds(1);
    }
    serveOne(harness);
    serveOne(harness);
    harness.submit(request("first", "school"));
    EXPECT_EQ(serveOne(harness), "first");
}

// One customer fills the queue. It may fill its fair share of the admissible backlog; another
// customer's request is still admitted.
TEST(OverloadTest, UnderContentionACustomerIsAdmittedUpToItsFairShare)
{
    auto harness = harnessWithFullEndpoint();
    int rejected = 0;
    for (int index = 0; index < 400; ++index) {
        const auto effects = harness.submit(request("hot" + std::to_string(index), "office"));
        for (const auto &rejection : all<Reject>(effects)) {
            ++rejected;
            EXPECT_EQ(rejection.run, RunState::NotRun);
            EXPECT_GT(rejection.retryAfter, Duration(0));
        }
    }
    EXPECT_GT(rejected, 0);
    EXPECT_FALSE(has<Reject>(harness.submit(request("first", "school"))));
}

// A customer has half an hour of low-priority work queued. This must not cause the rejection of its
// short, high-priority requests.
TEST(OverloadTest, ACustomersLongRequestsDoNotBlockItsShortOnes)
{
    auto harness = harnessWithFullEndpoint();
    for (int index = 0; index < 4; ++index) {
        auto history = request("history" + std::to_string(index), "depot");
        history.priority = 1;
        history.patience = Patience::Long;
        history.expectedOutputTokens = 2000;
        harness.submit(history);
    }
    for (int index = 0; index < 8; ++index) {
        const auto id = "line" + std::to_string(index);
        EXPECT_FALSE(has<Reject>(harness.submit(request(id, "depot")))) << index;
        harness.submit(request("other" + std::to_string(index), "other"));
    }
}

// A burst of ten times the work that can be started in time. A caller that is rejected immediately
// can go elsewhere; one that is queued until its deadline has lost that time.
TEST(OverloadTest, ABurstIsRejectedAtOnceAndAdmittedAfterRetryAfter)
{
    auto harness = harnessWithFullEndpoint();
    std::optional<Duration> retryAfter;
    for (int index = 0; index < 300 && !retryAfter; ++index) {
        const auto customer = "school" + std::to_string(index);
        const auto rejections =
            all<Reject>(harness.submit(request("r" + std::to_string(index), customer)));
        if (!rejections.empty()) {
            retryAfter = rejections.front().retryAfter;
        }
    }
    ASSERT_TRUE(retryAfter);
    EXPECT_LE(*retryAfter, seconds(10));
    const auto back = harness.now + *retryAfter;
    while (harness.now < back) {
        serveOne(harness);
    }
    EXPECT_FALSE(has<Reject>(harness.submit(request("again", "school0"))));
}

// Half of the engines are lost under load. A fixed limit on the number of queued requests that was
// right before would admit callers who then wait twice as long as they stay.
TEST(OverloadTest, TheQueueLimitFollowsTheRemainingCapacity)
{
    const auto admitted = [](int engineCount) {
        Harness harness(lowSlackOptions());
        harness.addEngines(engineCount);
        int count = 0;
        while (count < 5000
               && !has<Reject>(harness.submit(
                   request("r" + std::to_string(count), "c" + std::to_string(count))))) {
            ++count;
        }
        return count - 9 * engineCount;
    };
    const int withOne = admitted(1);
    const int withFour = admitted(4);
    EXPECT_GT(withOne, 0);
    EXPECT_NEAR(withFour, 4 * withOne, 0.1 * withFour);
}

TEST(OverloadTest, ADeadlineThatCannotBeMetIsRejectedAtOnce)
{
    auto harness = harnessWithFullEndpoint();
    for (int index = 0; index < 60; ++index) {
        harness.submit(request("r" + std::to_string(index), "c" + std::to_string(index)));
    }
    auto facts = request("hasty", "school");
    facts.deadline = harness.now + milliseconds(100);
    const auto rejections = all<Reject>(harness.submit(facts));
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.front().reason, RejectReason::DeadlineTooClose);
}

RC_GTEST_PROP(OverloadProperty, NoRequestStarvesBeyondTheStatedBound, ())
{
    const auto count = *rc::gen::inRange(1, 40);
    const QueueOptions options;
    WaitQueue queue(options);
    Time now = Time() + seconds(100);
    std::map<std::string, int> allowed;
    int serial = 0;
    const auto push = [&] {
        QueuedRequest waiting;
        waiting.id = RequestId(std::to_string(serial++));
        waiting.customer = CustomerName(std::to_string(*rc::gen::inRange(0, 5)));
        waiting.priority = *rc::gen::inRange(0, 2);
        waiting.enqueuedAt = now;
        waiting.workTokens = 1;
        waiting.firstTokenWork = milliseconds(*rc::gen::inRange(0, 3000));
        queue.push(waiting);
        // In the worst case all queued requests are older and of the same, lowest priority.
        allowed[waiting.id.text()] =
            static_cast<int>(options.lowerPriorityRatio + 1) * (static_cast<int>(queue.size()) + 1);
    };
    for (int index = 0; index < count; ++index) {
        push();
    }
    const auto exceedsFairShare = [](const CustomerName &customer) {
        return customer.text() == "0";
    };
    for (int turn = 0; turn < 300; ++turn) {
        const auto served = queue.next(now, exceedsFairShare).front();
        queue.recordServed(served);
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
