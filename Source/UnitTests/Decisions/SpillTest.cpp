#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Support.h"

namespace LaburnumChute::Decisions {

using namespace Testing;

namespace {

RequestFacts requestForAnyRegion(const std::string &id)
{
    auto facts = request(id, id);
    facts.allowedRegions = {Sapporo, Asahikawa, Hakodate};
    return facts;
}

/// Submits `perSecond` requests per second; returns the number of forwards in each second.
std::vector<int> forwardsBySecond(Harness &harness, int seconds, int perSecond,
                                  const RegionSummary &other)
{
    std::vector<int> result;
    int serial = 0;
    for (int second = 0; second < seconds; ++second) {
        int forwards = 0;
        for (int index = 0; index < perSecond; ++index) {
            harness.scheduler.updateRegions({other}, harness.now);
            const auto effects =
                harness.submit(requestForAnyRegion("s" + std::to_string(serial++)));
            forwards += static_cast<int>(all<Forward>(effects).size());
            harness.now += std::chrono::microseconds(1000000 / perSecond);
        }
        result.push_back(forwards);
    }
    return result;
}

// Plain services have no decode steps from which to compute a capacity. If an idle one reported no
// spare capacity, other regions would never forward requests to it.
TEST(SpillTest, AnIdlePlainServiceReportsSpareCapacityToOtherRegions)
{
    Harness harness;
    const auto desk = Target::service(ServiceName("order-desk"));
    auto facts = engine("desk");
    facts.targets = {desk};
    harness.scheduler.updateEndpoints({facts}, harness.now);
    LoadReport report;
    report.batchLimit = 4;
    harness.scheduler.reportLoad(EndpointId("desk"), report, harness.now);
    const auto summaries = harness.scheduler.regionSummary(harness.now);
    ASSERT_EQ(summaries.size(), 1U);
    EXPECT_GT(summaries.front().freeTokensPerSecond, 0);
    EXPECT_DOUBLE_EQ(summaries.front().utilisation, 0);
}

TEST(SpillTest, HomeIsPreferredWhileItHasSpareCapacity)
{
    Harness harness;
    harness.addEngines(2);
    harness.scheduler.updateRegions({summary(Asahikawa)}, harness.now);
    for (int index = 0; index < 10; ++index) {
        EXPECT_TRUE(
            has<Dispatch>(harness.submit(requestForAnyRegion("r" + std::to_string(index)))));
    }
}

// A request may not leave Sapporo, whose engines are all lost. A response from another region would
// violate residency, so the request is rejected.
TEST(SpillTest, ResidencyIsAHardBound)
{
    Harness harness;
    harness.scheduler.updateRegions({summary(Asahikawa)}, harness.now);
    const auto rejections = all<Reject>(harness.submit(request("r1")));
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.front().run, RunState::NotRun);
    EXPECT_TRUE(has<Forward>(harness.submit(requestForAnyRegion("r2"))));
}

// A request that may only run in Hakodate arrives in Sapporo. It has no alternative, so that
// neither the forwarding rate nor the other region's free capacity may cause a rejection here.
TEST(SpillTest, ARequestThatMayNotRunAtHomeIsAlwaysForwarded)
{
    Harness harness;
    harness.addEngines(1);
    auto full = summary(Hakodate);
    full.freeTokensPerSecond = 0;
    for (int index = 0; index < 100; ++index) {
        auto facts = request("r" + std::to_string(index));
        facts.allowedRegions = {Hakodate};
        const auto forwards = all<Forward>(harness.submit(facts));
        ASSERT_EQ(forwards.size(), 1U) << index;
        EXPECT_EQ(forwards.front().region, Hakodate);
        if (index == 50) {
            harness.scheduler.updateRegions({full}, harness.now);
        }
    }
    const auto rejections = all<Reject>(harness.scheduler.finished(
        RequestId("r1"), EndpointId(), Outcome::NotStarted, harness.now));
    ASSERT_EQ(rejections.size(), 1U);
    EXPECT_EQ(rejections.front().reason, RejectReason::Overloaded);
    EXPECT_GT(rejections.front().retryAfter, Duration(0));
}

// Without this rule two regions that each consider the other less busy would forward a request back
// and forth.
TEST(SpillTest, AForwardedRequestIsNeverForwardedAgain)
{
    Harness harness;
    harness.scheduler.updateRegions({summary(Asahikawa), summary(Hakodate)}, harness.now);
    auto facts = requestForAnyRegion("r1");
    facts.forwardedFrom = Asahikawa;
    const auto effects = harness.submit(facts);
    EXPECT_FALSE(has<Forward>(effects));
    EXPECT_TRUE(has<Reject>(effects));
}

// The other region did not start the request. It runs at home and is not forwarded again.
TEST(SpillTest, ARequestThatAnotherRegionDidNotStartRunsAtHome)
{
    Harness harness;
    harness.scheduler.updateRegions({summary(Asahikawa), summary(Hakodate)}, harness.now);
    ASSERT_TRUE(has<Forward>(harness.submit(requestForAnyRegion("r1"))));
    harness.addEngines(1);
    const auto effects = harness.recordDispatches(harness.scheduler.finished(
        RequestId("r1"), EndpointId(), Outcome::NotStarted, harness.now));
    EXPECT_TRUE(has<Dispatch>(effects));
    EXPECT_FALSE(has<Forward>(effects));
}

// All engines of the region are lost at once while the others have a fifth of their capacity free.
// If its whole load moved at once, the caches and queues of the others would collapse.
TEST(SpillTest, TheForwardingRateStartsLowAndStaysWithinTheBound)
{
    Harness harness;
    const auto other = summary(Asahikawa);
    const auto forwards = forwardsBySecond(harness, 20, 100, other);
    const double work = 100 + 500 * AdmissionOptions().prefillTokenWeight;
    const double bound =
        SpillOptions().freeCapacityFractionWithoutHome * other.freeTokensPerSecond / work;
    EXPECT_LE(forwards.front(), 2 * SpillOptions().startFraction * bound + 2);
    EXPECT_GE(forwards.back(), 0.8 * bound);
    for (const auto count : forwards) {
        EXPECT_LE(count, bound + 1);
    }
}

// The only engine of another region has just joined: it states a small capacity until its first
// load report. The budget stayed at what the small capacity allowed, so that a caller of an idle
// system was rejected for a second because more capacity had been reported.
TEST(SpillTest, ReportedGrowthOfCapacityDoesNotCauseARejection)
{
    Harness harness;
    auto joined = summary(Asahikawa);
    joined.freeTokensPerSecond = 32;
    harness.scheduler.updateRegions({joined}, harness.now);
    auto small = requestForAnyRegion("r1");
    small.promptTokens = 1;
    small.expectedOutputTokens = 1;
    ASSERT_TRUE(has<Forward>(harness.submit(small)));
    harness.now += milliseconds(350);
    joined.freeTokensPerSecond = 640;
    harness.scheduler.updateRegions({joined}, harness.now);
    auto large = requestForAnyRegion("r2");
    large.promptTokens = 1;
    EXPECT_TRUE(has<Forward>(harness.submit(large)));
}

// Capacity that is reported alternately small and large must not fill the budget of a route.
TEST(SpillTest, AlternatingReportsOfCapacityDoNotRaiseTheForwardingRate)
{
    Harness harness;
    auto other = summary(Asahikawa);
    int forwards = 0;
    for (int index = 0; index < 1000; ++index) {
        other.freeTokensPerSecond = index % 2 == 0 ? 2000 : 100;
        harness.scheduler.updateRegions({other}, harness.now);
        const auto effects = harness.submit(requestForAnyRegion("r" + std::to_string(index)));
        forwards += static_cast<int>(all<Forward>(effects).size());
        harness.now += milliseconds(10);
    }
    const double work = 100 + 500 * AdmissionOptions().prefillTokenWeight;
    const double perSecond = SpillOptions().freeCapacityFractionWithoutHome * 2000 / work;
    EXPECT_LE(forwards, 11 * perSecond);
    EXPECT_GT(forwards, 0);
}

// Long prompts are forwarded over a link that carries other traffic as well. Links between regions
// have 140 Mbit/s; the test uses 1 Mbit/s.
TEST(SpillTest, TheLinkBudgetIsKept)
{
    Harness harness;
    auto other = summary(Asahikawa);
    other.freeTokensPerSecond = 1e9;
    other.linkMegabitsPerSecond = 1;
    const auto forwards = forwardsBySecond(harness, 10, 100, other);
    const double bytes =
        500 * SpillOptions().bytesPerPromptToken + 100 * SpillOptions().bytesPerOutputToken;
    const double bound = SpillOptions().linkFraction * 125000 / bytes;
    for (std::size_t second = 1; second < forwards.size(); ++second) {
        EXPECT_LE(forwards[second], bound + 1);
    }
    EXPECT_GE(forwards.back(), 1);
}

TEST(SpillTest, AStaleOrUnreachableRegionGetsNoRequests)
{
    Harness harness;
    auto lost = summary(Asahikawa);
    lost.reachable = false;
    auto stale = summary(Hakodate);
    stale.age = seconds(6);
    harness.scheduler.updateRegions({lost, stale}, harness.now);
    EXPECT_TRUE(has<Reject>(harness.submit(requestForAnyRegion("r1"))));
}

/// Random operations on a scheduler whose requests have random residency rules; checks every
/// effect.
struct RandomDriver
{
    static SchedulerOptions options()
    {
        auto result = lowSlackOptions();
        // A small budget, so that it soon limits the retries.
        result.retry.budgetMaximum = 1;
        result.retry.maxFailingFraction = 2;
        return result;
    }

