#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "Support.h"

namespace LaburnumChute::Dispatch {

namespace {

const RegionName Home("home");
const RegionName Away("away");

/// Two regions with equal engines. Short prompts arrive in the first one only and must stay there;
/// with the long ones, they need more slots than it has. The other region has no other load.
class TwoRegions
{
public:
    struct Tally
    {
        double asked = 0;
        double inTime = 0;
    };

    explicit TwoRegions(std::size_t instances)
        : perRegion_(instances)
    {
        Catalog::Service model;
        model.name = ServiceName("model");
        model.engine = Catalog::EngineTraits{Slots, 300000, false};
        for (std::size_t index = 0; index < 2 * instances; ++index) {
            const auto region = index / instances;
            std::vector<InstanceId> own;
            for (std::size_t other = 0; other < instances; ++other) {
                own.push_back(id(region * instances + other));
            }
            std::vector<Catalog::ListedEndpoint> listed(4);
            for (std::size_t engine = 0; engine < listed.size(); ++engine) {
                auto &record = listed[engine].record;
                record.id = EndpointId(fmt::format("{}-{}", region, engine));
                record.service = model.name;
                record.address = record.id.text();
                record.slots = Slots;
                slotsFreeAt_[record.id].resize(Slots);
            }
            schedulers_.push_back(std::make_unique<Scheduler>(
                DispatchOptions(), id(index), region == 0 ? Home : Away, index + 1, Time()));
            schedulers_.back()->setServices({{model.name, model}}, now_);
            schedulers_.back()->setEndpoints(listed, {}, now_);
            schedulers_.back()->setFleet(own, 2 * instances, {region == 0 ? Away : Home});
        }
    }

    void run(seconds time)
    {
        for (int step = 0; step * Step < time; ++step) {
            now_ += Step;
            arrive(24, true);
            arrive(160, false);
            while (!events_.empty() && events_.begin()->first <= now_) {
                const auto event = events_.extract(events_.begin()).mapped();
                event();
            }
            for (std::size_t index = 0; index < schedulers_.size(); ++index) {
                if (step % 50 == 0) {
                    report(index);
                }
                apply(index, schedulers_[index]->tick(now_));
            }
        }
    }

    Tally longs;
    Tally shorts;

private:
    static constexpr int Slots = 16;
    static constexpr milliseconds Step{5};
    static constexpr milliseconds OneWay{60};

    static InstanceId id(std::size_t index)
    {
        return InstanceId("instance-" + std::to_string(index));
    }

    void arrive(double perSecond, bool isLong)
    {
        std::poisson_distribution<int> arrivals(perSecond * Common::toSeconds(Step));
        for (int left = arrivals(random_); left > 0; --left) {
            CallFacts facts;
            facts.service = ServiceName("model");
            facts.kind = RequestKind::Stream;
            facts.arrivedAt = now_;
            facts.objectiveAt = now_ + milliseconds(isLong ? 1000 : 600);
            facts.deadline = now_ + seconds(5);
            facts.promptTokens = isLong ? 2000 : 400;
            facts.allowedRegions = isLong ? std::vector<RegionName>() : std::vector{Home};
            ++(isLong ? longs : shorts).asked;
            submit(random_() % perRegion_, facts);
        }
    }

    void submit(std::size_t index, CallFacts facts)
    {
        facts.id = ++lastId_;
        facts.fingerprint = facts.id;
        calls_[facts.id] = facts;
        apply(index, schedulers_[index]->submit(facts, now_));
    }

    void apply(std::size_t index, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                serve(index, calls_.at(send->call), send->endpoint);
            } else if (const auto *forward = std::get_if<Forward>(&effect)) {
                auto facts = calls_.at(forward->call);
                schedulers_[index]->ended(facts.id, AttemptOutcome::Completed, false, now_);
                facts.forwarded = true;
                const auto receiver = perRegion_ + random_() % perRegion_;
                events_.emplace(now_ + OneWay, [=, this] { submit(receiver, facts); });
            }
        }
    }

    void serve(std::size_t index, const CallFacts &facts, const EndpointId &engine)
    {
        auto &slots = slotsFreeAt_.at(engine);
        auto &slot = *std::min_element(slots.begin(), slots.end());
        const bool isLong = facts.promptTokens > 400;
        const auto first = std::max(now_, slot) + milliseconds(isLong ? 75 : 35);
        slot = first + milliseconds(isLong ? 1400 : 300);
        const auto seenAt = first + (facts.forwarded ? OneWay : milliseconds(0));
        (isLong ? longs : shorts).inTime += seenAt <= facts.objectiveAt ? 1 : 0;
        auto *scheduler = schedulers_[index].get();
        const auto call = facts.id;
        events_.emplace(first, [=, this] { scheduler->answering(call, now_); });
        events_.emplace(slot, [=, this] {
            apply(index, scheduler->ended(call, AttemptOutcome::Completed, false, now_));
        });
    }

    void report(std::size_t from)
    {
        const auto own = schedulers_[from]->regionLoadReport(now_);
        const auto others = schedulers_[from]->crossRegionLoadReport(now_);
        const bool atHome = from < perRegion_;
        for (std::size_t to = 0; to < schedulers_.size(); ++to) {
            if ((to < perRegion_) != atHome) {
                schedulers_[to]->setCrossRegionLoadReport(atHome ? Home : Away, id(from), others,
                                                          now_);
            } else if (to != from) {
                apply(to, schedulers_[to]->setRegionLoadReport(id(from), own, now_));
            }
        }
    }

