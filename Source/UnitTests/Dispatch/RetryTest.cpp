#include "Support.h"

namespace LaburnumChute::Dispatch {

// Guards against an outcome that is taken for proof that the request has not run.
TEST(AttemptOutcomeTest, OnlyWhatWasNotSentOrNotStartedHasNotRun)
{
    for (const auto outcome :
         {AttemptOutcome::NotConnected, AttemptOutcome::Refused, AttemptOutcome::Withheld,
          AttemptOutcome::NotRun, AttemptOutcome::Replaced}) {
        EXPECT_EQ(runStateAfter(outcome), Common::RunState::NotRun) << toString(outcome);
    }
    for (const auto outcome :
         {AttemptOutcome::Cancelled, AttemptOutcome::Error, AttemptOutcome::Broken,
          AttemptOutcome::Invalid, AttemptOutcome::Silent}) {
        EXPECT_EQ(runStateAfter(outcome), Common::RunState::Unknown) << toString(outcome);
    }
    for (const auto outcome : {AttemptOutcome::Completed, AttemptOutcome::Answered}) {
        EXPECT_EQ(runStateAfter(outcome), Common::RunState::Ran) << toString(outcome);
    }
}

// The other region's endpoints failed the request, and its instance used up the runs that the route
// allows. Guards against another run at home: the request would run on more endpoints than its
// operator permits, and each run costs money.
TEST_F(SchedulerTest, RequestThatRanInAnotherRegionIsNotTriedAtHome)
{
    setEndpoints({endpoint("a", Plain)});
    auto call = facts(Plain);
    call.allowedRegions = {RegionName("away")};
    setSpareCapacityAway(Plain, 10);
    const auto sent = scheduler_.submit(call, now_);
    ASSERT_NE(only<Forward>(sent), nullptr);
    call.allowedRegions.clear();
    const auto effects = scheduler_.ended(call.id, AttemptOutcome::Error, true, now_);
    EXPECT_NE(only<Fail>(effects), nullptr);
}

// A repeatable request failed at home and is forwarded to another region. Guards against telling
// the instance there the full number of runs that the route allows: one endpoint too many would run
// it.
TEST_F(SchedulerTest, TriesMadeAtHomeAreNotMadeAgainElsewhere)
{
    setEndpoints({endpoint("a", Plain)});
    const auto call = facts(Plain);
    setSpareCapacityAway(Plain, 10);
    ASSERT_NE(only<Send>(scheduler_.submit(call, now_)), nullptr);
    scheduler_.setEndpoints({}, {}, now_);
    const auto effects = scheduler_.ended(call.id, AttemptOutcome::Error, true, now_);
    const auto *forward = only<Forward>(effects);
    ASSERT_NE(forward, nullptr);
    EXPECT_EQ(forward->maxRuns, call.maxRuns - 1);
}

// An endpoint answers a repeatable request with an error of its own. Guards against returning the
// error although a second run would most likely succeed.
TEST_F(SchedulerTest, RepeatableRequestIsRetriedAfterAnError)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    const auto call = facts(Plain);
    const auto first = scheduler_.submit(call, now_);
    ASSERT_NE(only<Send>(first), nullptr);
    const auto second = scheduler_.ended(call.id, AttemptOutcome::Error, true, now_);
    ASSERT_NE(only<Send>(second), nullptr);
    EXPECT_NE(only<Send>(first)->endpoint, only<Send>(second)->endpoint);
    EXPECT_NE(only<Fail>(scheduler_.ended(call.id, AttemptOutcome::Error, true, now_)), nullptr);
}

// No region has an endpoint any more, and the retry budget allows no further attempt after the one
// at a region whose report was old. Guards against a log that says that the attempts were used up.
TEST_F(SchedulerTest, RequestThatNoRegionHasAnEndpointForIsRejectedForThat)
{
    Catalog::Bounds noRetries;
    noRetries.retryRatio = 0;
    noRetries.retrySlack = 0;
    scheduler_.setBounds(noRetries);
    setSpareCapacityAway(Plain, 10);
    const auto call = facts(Plain);
    ASSERT_NE(only<Forward>(scheduler_.submit(call, now_)), nullptr);
    const auto effects = scheduler_.ended(call.id, AttemptOutcome::NotRun, true, now_);
    ASSERT_NE(only<Reject>(effects), nullptr);
    EXPECT_EQ(only<Reject>(effects)->reason, RejectReason::NoEndpoint);
}

