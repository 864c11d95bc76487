#include <deque>
#include <map>
#include <memory>
#include <random>

#include "Support.h"

namespace LaburnumChute::Dispatch {

namespace {

TEST(EndpointRestTest, AllowsNothingUntilItsEnd)
{
    const Time start = Time(seconds(1000));
    EndpointRest rest;
    EXPECT_TRUE(rest.allows(start));
    rest.begin(seconds(3), start);
    EXPECT_FALSE(rest.allows(start + milliseconds(2999)));
    EXPECT_EQ(rest.left(start + seconds(1)), seconds(2));
    EXPECT_TRUE(rest.allows(start + seconds(3)));
    EXPECT_EQ(rest.left(start + seconds(4)), seconds(0));
}

// Answers arrive in any order. Guards against a short rest that ends a longer one.
TEST(EndpointRestTest, TheLatestEndCounts)
{
    const Time start = Time(seconds(1000));
    EndpointRest rest;
    rest.begin(seconds(3), start);
    rest.begin(seconds(1), start);
    EXPECT_FALSE(rest.allows(start + seconds(2)));
}

// Guards against a crowd of requests that are all rejected again.
TEST(EndpointRestTest, ASingleRequestTestsTheEndpointFirst)
{
    const Time start = Time(seconds(1000));
    EndpointRest rest;
    rest.begin(seconds(1), start);
    const auto after = start + seconds(1);
    rest.sent(after);
    EXPECT_FALSE(rest.allows(after));
    // An attempt from before the rest says nothing.
    rest.accepted(start);
    rest.ended(start);
    EXPECT_FALSE(rest.allows(after));
    rest.accepted(after);
    EXPECT_TRUE(rest.allows(after));
    rest.sent(after);
    EXPECT_TRUE(rest.allows(after));
}

TEST(EndpointRestTest, AnotherRestFollowsARejectedTest)
{
    const Time start = Time(seconds(1000));
    EndpointRest rest;
    rest.begin(seconds(1), start);
    const auto after = start + seconds(1);
    rest.sent(after);
    rest.begin(seconds(1), after);
    rest.ended(after);
    EXPECT_FALSE(rest.allows(after + milliseconds(999)));
    EXPECT_TRUE(rest.allows(after + seconds(1)));
}

TEST_F(SchedulerTest, RequestsGoToEndpointsThatDoNotRest)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    scheduler_.restSeen(EndpointId("a"), seconds(3), now_);
    for (int index = 0; index < 6; ++index) {
        const auto effects = scheduler_.submit(facts(Plain), now_);
        ASSERT_NE(only<Send>(effects), nullptr);
        EXPECT_EQ(only<Send>(effects)->endpoint, EndpointId("b"));
    }
}

// The connection is established after the endpoint has asked for rest.
TEST_F(SchedulerTest, ARequestIsWithheldFromAnEndpointThatRests)
{
    setEndpoints({endpoint("a", Plain)});
    const auto call = facts(Plain);
    ASSERT_NE(only<Send>(scheduler_.submit(call, now_)), nullptr);
    EXPECT_TRUE(scheduler_.maySend(call.id, now_));
    scheduler_.restSeen(EndpointId("a"), seconds(3), now_);
    EXPECT_FALSE(scheduler_.maySend(call.id, now_));
}

// All endpoints rest for longer than a caller may wait. Guards against requests that wait in vain,
// and against callers that return together or before the end of the rest.
TEST_F(SchedulerTest, CallersAreToldWhenEndpointsThatRestAreBack)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    scheduler_.restSeen(EndpointId("a"), seconds(5), now_);
    scheduler_.restSeen(EndpointId("b"), seconds(3), now_);
    std::set<Duration> retryAfters;
    for (int index = 0; index < 20; ++index) {
        const auto effects = scheduler_.submit(facts(Plain), now_);
        const auto *reject = only<Reject>(effects);
        ASSERT_NE(reject, nullptr);
        EXPECT_GE(reject->retryAfter, seconds(3));
        EXPECT_LT(reject->retryAfter, milliseconds(4500));
        retryAfters.insert(reject->retryAfter);
    }
    EXPECT_GT(retryAfters.size(), 10U);
}

// Guards against a record that is still "ready" and brings back an endpoint that said it leaves.
TEST_F(SchedulerTest, AnEndpointThatSaidItLeavesIsNotUsedUntilItsNextStart)
{
    auto one = endpoint("a", Plain);
    setEndpoints({one, endpoint("b", Plain)});
    EXPECT_TRUE(scheduler_.leavingSeen(EndpointId("a")));
    EXPECT_FALSE(scheduler_.leavingSeen(EndpointId("a")));
    const auto used = [this] {
        std::set<EndpointId> endpoints;
        for (int index = 0; index < 4; ++index) {
            const auto effects = scheduler_.submit(facts(Plain), now_);
            endpoints.insert(only<Send>(effects)->endpoint);
        }
        return endpoints;
    };
    EXPECT_EQ(used().count(EndpointId("a")), 0U);
    ++one.record.sequence;
    scheduler_.updateEndpoints({{one}, {}}, now_);
    EXPECT_EQ(used().count(EndpointId("a")), 0U);
    ++one.record.startedAt;
    scheduler_.updateEndpoints({{one}, {}}, now_);
    EXPECT_EQ(used().count(EndpointId("a")), 1U);
}

