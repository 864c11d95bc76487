#include "Support.h"

#include <deque>

namespace LaburnumChute::Dispatch {

namespace {

/// A plain endpoint serves each request in the same time, and as many at once as it has slots; the
/// others wait there.
constexpr milliseconds Hold{60};

/// Requests on an endpoint with six slots when its own queue is full, too.
constexpr std::uint16_t FullWithQueue = 18;

} // namespace

/// Simulates requests to endpoints of fixed speed in steps.
class LoadTest : public SchedulerTest
{
protected:
    struct Ending
    {
        Time at;
        CallId call;
    };
    struct Caller
    {
        Time arrivedAt;
        std::optional<Time> sentAt;
        bool rejected = false;
        Duration rejectedAfter{0};
        Duration retryAfter{0};
    };

    void apply(const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                callers_[send->call].sentAt = now_;
                endings_.push_back({completionTime(send->endpoint), send->call});
            } else if (const auto *reject = std::get_if<Reject>(&effect)) {
                auto &caller = callers_[reject->call];
                caller.rejected = true;
                caller.rejectedAfter = now_ - caller.arrivedAt;
                caller.retryAfter = reject->retryAfter;
            }
        }
    }
    Duration holdOf(const EndpointId &endpoint) const
    {
        const auto found = slow_.find(endpoint);
        return found == slow_.end() ? Duration(Hold) : found->second;
    }
    /// Time at which a request that is sent to the endpoint now will be complete.
    Time completionTime(const EndpointId &endpoint)
    {
        auto &slotsFreeAt = slotsFreeAt_[endpoint];
        for (const auto &listed : endpoints_) {
            if (listed.record.id == endpoint) {
                slotsFreeAt.resize(static_cast<std::size_t>(listed.record.slots));
            }
        }
        const auto first = std::min_element(slotsFreeAt.begin(), slotsFreeAt.end());
        *first = std::max(*first, now_) + holdOf(endpoint);
        return *first;
    }
    CallId arrive(CallFacts facts)
    {
        callers_[facts.id] = {now_, std::nullopt, false, {}, {}};
        const auto id = facts.id;
        apply(scheduler_.submit(std::move(facts), now_));
        return id;
    }
    void advance(milliseconds time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(5);
            std::vector<CallId> finished;
            std::erase_if(endings_, [&](const Ending &ending) {
                if (ending.at <= now_) {
                    finished.push_back(ending.call);
                }
                return ending.at <= now_;
            });
            for (const auto id : finished) {
                scheduler_.answering(id, now_);
                apply(scheduler_.ended(id, AttemptOutcome::Completed, false, now_));
            }
            apply(scheduler_.tick(now_));
        }
    }
    std::size_t countRejected() const
    {
        return static_cast<std::size_t>(
            std::count_if(callers_.begin(), callers_.end(),
                          [](const auto &entry) { return entry.second.rejected; }));
    }

    std::map<EndpointId, Duration> slow_;
    /// Time at which each slot of an endpoint becomes free.
    std::map<EndpointId, std::vector<Time>> slotsFreeAt_;
    std::map<CallId, Caller> callers_;
    std::vector<Ending> endings_;
};

// For one second three times as many requests arrive as the endpoints can serve. Guards against
// holding requests that cannot be served in time before rejecting them, and against equal retry
// delays.
TEST_F(LoadTest, BurstIsRejectedAtOnceWithSpreadRetryDelays)
{
    setEndpoints({endpoint("a", Plain, 6)});
    std::set<Duration> times;
    for (int step = 0; step < 100; ++step) {
        for (int index = 0; index < 3; ++index) {
            arrive(facts(Plain));
        }
        advance(milliseconds(10));
    }
    advance(milliseconds(2000));
    ASSERT_GT(countRejected(), 100U);
    std::size_t lateRejections = 0;
    for (const auto &[id, caller] : callers_) {
        if (caller.rejected) {
            times.insert(caller.retryAfter);
            lateRejections += caller.rejectedAfter > milliseconds(100) ? 1 : 0;
            EXPECT_GE(caller.retryAfter, milliseconds(200));
            EXPECT_LE(caller.retryAfter, milliseconds(2600));
        }
    }
    EXPECT_LT(lateRejections, countRejected() / 10);
    EXPECT_GT(times.size(), countRejected() / 2);
}

// Endpoints are kept busy under a load far beyond their capacity.
TEST_F(LoadTest, SaturatedEndpointsAreKeptBusy)
{
    setEndpoints({endpoint("a", Plain, 6)});
    for (int step = 0; step < 200; ++step) {
        arrive(facts(Plain));
        arrive(facts(Plain));
        advance(milliseconds(10));
    }
    const auto served = std::count_if(callers_.begin(), callers_.end(), [](const auto &entry) {
        return entry.second.sentAt.has_value();
    });
    constexpr double Possible = 2000.0 / 60 * 6;
    EXPECT_GT(static_cast<double>(served), 0.9 * Possible);
}

