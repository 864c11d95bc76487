#include <limits>

#include <gtest/gtest.h>

#include "Customers/Customers.h"

namespace LaburnumChute::Customers {

namespace {

const CustomerName School("school");

std::vector<Customer> limited(double perSecond, double burst)
{
    Customer customer;
    customer.name = School;
    customer.limit = UsageLimit{perSecond, burst};
    return {customer};
}

class UsageLimiterTest : public testing::Test
{
protected:
    UsageLimiterTest()
        : limiter_(UsageLimiterOptions(), 5)
    {
        limiter_.setBounds(Common::seconds(8), 0);
        limiter_.setCustomers(limited(1000, 1000), now_);
        pass(Common::seconds(20));
    }

    void pass(Duration duration)
    {
        now_ += duration;
        limiter_.setInstances({}, 2, now_);
    }
    /// Usage that is admitted in requests of 10 at once.
    double admittedNow()
    {
        constexpr double Request = 10;
        double admitted = 0;
        while (limiter_.admit(School, Request, now_).admitted) {
            admitted += Request;
        }
        return admitted;
    }
    static UsageReport report(std::uint32_t perSecond, std::uint16_t instances = 1)
    {
        return {instances, {{shortId(School), perSecond}}};
    }

    Time now_{Common::seconds(100)};
    UsageLimiter limiter_;
};

} // namespace

TEST_F(UsageLimiterTest, WindowAtTheRateAndTheBurstAreAdmitted)
{
    EXPECT_NEAR(admittedNow(), 9000, 20);
    now_ += Common::seconds(4);
    EXPECT_NEAR(admittedNow(), 0, 20);
    now_ += milliseconds(4300);
    EXPECT_NEAR(admittedNow(), 9000, 20);
}

TEST_F(UsageLimiterTest, CustomersWithoutALimitAreAdmitted)
{
    EXPECT_TRUE(limiter_.admit(CustomerName("club"), 1e12, now_).admitted);
}

// A request that is larger than the burst would otherwise never be admitted.
// A request that is larger than what the limit allows would otherwise never be admitted.
TEST_F(UsageLimiterTest, LargeRequestIsAdmittedAndCompensated)
{
    EXPECT_TRUE(limiter_.admit(School, 20000, now_).admitted);
    now_ += Common::seconds(7);
    EXPECT_FALSE(limiter_.admit(School, 10, now_).admitted);
    now_ += milliseconds(1500);
    EXPECT_TRUE(limiter_.admit(School, 10, now_).admitted);
}

TEST_F(UsageLimiterTest, UsageOfOtherInstancesAndRegionsCounts)
{
    for (int second = 0; second <= 5; ++second) {
        limiter_.setInstances({InstanceId("b")}, 3, now_);
        limiter_.setInstanceReport(InstanceId("b"), report(300), now_);
        limiter_.setRegionReport(RegionName("south"), report(500), now_);
        now_ += Common::seconds(second < 5 ? 1 : 0);
    }
    const double beforeTheFirstReport = 2 * (300 + 500);
    const double notReportedYet = 0.25 * (300 + 500);
    const auto status = limiter_.status(School, now_);
    ASSERT_TRUE(status);
    EXPECT_NEAR(status->othersRate, 800, 1);
    EXPECT_NEAR(status->remaining, 9000 - beforeTheFirstReport - 5 * 800 - notReportedYet, 20);
}

// After a restart of all instances, the usage before it would not count.
TEST_F(UsageLimiterTest, ProcessThatHasJustStartedAssumesThatTheLimitIsUsed)
{
    UsageLimiter limiter(UsageLimiterOptions(), 5);
    limiter.setBounds(Common::seconds(8), 0);
    limiter.setCustomers(limited(1000, 1000), now_);
    EXPECT_TRUE(limiter.admit(School, 600, now_).admitted);
    EXPECT_FALSE(limiter.admit(School, 10, now_).admitted);
    EXPECT_TRUE(limiter.admit(School, 10, now_ + milliseconds(300)).admitted);
}

// Usage of requests that were not run is not usage.
TEST_F(UsageLimiterTest, RefundedUsageIsAdmittedAgain)
{
    admittedNow();
    limiter_.refund(School, 200, now_);
    EXPECT_NEAR(admittedNow(), 200, 20);
}

// The other side of a partition admits requests as well; each side must leave it its share.
TEST_F(UsageLimiterTest, UnseenRegionKeepsItsShareOfTheLimit)
{
    for (int round = 0; round < 40; ++round) {
        now_ += milliseconds(25);
        limiter_.admit(School, 10, now_);
        limiter_.setRegionReport(RegionName("south"), report(400, 12), now_);
    }
    const double remainingBefore = limiter_.status(School, now_)->remaining;
    EXPECT_NEAR(limiter_.status(School, now_)->othersRate, 400, 1);
    now_ += Common::seconds(2);
    limiter_.setInstances({}, 12, now_);
    const double others = limiter_.status(School, now_)->othersRate;
    EXPECT_GE(others, 0.4 * 1000);
    EXPECT_LE(others, 0.6 * 1000);
    EXPECT_LE(limiter_.status(School, now_)->remaining, 0.7 * remainingBefore);
    now_ += Common::seconds(40);
    limiter_.setInstances({}, 12, now_);
    EXPECT_NEAR(limiter_.status(School, now_)->othersRate, 0, 1);
}

// An instance that has just started knows only its own usage and would halve the estimate.
TEST_F(UsageLimiterTest, ReportOfASmallPartOfARegionDoesNotReplaceThatOfTheWholeRegion)
{
    limiter_.setRegionReport(RegionName("south"), report(400, 12), now_);
    limiter_.setRegionReport(RegionName("south"), report(30, 1), now_);
    EXPECT_NEAR(limiter_.status(School, now_)->othersRate, 400, 1);
    now_ += Common::seconds(2);
    limiter_.setRegionReport(RegionName("south"), report(30, 1), now_);
    EXPECT_NEAR(limiter_.status(School, now_)->othersRate, 30, 1);
}

TEST_F(UsageLimiterTest, InstanceThatStopsLeavesNoUsage)
{
    limiter_.setInstanceReport(InstanceId("b"), report(300), now_);
    limiter_.removeInstance(InstanceId("b"), now_);
    EXPECT_NEAR(limiter_.status(School, now_)->othersRate, 0, 1);
}

TEST_F(UsageLimiterTest, NewLimitAppliesAtOnceAndKeepsTheUsage)
{
    EXPECT_TRUE(limiter_.admit(School, 2000, now_).admitted);
    limiter_.setCustomers(limited(100, 100), now_);
    EXPECT_FALSE(limiter_.admit(School, 10, now_).admitted);
    limiter_.setCustomers(limited(1000, 1000), now_);
    EXPECT_NEAR(admittedNow(), 7000, 20);
}

// Reports of idle customers would use bandwidth in proportion to instances and customers.
TEST_F(UsageLimiterTest, UsageFarBelowTheLimitIsNotReported)
{
    limiter_.setInstances({InstanceId("b")}, 2, now_);
    limiter_.admit(School, 20, now_);
    EXPECT_TRUE(limiter_.instanceReport(now_).usages.empty());
    limiter_.admit(School, 100, now_);
    ASSERT_EQ(limiter_.instanceReport(now_).usages.size(), 1U);
    EXPECT_GT(limiter_.instanceReport(now_).usages[0].perSecond, 250U);
}

// In a large region, a notice goes to every instance. Single large requests of idle customers must
// not cause any.
TEST_F(UsageLimiterTest, NoticesAreOnlyNeededNearTheLimit)
{
    limiter_.setInstances({}, 300, now_);
    limiter_.admit(School, 2000, now_);
    EXPECT_FALSE(limiter_.nearLimit(now_));
    limiter_.admit(School, 3000, now_);
    EXPECT_TRUE(limiter_.nearLimit(now_));
}

TEST_F(UsageLimiterTest, RetryAfterIsTheTimeUntilUsageIsAdmittedAgain)
{
    EXPECT_TRUE(limiter_.admit(School, 10000, now_).admitted);
    now_ += milliseconds(7000);
    const auto verdict = limiter_.admit(School, 10, now_);
    EXPECT_FALSE(verdict.admitted);
    EXPECT_GE(verdict.retryAfter, milliseconds(1000));
    EXPECT_LE(verdict.retryAfter, milliseconds(2600));
}

// A rate beyond the range of a report was undefined behavior, and others might have read it as 0.
TEST_F(UsageLimiterTest, RateBeyondTheRangeOfAReportIsReportedAsTheLargestOne)
{
    limiter_.admit(School, 1e12, now_);
    constexpr auto Largest = std::numeric_limits<std::uint32_t>::max();
    ASSERT_EQ(limiter_.instanceReport(now_).usages.size(), 1U);
    EXPECT_EQ(limiter_.instanceReport(now_).usages[0].perSecond, Largest);
    limiter_.setInstanceReport(InstanceId("b"), report(Largest), now_);
    EXPECT_EQ(limiter_.regionReport(now_).usages[0].perSecond, Largest);
}

// Damaged reports must neither crash nor raise the limit.
TEST_F(UsageLimiterTest, ReportsWithUnknownOrRepeatedCustomersAreHarmless)
{
    UsageReport report{1, {{7, 100}, {shortId(School), 100}, {shortId(School), 100}}};
    limiter_.setInstanceReport(InstanceId("b"), report, now_);
    limiter_.setInstanceReport(InstanceId("b"), {1, {}}, now_);
    EXPECT_NEAR(limiter_.status(School, now_)->othersRate, 0, 1);
}

} // namespace LaburnumChute::Customers
