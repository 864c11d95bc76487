#include <gtest/gtest.h>

#include "Dispatch/RetryBudget.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr seconds Window{10};
constexpr double Ratio = 0.14;

/// Simulates instances that share a budget. A seventh of all requests want a retry.
struct Outcome
{
    int wanted = 0;
    int allowed = 0;
    int mostInAWindow = 0;
};

/// Makes a retry at once, if one is left.
bool take(RetryBudget &budget, Time now)
{
    const bool reserved = budget.reserve(now);
    if (reserved) {
        budget.sent(now);
    }
    return reserved;
}

Outcome simulate(int instances, double slack, int requestsPerInstance)
{
    std::vector<RetryBudget> budgets;
    for (int index = 0; index < instances; ++index) {
        budgets.emplace_back(Ratio, slack / instances, Window, Time(),
                             static_cast<std::uint64_t>(index));
    }
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> phase(0, 1);
    Outcome outcome;
    for (int window = 0; window < 4; ++window) {
        int allowed = 0;
        for (auto &budget : budgets) {
            for (int request = 0; request < requestsPerInstance; ++request) {
                const auto at =
                    Time(seconds(1000) + Window * window) + Window * request / requestsPerInstance;
                budget.request(at);
                if (phase(random) < 1.0 / 7) {
                    ++outcome.wanted;
                    allowed += take(budget, at) ? 1 : 0;
                }
            }
        }
        outcome.allowed += allowed;
        outcome.mostInAWindow = std::max(outcome.mostInAWindow, allowed);
    }
    return outcome;
}

} // namespace

// Guards against a budget of which most is unused because the part of each instance is below one
// retry.
TEST(RetryBudgetTest, MostWantedRetriesAreAllowedHoweverManyInstancesShareTheBudget)
{
    constexpr double Slack = 450;
    for (const int instances : {4, 584, 2926}) {
        const auto outcome = simulate(instances, Slack, 20000 / instances);
        EXPECT_GE(outcome.allowed, outcome.wanted / 2) << instances;
    }
}

TEST(RetryBudgetTest, AllInstancesTogetherKeepToTheLimit)
{
    constexpr double Slack = 45;
    for (const int instances : {4, 584, 2926}) {
        const int requests = 6000 / instances;
        const auto outcome = simulate(instances, Slack, requests);
        const double limit = Ratio * requests * instances + Slack;
        EXPECT_LE(outcome.mostInAWindow, limit * 1.1 + 10) << instances;
    }
}

class ReservedRetryTest : public testing::Test
{
protected:
    int reserveAll()
    {
        int count = 0;
        while (budget_.reserve(now_)) {
            ++count;
        }
        return count;
    }

    static constexpr double Slack = 10;
    Time now_ = Time(seconds(1000));
    RetryBudget budget_{0, Slack, Window, Time(), 1};
};

// Guards against two windows' retries at endpoints in one: some wait in a queue and are sent beside
// those of the next window.
TEST_F(ReservedRetryTest, RetriesCountWhenTheyAreSent)
{
    const int reserved = reserveAll();
    EXPECT_GE(reserved, Slack);
    now_ += Window - seconds(1);
    for (int sent = 0; sent < reserved; ++sent) {
        budget_.sent(now_);
    }
    now_ += seconds(2);
    EXPECT_FALSE(budget_.available(now_));
    now_ += Window;
    EXPECT_TRUE(budget_.available(now_));
}

TEST_F(ReservedRetryTest, RetriesThatWaitAreCharged)
{
    reserveAll();
    now_ += Window + Window;
    // A new window may round the limit up by one.
    EXPECT_LE(reserveAll(), 1);
}

TEST_F(ReservedRetryTest, RetriesThatAreNotMadeAreReturned)
{
    reserveAll();
    budget_.release();
    EXPECT_TRUE(budget_.reserve(now_));
    budget_.sent(now_);
    budget_.undoSent(now_);
    budget_.release();
    EXPECT_TRUE(budget_.reserve(now_));
}

// Guards against a request that two instances count in full, and so retry more often than the limit
// allows.
TEST(ForwardedRequestTest, CountsOnceOverBothInstances)
{
    constexpr int Requests = 1000;
    const Time now(seconds(1000));
    RetryBudget first(Ratio, 0, Window, Time(), 1);
    RetryBudget second(Ratio, 0, Window, Time(), 2);
    for (int request = 0; request < Requests; ++request) {
        first.request(now);
        first.requestForwarded(now);
        second.requestFromPeer(now);
    }
    EXPECT_EQ(first.state(now).requests, Requests / 2);
    EXPECT_EQ(second.state(now).requests, Requests / 2);
}

TEST(ForwardedRequestTest, CountsInFullWhereItsForwardWasNotSent)
{
    const Time now(seconds(1000));
    RetryBudget budget(Ratio, 0, Window, Time(), 1);
    budget.request(now);
    budget.requestForwarded(now);
    budget.undoForwarded(now);
    EXPECT_EQ(budget.state(now).requests, 1);
}

// Guards against a forward whose request no longer counts and that takes from the next window.
TEST(ForwardedRequestTest, CountsAreNeverNegative)
{
    Time now(seconds(1000));
    RetryBudget budget(Ratio, 0, Window, Time(), 1);
    budget.request(now);
    now += Window + seconds(1);
    budget.requestForwarded(now);
    EXPECT_EQ(budget.state(now).requests, 0);
    now += Window + seconds(1);
    budget.request(now);
    EXPECT_EQ(budget.state(now).requests, 1);
}

} // namespace LaburnumChute::Dispatch
