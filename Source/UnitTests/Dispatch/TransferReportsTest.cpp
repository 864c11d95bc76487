#include <gtest/gtest.h>

#include "Dispatch/TransferReports.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr auto Domains = TransferPath::BetweenDomains;
constexpr auto Regions = TransferPath::BetweenRegions;

/// The 20 instances of a region.
class TransferReportsTest : public testing::Test
{
protected:
    /// The next instance makes a copy whose time on the link is that many times the nominal one of
    /// 100 ms, and reports it to all others.
    void copy(TransferPath path, double factor, int copies = 1)
    {
        for (; copies > 0; --copies) {
            next_ = (next_ + 1) % instances_.size();
            now_ += milliseconds(100);
            const Duration setup = milliseconds(path == Regions ? 130 : 10);
            instances_[next_].model(Model).sample(
                Traits, 1000, path, setup + scaled(milliseconds(100), factor), Duration(0), now_);
            const InstanceId sender("instance-" + std::to_string(next_));
            for (auto &instance : instances_) {
                if (&instance != &instances_[next_]) {
                    instance.learn(sender, instances_[next_].reports(now_), services_, now_);
                }
            }
        }
    }

    double factor(TransferPath path, std::size_t instance = 0)
    {
        return instances_[instance].model(Model).factor(path, now_).factor;
    }

    const ServiceName Model{"model"};
    const Catalog::EngineTraits Traits{16, 300000, true, 1250, 100e6};
    const DispatchOptions options_{};
    const std::map<ServiceName, Catalog::Service> services_{{Model, {}}};
    std::vector<TransferReports> instances_{20, TransferReports(options_)};
    std::size_t next_ = 0;
    Time now_ = Time(seconds(1000));
};

} // namespace

// Guards against instances that each need samples of their own, and against a path that stays slow
// for the region after it has recovered.
TEST_F(TransferReportsTest, RegionLearnsWithinADozenCopiesAndFollowsChanges)
{
    copy(Domains, 2.4, 6);
    copy(Regions, 10, 6);
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        EXPECT_NEAR(factor(Domains, index), 2.4, 0.3);
        EXPECT_NEAR(factor(Regions, index), 10, 1);
    }
    for (const double changed : {6.0, 2.4}) {
        copy(Domains, changed, 6);
        EXPECT_NEAR(factor(Domains), changed, 0.25 * changed);
    }
    // One answer that is late for another reason does not end the copies.
    copy(Domains, 16);
    EXPECT_LT(factor(Domains), 3);
}

// Guards against samples that stay in force although no reports arrive or their sender is gone.
TEST_F(TransferReportsTest, SamplesOfOthersDecayAndAreDroppedWithTheirSender)
{
    copy(Domains, 4, 20);
    const auto learned = factor(Domains);
    now_ += seconds(30);
    EXPECT_LT(factor(Domains), learned);
    instances_[1].keep({});
    // Its own sample is old.
    EXPECT_LT(factor(Domains, 1), factor(Domains));
    EXPECT_GT(factor(Domains, 1), 1);
}

// Guards against a faulty instance whose reports decide for all, whatever they contain.
TEST_F(TransferReportsTest, AbsurdReportsAreBoundedOrIgnored)
{
    copy(Domains, 2, 6);
    const auto service = shortId(Model);
    constexpr std::uint8_t Path = 1;
    constexpr std::uint16_t Most = 65535;
    instances_[0].learn(InstanceId("faulty"),
                        {{service, Path, Most, 0, 0, 0},
                         {service, Path, 0, Most, Most, 0},
                         {service, 200, Most, Most, Most, 0},
                         {service + 1, Path, Most, Most, Most, 0},
                         {service, Path, Most, Most, 0, 0}},
                        services_, now_);
    EXPECT_NEAR(factor(Domains), 2, 0.3);
}

// Guards against a faulty instance that keeps a path from being tried again.
TEST_F(TransferReportsTest, WhatOneInstanceRepeatsIsForgotten)
{
    copy(Domains, 2, 6);
    for (int second = 0; second < 120; ++second) {
        now_ += seconds(1);
        instances_[0].learn(InstanceId("faulty"), {{shortId(Model), 1, 100, 1600, 0, 0}}, services_,
                            now_);
    }
    EXPECT_LT(factor(Domains), 2);
}

// Guards against all instances of a region that try an unmeasured path at the same time, after all
// have been restarted or when what they learned has decayed.
TEST_F(TransferReportsTest, UnmeasuredPathIsTriedByOneCopyAtATime)
{
    auto &model = instances_[0].model(Model);
    const auto longest = [&] {
        const auto time = model.time(Traits, 1000, Domains, now_);
        return time.expected + time.deviation;
    };
    EXPECT_LE(longest(), milliseconds(210));
    model.tried(Domains, now_);
    EXPECT_GT(longest(), milliseconds(800));
    copy(Domains, 8, 2);
    now_ += seconds(90);
    const auto decayed = longest();
    EXPECT_LT(decayed, milliseconds(400));
    model.tried(Domains, now_);
    EXPECT_GT(longest(), milliseconds(700));
    now_ += seconds(3);
    EXPECT_LE(longest(), decayed);
}

} // namespace LaburnumChute::Dispatch