    Harness harness{options(), 3};
    std::map<std::string, RequestFacts> facts;
    std::map<std::string, int> forwards;
    std::set<std::string> forwarded;
    int serial = 0;
    int notStarted = 0;

    void check(const Effects &effects)
    {
        for (const auto &sent : all<Dispatch>(effects)) {
            const auto &allowed = facts.at(sent.request.text()).allowedRegions;
            RC_ASSERT(std::find(allowed.begin(), allowed.end(), Sapporo) != allowed.end());
        }
        for (const auto &sent : all<Forward>(effects)) {
            const auto &request = facts.at(sent.request.text());
            const auto &allowed = request.allowedRegions;
            RC_ASSERT(std::find(allowed.begin(), allowed.end(), sent.region) != allowed.end());
            RC_ASSERT(request.forwardedFrom.empty());
            RC_ASSERT(++forwards[sent.request.text()] == 1);
            forwarded.insert(sent.request.text());
        }
    }

    void submit()
    {
        auto request = Testing::request("r" + std::to_string(serial++));
        request.allowedRegions.clear();
        for (const auto &region : {Sapporo, Asahikawa, Hakodate}) {
            if (*rc::gen::arbitrary<bool>()) {
                request.allowedRegions.push_back(region);
            }
        }
        request.forwardedFrom = *rc::gen::element(RegionName(), Hakodate);
        request.repeatable = *rc::gen::arbitrary<bool>();
        facts[request.id.text()] = request;
        check(harness.submit(request));
    }