// All requests of an instance come from others. Guards against an instance that retries none of
// them because it counts the requests of its own callers only.
TEST_F(SchedulerTest, ForwardedRequestsAreRetried)
{
    Catalog::Bounds bounds;
    bounds.retryRatio = 1;
    bounds.retrySlack = 0;
    scheduler_.setBounds(bounds);
    constexpr int Requests = 40;
    std::vector<Catalog::ListedEndpoint> listed;
    for (int index = 0; index < Requests; ++index) {
        listed.push_back(endpoint("e" + std::to_string(index), Plain));
    }
    setEndpoints(listed);
    int retried = 0;
    for (int count = 0; count < Requests; ++count) {
        auto call = facts(Plain);
        call.forwarded = true;
        ASSERT_NE(only<Send>(scheduler_.submit(call, now_)), nullptr) << count;
        const auto effects = scheduler_.ended(call.id, AttemptOutcome::Broken, true, now_);
        retried += only<Send>(effects) != nullptr ? 1 : 0;
        scheduler_.ended(call.id, AttemptOutcome::Completed, false, now_);
    }
    EXPECT_GE(retried, Requests / 4);
}

// The connection breaks during an order, which may have run; a second run would be a second order.
TEST_F(SchedulerTest, OrderIsNotSentAgainAfterABrokenConnection)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    const auto call = facts(Plain, RequestKind::AtMostOnce);
    scheduler_.submit(call, now_);
    EXPECT_NE(only<Fail>(scheduler_.ended(call.id, AttemptOutcome::Broken, true, now_)), nullptr);
}

// Endpoints that run answer an order with bytes that are no answer. Guards against a second run of
// it, and against a request that is taken to crash endpoints.
TEST_F(SchedulerTest, BytesThatAreNoAnswerDoNotCountAgainstTheRequest)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain), endpoint("c", Plain)});
    constexpr std::uint64_t Fingerprint = 77;
    for (int count = 0; count < 4; ++count) {
        auto call = facts(Plain, RequestKind::AtMostOnce);
        call.fingerprint = Fingerprint;
        ASSERT_NE(only<Send>(scheduler_.submit(call, now_)), nullptr) << count;
        const auto effects = scheduler_.ended(call.id, AttemptOutcome::Invalid, true, now_);
        EXPECT_NE(only<Fail>(effects), nullptr);
    }
}

// Each answer of an endpoint begins well and has no end. Guards against an ejection that the
// beginning of the next such answer ends.
TEST_F(SchedulerTest, AnAnswerWithoutEndEndsNoEjection)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    const DispatchOptions options;
    std::vector<Time> sentToA;
    // Requests at b go on, so that a is preferred whenever it is not ejected.
    for (int count = 0; count < 600; ++count) {
        const auto call = facts(Plain, RequestKind::AtMostOnce);
        const auto effects = scheduler_.submit(call, now_);
        const auto *send = only<Send>(effects);
        if (send == nullptr) {
            scheduler_.withdraw(call.id, now_);
        } else if (send->endpoint == EndpointId("a")) {
            scheduler_.answering(call.id, now_);
            scheduler_.ended(call.id, AttemptOutcome::Invalid, false, now_);
            sentToA.push_back(now_);
        }
        pass(milliseconds(10));
    }
    const auto beforeEjection = static_cast<std::size_t>(options.consecutiveFailures);
    ASSERT_GT(sentToA.size(), beforeEjection + 1);
    for (auto index = beforeEjection; index < sentToA.size(); ++index) {
        EXPECT_GE(sentToA[index] - sentToA[index - 1], options.firstEjection) << index;
    }
}

// The endpoint's port is closed, so the order was not sent and may go to another endpoint.
TEST_F(SchedulerTest, OrderThatWasNotSentGoesToAnotherEndpoint)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    const auto call = facts(Plain, RequestKind::AtMostOnce);
    const auto first = scheduler_.submit(call, now_);
    const auto second = scheduler_.ended(call.id, AttemptOutcome::NotConnected, true, now_);
    ASSERT_NE(only<Send>(second), nullptr);
    EXPECT_NE(only<Send>(first)->endpoint, only<Send>(second)->endpoint);
}

