#include "Support.h"

#include <deque>

namespace LaburnumChute::Dispatch {

namespace {

/// A plain endpoint serves each request in the same time, as many at once as it has places; the
/// others wait there for their turn.
constexpr milliseconds Hold{60};

/// Requests on an endpoint with six places when its own queue is full, too.
constexpr std::uint16_t FullWithQueue = 18;

} // namespace

/// Plays requests against endpoints of fixed speed, tick by tick.
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
        Duration heardAfter{0};
        Duration retryAfter{0};
    };

    void take(const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                callers_[send->call].sentAt = now_;
                endings_.push_back({endOf(send->endpoint), send->call});
            } else if (const auto *reject = std::get_if<Reject>(&effect)) {
                auto &caller = callers_[reject->call];
                caller.rejected = true;
                caller.heardAfter = now_ - caller.arrivedAt;
                caller.retryAfter = reject->retryAfter;
            }
        }
    }
    Duration holdOf(const EndpointId &endpoint) const
    {
        const auto found = slow_.find(endpoint);
        return found == slow_.end() ? Duration(Hold) : found->second;
    }
    /// When a request that is sent to the endpoint now will have been served.
    Time endOf(const EndpointId &endpoint)
    {
        auto &places = places_[endpoint];
        for (const auto &listed : endpoints_) {
            if (listed.record.id == endpoint) {
                places.resize(static_cast<std::size_t>(listed.record.slots));
            }
        }
        const auto first = std::min_element(places.begin(), places.end());
        *first = std::max(*first, now_) + holdOf(endpoint);
        return *first;
    }
    CallId arrive(CallFacts facts)
    {
        callers_[facts.id] = {now_, std::nullopt, false, {}, {}};
        const auto id = facts.id;
        take(scheduler_.submit(std::move(facts), now_));
        return id;
    }
    void advance(milliseconds time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(5);
            std::vector<CallId> over;
            std::erase_if(endings_, [&](const Ending &ending) {
                if (ending.at <= now_) {
                    over.push_back(ending.call);
                }
                return ending.at <= now_;
            });
            for (const auto id : over) {
                scheduler_.answering(id, now_);
                take(scheduler_.ended(id, AttemptOutcome::Completed, false, now_));
            }
            take(scheduler_.tick(now_));
        }
    }
    std::size_t countRejected() const
    {
        return static_cast<std::size_t>(
            std::count_if(callers_.begin(), callers_.end(),
                          [](const auto &entry) { return entry.second.rejected; }));
    }

    std::map<EndpointId, Duration> slow_;
    /// When each place of an endpoint is free again.
    std::map<EndpointId, std::vector<Time>> places_;
    std::map<CallId, Caller> callers_;
    std::vector<Ending> endings_;
};

// For a second three times as many requests come as the endpoints can take. Those that could not be
// served in time hear so at once, with different times to come back; none is held until it is late
// and then turned away.
TEST_F(LoadTest, BurstIsTurnedAwayAtOnceAndSpread)
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
    std::size_t held = 0;
    for (const auto &[id, caller] : callers_) {
        if (caller.rejected) {
            times.insert(caller.retryAfter);
            held += caller.heardAfter > milliseconds(100) ? 1 : 0;
            EXPECT_GE(caller.retryAfter, milliseconds(200));
            EXPECT_LE(caller.retryAfter, milliseconds(2600));
        }
    }
    EXPECT_LT(held, countRejected() / 10);
    EXPECT_GT(times.size(), countRejected() / 2);
}

// The endpoints keep busy under a load far beyond what they can take.
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

// Eight instances stand before the same endpoints and each has an eighth of the queue. One that
// looks at its own part alone lets eight times too many wait: all of them are late and are turned
// away after half a second, while another region idles.
TEST_F(LoadTest, QueuesOfOtherInstancesCount)
{
    setEndpoints({endpoint("a", Plain, 6)});
    RegionLoadReport busy;
    busy.uses = {{shortId(EndpointId("a")), FullWithQueue}};
    busy.services = {{shortId(ServiceName(Plain)), 200, 12000, 0}};
    scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_);
    const auto id = arrive(facts(Plain));
    EXPECT_TRUE(callers_[id].rejected);
    EXPECT_EQ(callers_[id].heardAfter, Duration(0));
}

// A request waits for its turn, and before that comes, the other instances of the region get more
// work than the endpoints can do in time. Held on until its caller's patience is over, it would be
// told a second later what was known at once, with no time left to try again.
TEST_F(LoadTest, WaitingRequestIsTurnedAwayAsSoonAsItsTurnComesTooLate)
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
    take(scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_));
    EXPECT_TRUE(callers_[id].rejected);
    EXPECT_LE(callers_[id].heardAfter, Duration(milliseconds(60)));
    EXPECT_GT(callers_[id].retryAfter, Duration(milliseconds(700)));
}