// Guards against ignoring the queues of other instances. If each of eight instances considers only
// its own eighth of the queue, they admit eight times too many requests; all of these are late and
// are rejected after half a second, while another region is idle.
TEST_F(LoadTest, QueuesOfOtherInstancesCount)
{
    setEndpoints({endpoint("a", Plain, 6)});
    RegionLoadReport busy;
    busy.uses = {{shortId(EndpointId("a")), FullWithQueue}};
    busy.services = {{shortId(ServiceName(Plain)), 200, 12000, 0}};
    scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_);
    const auto id = arrive(facts(Plain));
    EXPECT_TRUE(callers_[id].rejected);
    EXPECT_EQ(callers_[id].rejectedAfter, Duration(0));
}

// While a request is queued, the other instances of the region get more work than the endpoints can
// complete in time. Guards against holding the request until its caller has no time left to retry.
TEST_F(LoadTest, QueuedRequestIsRejectedAsSoonAsItWouldBeLate)
{
    setEndpoints({endpoint("a", Plain, 6)});
    scheduler_.setFleet({InstanceId("one"), InstanceId("two")}, 2, {});
    RegionLoadReport busy;
    busy.uses = {{shortId(EndpointId("a")), FullWithQueue}};
    scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_);
    const auto id = arrive(facts(Plain));
    ASSERT_FALSE(callers_[id].rejected);
    advance(milliseconds(50));
    busy.services = {{shortId(ServiceName(Plain)), 200, 12000, 0}};
    apply(scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_));
    EXPECT_TRUE(callers_[id].rejected);
    EXPECT_LE(callers_[id].rejectedAfter, Duration(milliseconds(60)));
    EXPECT_GT(callers_[id].retryAfter, Duration(milliseconds(700)));
}

// The same with another region that has spare capacity: the request is forwarded before it misses
// its objective.
TEST_F(LoadTest, OverloadedRegionForwardsToOneWithSpareCapacity)
{
    setEndpoints({endpoint("a", Plain, 6)});
    setSpareCapacityAway(Plain, 1000);
    pass(milliseconds(400));
    setSpareCapacityAway(Plain, 1000);
    RegionLoadReport busy;
    busy.uses = {{shortId(EndpointId("a")), FullWithQueue}};
    busy.services = {{shortId(ServiceName(Plain)), 83, 5000, 0}};
    scheduler_.setFleet({InstanceId("one"), InstanceId("two")}, 3, {RegionName("away")});
    scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_);
    EXPECT_NE(only<Forward>(scheduler_.submit(facts(Plain), now_)), nullptr);
}

// Guards against sending all excess requests to another region before its next report: it reports a
// little spare capacity twice a second.
TEST_F(LoadTest, OtherRegionIsNotOverloadedBetweenTwoReports)
{
    setEndpoints({endpoint("a", Plain, 1)});
    setSpareCapacityAway(Plain, 20);
    pass(milliseconds(500));
    setSpareCapacityAway(Plain, 20);
    int forwards = 0;
    for (int index = 0; index < 60; ++index) {
        forwards += only<Forward>(scheduler_.submit(facts(Plain), now_)) != nullptr ? 1 : 0;
    }
    EXPECT_LE(forwards, 10);
}

// Three instances of another region report spare capacity. Then its failure domain is evacuated,
// and the next report says that none is left. Guards against averaging that report with the older
// ones, which would cost callers a round trip.
TEST_F(LoadTest, SpareCapacityOfAnotherRegionEndsWithTheNewestReport)
{
    setEndpoints({endpoint("a", Plain, 6)});
    scheduler_.setFleet({InstanceId("one")}, 4, {RegionName("away")});
    CrossRegionLoadReport loadReport;
    ServiceSpareCapacity spare;
    spare.service = shortId(ServiceName(Plain));
    spare.endpoints = 4;
    spare.freePerSecond = 1000;
    spare.waitMs = 30;
    loadReport.spareCapacities = {spare};
    for (const auto *far : {"far-1", "far-2", "far-3"}) {
        scheduler_.setCrossRegionLoadReport(RegionName("away"), InstanceId(far), loadReport, now_);
    }
    pass(milliseconds(500));
    loadReport.spareCapacities.front().endpoints = 0;
    loadReport.spareCapacities.front().freePerSecond = 0;
    scheduler_.setCrossRegionLoadReport(RegionName("away"), InstanceId("far-1"), loadReport, now_);
    RegionLoadReport busy;
    busy.uses = {{shortId(EndpointId("a")), FullWithQueue}};
    busy.services = {{shortId(ServiceName(Plain)), 83, 5000, 0}};
    scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_);
    EXPECT_EQ(only<Forward>(scheduler_.submit(facts(Plain), now_)), nullptr);
}