// All endpoints reject an order as not run. The caller is told at once that it has not run and when
// to retry.
TEST_F(SchedulerTest, OrderRejectedByAllEndpointsIsRejectedAsNotRun)
{
    setEndpoints({endpoint("a", Plain)});
    const auto call = facts(Plain, RequestKind::AtMostOnce);
    scheduler_.submit(call, now_);
    const auto effects = scheduler_.ended(call.id, AttemptOutcome::NotRun, true, now_);
    const auto *reject = only<Reject>(effects);
    ASSERT_NE(reject, nullptr);
    EXPECT_GT(reject->retryAfter, Duration(0));
}

// After an attempt with unknown outcome no endpoint is left. The request must not be reported as
// not run, since the caller would rely on that.
TEST_F(SchedulerTest, NothingThatMayHaveRunIsRejectedAsNotRun)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    const auto call = facts(Plain);
    scheduler_.submit(call, now_);
    scheduler_.setEndpoints({}, {}, now_);
    const auto effects = scheduler_.ended(call.id, AttemptOutcome::Broken, true, now_);
    EXPECT_NE(only<Fail>(effects), nullptr);
}

// All endpoints fail nearly half of their requests. Guards against retrying each failure, which
// would increase the load by half just then.
TEST_F(SchedulerTest, RetriesStayWithinTheBudgetWhenEverythingFails)
{
    Catalog::Bounds bounds;
    bounds.retryRatio = 0.2;
    bounds.retrySlack = 10;
    scheduler_.setBounds(bounds);
    setEndpoints({endpoint("a", Plain, 1000), endpoint("b", Plain, 1000)});
    int retries = 0;
    constexpr int Requests = 200;
    for (int index = 0; index < Requests; ++index) {
        const auto call = facts(Plain);
        scheduler_.submit(call, now_);
        const auto effects = scheduler_.ended(call.id, AttemptOutcome::Error, true, now_);
        if (only<Send>(effects) != nullptr) {
            ++retries;
            scheduler_.ended(call.id, AttemptOutcome::Completed, true, now_);
        }
        pass(milliseconds(10));
    }
    EXPECT_GT(retries, 20);
    EXPECT_LE(retries, 0.2 * Requests + 10);
}

// An endpoint drops a request after its objective has passed. The request may have run, so it
// cannot be rejected for a retry; the other engine would start it after an eighth of a second, long
// before the deadline. A late answer is better than an error.
TEST_F(SchedulerTest, SecondTryIsMadeLateRatherThanGivenUp)
{
    setEndpoints({endpoint("a", Model), endpoint("b", Model)});
    const auto call = facts(Model);
    const auto effects = scheduler_.submit(call, now_);
    ASSERT_NE(only<Send>(effects), nullptr);
    const auto first = only<Send>(effects)->endpoint;
    const auto other = first == EndpointId("a") ? EndpointId("b") : EndpointId("a");
    pass(milliseconds(1000));
    scheduler_.learn({InstanceId("two"), {{shortId(other), 4000, {}}}}, now_);
    const auto next = scheduler_.ended(call.id, AttemptOutcome::Broken, true, now_);
    ASSERT_NE(only<Send>(next), nullptr);
    EXPECT_EQ(only<Send>(next)->endpoint, other);
}

// A request must not be sent if its endpoint starts leaving or is evacuated after placement.
TEST_F(SchedulerTest, PlacedRequestGoesElsewhereWhenItsEndpointLeaves)
{
    const auto first = endpoint("a", Plain);
    setEndpoints({first});
    const auto call = facts(Plain, RequestKind::AtMostOnce);
    ASSERT_NE(only<Send>(scheduler_.submit(call, now_)), nullptr);
    EXPECT_TRUE(scheduler_.maySend(call.id, now_));
    scheduler_.setEndpoints({first}, {Common::FailureDomainName("zone")}, now_);
    EXPECT_FALSE(scheduler_.maySend(call.id, now_));
    auto leaving = first;
    leaving.leaving = true;
    setEndpoints({leaving, endpoint("b", Plain)});
    EXPECT_FALSE(scheduler_.maySend(call.id, now_));
    const auto effects = scheduler_.ended(call.id, AttemptOutcome::NotConnected, true, now_);
    const auto *again = only<Send>(effects);
    ASSERT_NE(again, nullptr);
    EXPECT_EQ(again->endpoint, EndpointId("b"));
}

} // namespace LaburnumChute::Dispatch