    void finishOne()
    {
        const auto outcome = *rc::gen::element(Outcome::Completed, Outcome::NotStarted,
                                               Outcome::Failed, Outcome::EndpointDied);
        if (!forwarded.empty() && *rc::gen::arbitrary<bool>()) {
            const auto id = *forwarded.begin();
            forwarded.erase(id);
            check(harness.finishOn(id, "", outcome));
            return;
        }
        for (const auto &[endpoint, requests] : harness.running) {
            if (!requests.empty()) {
                notStarted += outcome == Outcome::NotStarted ? 1 : 0;
                check(harness.finishOn(*requests.begin(), endpoint, outcome));
                return;
            }
        }
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            check(harness.tickAfter(milliseconds(200)));
            return;
        case 1:
            harness.scheduler.updateRegions({summary(Asahikawa), summary(Hakodate)}, harness.now);
            return;
        case 2:
            harness.addEngines(*rc::gen::inRange(0, 3));
            return;
        case 3:
            finishOne();
            return;
        default:
            submit();
        }
    }
};

RC_GTEST_PROP(SpillProperty, ResidencyIsNeverBrokenAndNothingIsForwardedTwice, ())
{
    RandomDriver driver;
    for (int index = 0; index < 150; ++index) {
        driver.step();
    }
}

RC_GTEST_PROP(RetryProperty, TheBudgetIsNeverExceeded, ())
{
    RandomDriver driver;
    for (int index = 0; index < 300; ++index) {
        driver.step();
    }
    const RetryOptions retry = RandomDriver::options().retry;
    const auto first = driver.facts.size();
    std::set<std::string> sent(driver.harness.dispatchOrder.begin(),
                               driver.harness.dispatchOrder.end());
    const auto retries = static_cast<double>(driver.harness.dispatchOrder.size() - sent.size());
    // Requests that were not started may be sent to another endpoint without using the budget.
    RC_ASSERT(retries <= driver.notStarted + retry.budgetMaximum
                             + retry.budgetRatio * static_cast<double>(first));
}

} // namespace

} // namespace LaburnumChute::Decisions