// The same, and another region has room: it helps before the caller's objective is missed.
TEST_F(LoadTest, CrowdedRegionIsHelpedByOneWithRoom)
{
    setEndpoints({endpoint("a", Plain, 6)});
    offerAway(Plain, 1000);
    pass(milliseconds(400));
    offerAway(Plain, 1000);
    RegionLoadReport busy;
    busy.uses = {{shortId(EndpointId("a")), FullWithQueue}};
    busy.services = {{shortId(ServiceName(Plain)), 83, 5000, 0}};
    scheduler_.setFleet({InstanceId("one"), InstanceId("two")}, 3, {RegionName("away")});
    scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_);
    EXPECT_NE(only<Forward>(scheduler_.submit(facts(Plain), now_)), nullptr);
}

// Another region reports a little room twice a second. All that this one would like to be rid of is
// not sent there before the next report.
TEST_F(LoadTest, OtherRegionIsNotOverrunBetweenTwoReports)
{
    setEndpoints({endpoint("a", Plain, 1)});
    offerAway(Plain, 20);
    pass(milliseconds(500));
    offerAway(Plain, 20);
    int forwards = 0;
    for (int index = 0; index < 60; ++index) {
        forwards += only<Forward>(scheduler_.submit(facts(Plain), now_)) != nullptr ? 1 : 0;
    }
    EXPECT_LE(forwards, 10);
}

// Three instances of another region told of room. Then its failure domain is evacuated, and the
// next report says that nothing is left. Averaged with the older ones it would still look like
// room, and callers would lose a round trip there.
TEST_F(LoadTest, RoomOfAnotherRegionEndsWithTheNewestReport)
{
    setEndpoints({endpoint("a", Plain, 6)});
    scheduler_.setFleet({InstanceId("one")}, 4, {RegionName("away")});
    CrossRegionLoadReport share;
    ServiceRoom room;
    room.service = shortId(ServiceName(Plain));
    room.endpoints = 4;
    room.freePerSecond = 1000;
    room.waitMs = 30;
    share.rooms = {room};
    for (const auto *far : {"far-1", "far-2", "far-3"}) {
        scheduler_.setCrossRegionLoadReport(RegionName("away"), InstanceId(far), share, now_);
    }
    pass(milliseconds(500));
    share.rooms.front().endpoints = 0;
    share.rooms.front().freePerSecond = 0;
    scheduler_.setCrossRegionLoadReport(RegionName("away"), InstanceId("far-1"), share, now_);
    RegionLoadReport busy;
    busy.uses = {{shortId(EndpointId("a")), FullWithQueue}};
    busy.services = {{shortId(ServiceName(Plain)), 83, 5000, 0}};
    scheduler_.setRegionLoadReport(InstanceId("two"), busy, now_);
    EXPECT_EQ(only<Forward>(scheduler_.submit(facts(Plain), now_)), nullptr);
}

// Home is crowded, and another region could take two hundred short calls a second. What is free
// there shrinks with each that was sent; whoever sends half of what is free comes to rest at a part
// of it, and callers are turned away while places are empty.
TEST_F(LoadTest, OtherRegionsRoomIsUsedAsFarAsItGoes)
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
            offerAway(Plain, std::max(0, Possible - rate));
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

// One endpoint of three takes ten times as long. It gets less than its share, since what it has not
// finished counts.
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
        take(effects);
        advance(milliseconds(10));
    }
    EXPECT_LT(sends[EndpointId("c")], sends[EndpointId("a")] / 2);
}

// A few very long prompts come among many short ones. The short ones are not put behind them while
// another engine has nothing to read.
TEST_F(LoadTest, ShortRequestsAvoidEnginesThatReadLongPrompts)
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

// A prompt takes longer to read than its objective even on an idle engine. It is late in any case,
// but it is served: nobody would ever be, whose prompts are large.
TEST_F(LoadTest, LargestPromptsAreServed)
{
    setEndpoints({endpoint("a", Model)});
    auto huge = longCall(1);
    huge.promptTokens = 90000;
    EXPECT_NE(only<Send>(scheduler_.submit(huge, now_)), nullptr);
}

// A caller leaves while its request waits: it costs nothing, and its place in the queue is free.
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

// An endpoint holds a lookup without a word. Another one may still answer in time; the caller would
// else wait until it gives up.
TEST_F(LoadTest, LookupIsTakenOffASilentEndpoint)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    const auto call = facts(Plain);
    scheduler_.submit(call, now_);
    pass(milliseconds(300));
    EXPECT_TRUE(scheduler_.tick(now_).empty());
    pass(milliseconds(500));
    EXPECT_NE(only<CancelAttempt>(scheduler_.tick(now_)), nullptr);
}

// A request was forwarded, and the instance there takes it off a silent endpoint and sends it to
// another one. Were it taken back here in the same moment, its caller would get an error just as
// the answer comes.
TEST_F(LoadTest, ForwardedRequestIsLeftToTheInstanceThatHasIt)
{
    offerAway(Plain, 100);
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