/// Instances in front of endpoints that reject what they cannot run at once, and ask the instance
/// for rest.
class RestingRegion
{
public:
    static constexpr milliseconds Rest{2000};
    static constexpr milliseconds Grace{500};

    explicit RestingRegion(std::size_t instances)
    {
        Catalog::Service service;
        service.name = ServiceName("desk");
        std::vector<Catalog::ListedEndpoint> listed;
        for (int index = 0; index < Endpoints; ++index) {
            Catalog::ListedEndpoint endpoint;
            endpoint.record.id = EndpointId("endpoint-" + std::to_string(index));
            endpoint.record.service = service.name;
            endpoint.record.address = endpoint.record.id.text() + ":80";
            endpoint.record.slots = Slots;
            listed.push_back(endpoint);
        }
        for (std::size_t index = 0; index < instances; ++index) {
            ids_.emplace_back("instance-" + std::to_string(index));
        }
        for (std::size_t index = 0; index < instances; ++index) {
            schedulers_.push_back(std::make_unique<Scheduler>(
                DispatchOptions(), ids_[index], RegionName("home"), index + 1, Time()));
            schedulers_.back()->setServices({{service.name, service}}, now_);
            schedulers_.back()->setEndpoints(listed, {}, now_);
            schedulers_.back()->setFleet(ids_, instances, {});
        }
    }

    void simulate(seconds time, double requestsPerSecond)
    {
        constexpr milliseconds Step{5};
        std::poisson_distribution<int> arrivals(requestsPerSecond * Common::toSeconds(Step));
        std::uniform_int_distribution<std::size_t> anyInstance(0, schedulers_.size() - 1);
        for (const auto end = now_ + time; now_ < end; now_ += Step) {
            finishRuns();
            for (int left = arrivals(random_); left > 0; --left) {
                submit(anyInstance(random_));
            }
            for (std::size_t index = 0; index < schedulers_.size(); ++index) {
                apply(index, schedulers_[index]->tick(now_));
            }
        }
    }

    /// Most requests that an instance sent to an endpoint during one rest.
    int mostDuringRest() const
    {
        return mostDuringRest_;
    }
    int completed() const
    {
        return completed_;
    }
    int rests() const
    {
        return rests_;
    }

private:
    static constexpr int Endpoints = 4;
    static constexpr int Slots = 6;
    static constexpr milliseconds Work{60};

    struct Run
    {
        Time endsAt{};
        std::size_t instance = 0;
        CallId call = 0;
    };
    struct Asked
    {
        Time since{};
        Time until{};
        int requests = 0;
    };

    void submit(std::size_t instance)
    {
        CallFacts facts;
        facts.id = nextCall_++;
        facts.service = ServiceName("desk");
        facts.kind = RequestKind::AtMostOnce;
        facts.arrivedAt = now_;
        facts.objectiveAt = now_ + milliseconds(500);
        facts.deadline = now_ + seconds(4);
        facts.fingerprint = facts.id;
        apply(instance, schedulers_[instance]->submit(facts, now_));
    }

    void apply(std::size_t instance, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                arrive(instance, *send);
            }
        }
    }

    void arrive(std::size_t instance, const Send &send)
    {
        auto &asked = asked_[{instance, send.endpoint}];
        if (now_ > asked.since + Grace && now_ < asked.until) {
            mostDuringRest_ = std::max(mostDuringRest_, ++asked.requests);
        }
        auto &runs = runs_[send.endpoint];
        auto &scheduler = *schedulers_[instance];
        if (runs.size() >= Slots) {
            if (now_ >= asked.until) {
                asked = {now_, now_ + Rest, 0};
                ++rests_;
            }
            scheduler.restSeen(send.endpoint, Rest, now_);
            apply(instance, scheduler.ended(send.call, AttemptOutcome::NotRun, true, now_));
            return;
        }
        runs.push_back({now_ + Work, instance, send.call});
    }

    void finishRuns()
    {
        for (auto &[id, runs] : runs_) {
            while (!runs.empty() && runs.front().endsAt <= now_) {
                const auto run = runs.front();
                runs.pop_front();
                ++completed_;
                auto &scheduler = *schedulers_[run.instance];
                apply(run.instance,
                      scheduler.ended(run.call, AttemptOutcome::Completed, false, now_));
            }
        }
    }

    Time now_ = Time(seconds(1000));
    std::mt19937_64 random_{5};
    std::vector<InstanceId> ids_;
    std::vector<std::unique_ptr<Scheduler>> schedulers_;
    std::map<EndpointId, std::deque<Run>> runs_;
    std::map<std::pair<std::size_t, EndpointId>, Asked> asked_;
    CallId nextCall_ = 1;
    int mostDuringRest_ = 0;
    int completed_ = 0;
    int rests_ = 0;
};

class RestTest : public testing::TestWithParam<std::size_t>
{
};

// Twice as many requests as the endpoints can run. Guards against requests that reach an endpoint
// during its rest by any way: at first, on a second attempt or from the queue.
TEST_P(RestTest, EndpointsAreLeftAloneByEachInstance)
{
    RestingRegion region(GetParam());
    region.simulate(seconds(20), 800);
    EXPECT_GT(region.rests(), 0);
    EXPECT_LE(region.mostDuringRest(), 2);
    EXPECT_GT(region.completed(), 0);
}

INSTANTIATE_TEST_SUITE_P(Instances, RestTest, testing::Values(1, 4, 40));

} // namespace

} // namespace LaburnumChute::Dispatch