    std::size_t perRegion_;
    std::mt19937 random_{5};
    Time now_ = Time(seconds(1000));
    CallId lastId_ = 0;
    std::vector<std::unique_ptr<Scheduler>> schedulers_;
    std::map<EndpointId, std::vector<Time>> slotsFreeAt_;
    std::map<CallId, CallFacts> calls_;
    std::multimap<Time, std::function<void()>> events_;
};

class RegionYieldTest : public SchedulerTest
{
protected:
    CallFacts restricted()
    {
        auto call = facts(Plain);
        call.allowedRegions = {Home};
        return call;
    }

    /// Another instance reports this many rejections of restricted requests.
    void neighborRejected(std::uint16_t count, std::uint16_t sentPerSecond = 0)
    {
        RegionLoadReport report;
        report.services = {{shortId(ServiceName(Plain)), 0, 0, sentPerSecond, 0, count}};
        scheduler_.setRegionLoadReport(InstanceId("two"), report, now_);
        scheduler_.tick(now_);
    }

    bool yields()
    {
        const auto call = facts(Plain);
        const auto effects = scheduler_.submit(call, now_);
        if (effects.empty()) {
            scheduler_.withdraw(call.id, now_);
        } else {
            scheduler_.ended(call.id, AttemptOutcome::Cancelled, false, now_);
        }
        const auto *forward = only<Forward>(effects);
        return forward != nullptr && forward->reason == ForwardReason::Yield;
    }

    void SetUp() override
    {
        setEndpoints({endpoint("a", Plain)});
        setSpareCapacityAway(Plain, 100);
        scheduler_.setFleet({InstanceId("one"), InstanceId("two")}, 2, {Away});
        pass(milliseconds(400));
    }
};

} // namespace

// Guards against short prompts that are rejected in the only region that may serve them, while long
// ones, which another region could serve in time, occupy its slots.
TEST(RegionYieldLoadTest, RestrictedRequestsGetTheSlotsOfThoseThatOtherRegionsServe)
{
    for (const std::size_t instances : {2, 8}) {
        TwoRegions regions(instances);
        regions.run(seconds(12));
        EXPECT_GE(regions.shorts.inTime / regions.shorts.asked, 0.97) << instances;
        EXPECT_GE(regions.longs.inTime / regions.longs.asked, 0.97) << instances;
    }
}

// Guards against prefills in other regions while nobody lacks capacity.
TEST_F(RegionYieldTest, NothingIsForwardedWithoutLackOfCapacity)
{
    ASSERT_NE(only<Send>(scheduler_.submit(restricted(), now_)), nullptr);
    EXPECT_FALSE(yields());
    neighborRejected(0, 100);
    EXPECT_FALSE(yields());
}

// Guards against instances that keep their slots while restricted requests lack them at others.
TEST_F(RegionYieldTest, ReportsOfNeighborsCountUntilTheyAreOld)
{
    neighborRejected(1);
    EXPECT_TRUE(yields());
    pass(milliseconds(1001));
    scheduler_.tick(now_);
    EXPECT_FALSE(yields());
}

// Guards against a restricted request that is taken for an unrestricted one while the regions that
// it may not use are not reached.
TEST_F(RegionYieldTest, ARequestThatNamesItsRegionsStays)
{
    neighborRejected(1);
    auto call = facts(Plain);
    call.allowedRegions = {Home, Away};
    EXPECT_NE(only<Send>(scheduler_.submit(call, now_)), nullptr);
}

// Guards against a region that waits for reports of neighbors it does not hear.
TEST_F(RegionYieldTest, WithoutReportsTheOwnRejectionsCount)
{
    int rejected = 0;
    for (int count = 0; count < 200; ++count) {
        rejected += only<Reject>(scheduler_.submit(restricted(), now_)) != nullptr ? 1 : 0;
    }
    ASSERT_GT(rejected, 0);
    scheduler_.tick(now_);
    EXPECT_TRUE(yields());
    EXPECT_EQ(scheduler_.regionLoadReport(now_).services.front().restrictedRejected, rejected);
}

// Guards against forwards to a region that may be gone or has filled up, or that lacks slots too.
TEST_F(RegionYieldTest, NothingIsForwardedWithoutAFreshReportOfSpareCapacity)
{
    neighborRejected(1);
    CrossRegionLoadReport report;
    report.spareCapacities = {{shortId(ServiceName(Plain)), 4, 100, 30, true}};
    scheduler_.setCrossRegionLoadReport(Away, InstanceId("far"), report, now_);
    EXPECT_FALSE(yields());
    pass(DispatchOptions().spareCapacityLifetime + milliseconds(1));
    neighborRejected(1);
    EXPECT_FALSE(yields());
}

// Guards against requests that are lost, or sent to and fro, when the link is cut or the other
// region has filled up.
TEST_F(RegionYieldTest, ARequestThatComesBackIsPlacedHere)
{
    neighborRejected(1);
    for (const auto outcome : {AttemptOutcome::NotConnected, AttemptOutcome::NotRun}) {
        pass(milliseconds(100));
        const auto call = facts(Plain);
        ASSERT_NE(only<Forward>(scheduler_.submit(call, now_)), nullptr);
        EXPECT_NE(only<Send>(scheduler_.ended(call.id, outcome, true, now_)), nullptr);
    }
}

// Guards against a report that makes the region yield more than the other one can take.
TEST_F(RegionYieldTest, AbsurdCountsDoNotExceedTheSpareRate)
{
    int forwarded = 0;
    for (int step = 0; step < 100; ++step) {
        setSpareCapacityAway(Plain, 20);
        neighborRejected(65535, 65535);
        forwarded += yields() ? 1 : 0;
        pass(milliseconds(10));
    }
    EXPECT_GT(forwarded, 0);
    EXPECT_LE(forwarded, 40);
}

} // namespace LaburnumChute::Dispatch