// The own region is overloaded, and another one can serve two hundred short calls per second. Its
// reported spare capacity shrinks with each request sent there. Guards against using a fixed
// fraction of what is reported: the rate would settle at a part of the capacity, and callers would
// be rejected while slots are empty.
TEST_F(LoadTest, SpareCapacityOfAnotherRegionIsFullyUsed)
{
    constexpr int Possible = 200;
    constexpr milliseconds ReportInterval{250};
    setEndpoints({endpoint("a", Plain, 6)});
    RegionLoadReport busy;
    busy.uses = {{shortId(EndpointId("a")), FullWithQueue}};
    busy.services = {{shortId(ServiceName(Plain)), 41, 2500, 0}};
    std::vector<Time> sent;
    const auto start = now_;
    const auto sentWithin = [&](Duration span) {
        return std::count_if(sent.begin(), sent.end(), [&](Time at) { return now_ - at <= span; });
    };
    auto reportAt = now_;
    while (now_ - start < seconds(5)) {
        if (now_ >= reportAt) {
            reportAt += ReportInterval;
            const auto rate = 4 * static_cast<int>(sentWithin(ReportInterval));
            setSpareCapacityAway(Plain, std::max(0, Possible - rate));
            scheduler_.setFleet({InstanceId("one"), InstanceId("two")}, 3, {RegionName("away")});
            scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_);
        }
        for (int index = 0; index < 2; ++index) {
            const auto call = facts(Plain);
            if (only<Forward>(scheduler_.submit(call, now_)) != nullptr) {
                sent.push_back(now_);
                scheduler_.ended(call.id, AttemptOutcome::Completed, false, now_);
            }
        }
        pass(milliseconds(5));
    }
    EXPECT_GT(sentWithin(seconds(2)), 2 * Possible * 3 / 4);
    EXPECT_LT(sentWithin(seconds(2)), 2 * Possible * 5 / 4);
}

// One endpoint of three takes ten times as long. It gets fewer requests, since its unfinished ones
// count.
TEST_F(LoadTest, SlowEndpointGetsLess)
{
    setEndpoints({endpoint("a", Plain, 6), endpoint("b", Plain, 6), endpoint("c", Plain, 6)});
    slow_[EndpointId("c")] = Hold * 10;
    std::map<EndpointId, int> sends;
    for (int step = 0; step < 300; ++step) {
        const auto call = facts(Plain);
        callers_[call.id] = {now_, std::nullopt, false, {}, {}};
        const auto effects = scheduler_.submit(call, now_);
        if (const auto *send = only<Send>(effects)) {
            ++sends[send->endpoint];
        }
        apply(effects);
        advance(milliseconds(10));
    }
    EXPECT_LT(sends[EndpointId("c")], sends[EndpointId("a")] / 2);
}

// Guards against queueing short requests behind a few very long prompts while another engine has
// nothing to prefill.
TEST_F(LoadTest, ShortRequestsAvoidEnginesWithLongPrefills)
{
    setEndpoints({endpoint("a", Model), endpoint("b", Model)});
    auto huge = longCall(1);
    huge.promptTokens = 50000;
    const auto placed = scheduler_.submit(huge, now_);
    const auto busy = only<Send>(placed)->endpoint;
    for (int index = 0; index < 4; ++index) {
        auto small = facts(Model, RequestKind::Stream);
        small.promptTokens = 300;
        const auto effects = scheduler_.submit(small, now_);
        ASSERT_NE(only<Send>(effects), nullptr);
        EXPECT_NE(only<Send>(effects)->endpoint, busy);
    }
}

// A prompt whose prefill takes longer than its objective even on an idle engine is late in any
// case, but it is served; otherwise callers with large prompts would never be served.
TEST_F(LoadTest, LargestPromptsAreServed)
{
    setEndpoints({endpoint("a", Model)});
    auto huge = longCall(1);
    huge.promptTokens = 90000;
    EXPECT_NE(only<Send>(scheduler_.submit(huge, now_)), nullptr);
}

// A request whose caller leaves while it is queued costs nothing and is removed from the queue.
TEST_F(LoadTest, AbandonedRequestLeavesTheQueue)
{
    setEndpoints({endpoint("a", Plain, 1)});
    for (int index = 0; index < 3; ++index) {
        arrive(facts(Plain));
    }
    const auto waiting = arrive(facts(Plain));
    ASSERT_EQ(scheduler_.waiting(), 1U);
    scheduler_.withdraw(waiting, now_);
    EXPECT_EQ(scheduler_.waiting(), 0U);
    advance(milliseconds(500));
    EXPECT_FALSE(callers_[waiting].sentAt);
}

// The instance that a request was forwarded to cancels it on a silent endpoint and sends it to
// another one. Guards against cancelling it here at the same time: the caller would get an error
// just as the answer arrives.
TEST_F(LoadTest, ForwardedRequestIsNotCancelledWhenSilent)
{
    setSpareCapacityAway(Plain, 100);
    ASSERT_NE(only<Forward>(scheduler_.submit(facts(Plain), now_)), nullptr);
    pass(seconds(6));
    EXPECT_TRUE(scheduler_.tick(now_).empty());
}

TEST_F(LoadTest, OrderIsNeverTakenOffItsEndpoint)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    scheduler_.submit(facts(Plain, RequestKind::AtMostOnce), now_);
    pass(seconds(5));
    EXPECT_TRUE(scheduler_.tick(now_).empty());
}

} // namespace LaburnumChute::Dispatch
