#include "Support.h"

#include "Dispatch/ColdRateLimit.h"

namespace LaburnumChute::Dispatch {

namespace {

std::vector<InstanceId> instances(int count)
{
    std::vector<InstanceId> result;
    for (int index = 0; index < count; ++index) {
        result.push_back(InstanceId("n" + std::to_string(index)));
    }
    return result;
}

} // namespace

// Guards against a restarted endpoint crashing again because it looks idle to every instance of its
// region and each sends as many requests as all may send together.
TEST(ColdRateLimitTest, InstancesTogetherKeepToTheBound)
{
    constexpr double Bound = 7;
    for (const int count : {1, 2, 4, 7, 8, 12, 40}) {
        const auto all = instances(count);
        int sum = 0;
        for (const auto &self : all) {
            sum += ColdRateLimit::quota(Bound, EndpointId("e"), self, all, all.size());
        }
        EXPECT_LE(sum, Bound) << count;
        EXPECT_GE(sum, Bound / 2) << count;
    }
}

// Guards against instances that each use the whole bound after a restart in which they could not
// hear of each other.
TEST(ColdRateLimitTest, InstancesThatKnowOnlySomeOthersKeepToTheBoundTogether)
{
    for (const double bound : {1.0, 2.0, 7.0, 30.0}) {
        for (const int count : {2, 4, 12, 40}) {
            const auto all = instances(count);
            for (const int groups : {2, 3, count}) {
                int sum = 0;
                for (int index = 0; index < count; ++index) {
                    std::vector<InstanceId> known;
                    for (int other = index % groups; other < count; other += groups) {
                        known.push_back(all[other]);
                    }
                    sum +=
                        ColdRateLimit::quota(bound, EndpointId("e"), all[index], known, all.size());
                }
                EXPECT_LE(sum, bound) << count << " in " << groups;
            }
        }
    }
}

TEST(ColdRateLimitTest, AnySpanOfASecondKeepsToTheQuota)
{
    ColdRateLimit limit;
    std::vector<Time> sends;
    Time now(seconds(50));
    constexpr int Quota = 3;
    for (int step = 0; step < 500; ++step) {
        if (limit.allows(Quota, now)) {
            limit.sent(now);
            sends.push_back(now);
        }
        now += milliseconds(10);
    }
    for (std::size_t index = Quota; index < sends.size(); ++index) {
        EXPECT_GT(sends[index] - sends[index - Quota], seconds(1));
    }
    EXPECT_GE(sends.size(), 12U);
}

// Guards against instances that start together with their endpoints, as after a power failure: none
// knows its peers yet, so each would send a cold endpoint what all may send together.
TEST_F(SchedulerTest, InstanceThatHasJustStartedSparesColdEndpoints)
{
    Scheduler fresh(DispatchOptions(), InstanceId("one"), RegionName("home"), 7, now_);
    Catalog::Bounds bounds;
    bounds.coldOvershoot = 1.5;
    bounds.coldSlack = 3;
    fresh.setBounds(bounds);
    Catalog::Service model;
    model.name = ServiceName(Model);
    model.coldRate = 4.5;
    model.engine = Catalog::EngineTraits{8, 300000, true};
    fresh.setServices({{model.name, model}}, now_);
    auto cold = endpoint("a", Model);
    cold.coldUntil = now_ + seconds(3);
    fresh.setEndpoints({cold}, {}, now_);
    EXPECT_EQ(only<Send>(fresh.submit(facts(Model), now_)), nullptr);
    pass(milliseconds(2000));
    EXPECT_NE(only<Send>(fresh.submit(facts(Model), now_)), nullptr);
}

// Guards against a burst that crashes a region's only endpoint while it is cold. Requests beyond
// its rate must wait or be rejected.
TEST_F(SchedulerTest, BurstDoesNotOverrunAColdEndpoint)
{
    auto cold = endpoint("a", Model);
    cold.coldUntil = now_ + seconds(3);
    setEndpoints({cold});
    int sent = 0;
    for (int index = 0; index < 100; ++index) {
        sent += only<Send>(scheduler_.submit(facts(Model), now_)) != nullptr ? 1 : 0;
    }
    EXPECT_GE(sent, 3);
    EXPECT_LE(sent, 4.5 * 1.5 + 3);
}

} // namespace LaburnumChute::Dispatch
