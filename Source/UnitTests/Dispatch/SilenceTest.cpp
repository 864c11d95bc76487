#include <algorithm>
#include <map>

#include <gtest/gtest.h>

#include "Support.h"

namespace LaburnumChute::Dispatch {

namespace {

class SilenceTest : public SchedulerTest
{
protected:
    CallFacts stream()
    {
        auto result = facts(Model, RequestKind::Stream);
        result.repeatable = true;
        result.patience = milliseconds(3200);
        return result;
    }
    /// Submits the request and returns where it was sent.
    EndpointId send(const CallFacts &call)
    {
        const auto effects = scheduler_.submit(call, now_);
        const auto *sent = only<Send>(effects);
        return sent != nullptr ? sent->endpoint : EndpointId();
    }
    /// Ticks until an attempt is cancelled; the time that this took, or nothing.
    std::optional<Duration> cancelledAfter(Duration longest)
    {
        const auto start = now_;
        while (now_ - start < longest) {
            pass(milliseconds(20));
            if (!scheduler_.tick(now_).empty()) {
                return now_ - start;
            }
        }
        return std::nullopt;
    }
    bool ejected(const std::string &id)
    {
        for (const auto &one : scheduler_.dump(now_)["endpoints"]) {
            if (one["id"] == id) {
                return one["ejected"];
            }
        }
        return false;
    }
};

// Guards against a request that is taken off an endpoint which stands still for a while, and
// against one that waits for its whole time although another endpoint is there.
TEST_F(SilenceTest, PlainRequestIsReplacedWhileHalfOfItsTimeIsLeft)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    const auto call = facts(Plain);
    ASSERT_FALSE(send(call).empty());
    const auto after = cancelledAfter(seconds(8));
    ASSERT_TRUE(after);
    EXPECT_GT(*after, seconds(3));
    EXPECT_LT(*after, milliseconds(4100));
}

// Guards against a stream that is resumed elsewhere after each short pause of its endpoint.
TEST_F(SilenceTest, StreamIsReplacedBeforeItsCallerLeaves)
{
    setEndpoints({endpoint("a", Model), endpoint("b", Model)});
    const auto call = stream();
    ASSERT_FALSE(send(call).empty());
    pass(milliseconds(50));
    scheduler_.answering(call.id, now_);
    scheduler_.progressed(call.id, 1, milliseconds(20), now_);
    const auto after = cancelledAfter(seconds(8));
    ASSERT_TRUE(after);
    EXPECT_GT(*after, milliseconds(2000));
    EXPECT_LT(*after, call.patience);
}

// Guards against an answer that is cut off when nothing could take its place.
TEST_F(SilenceTest, NothingIsCancelledWithoutAReplacement)
{
    const auto expectKept = [this](const CallFacts &call) {
        ASSERT_FALSE(send(call).empty());
        EXPECT_FALSE(cancelledAfter(milliseconds(7800)));
        scheduler_.ended(call.id, AttemptOutcome::Completed, false, now_);
    };
    setEndpoints({endpoint("a", Plain)});
    expectKept(facts(Plain));
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain), endpoint("c", Model)});
    auto single = facts(Plain);
    single.maxRuns = 1;
    expectKept(single);
    expectKept(facts(Plain, RequestKind::AtMostOnce));
    expectKept(stream());
    Catalog::Bounds bounds;
    bounds.retrySlack = 0;
    bounds.retryRatio = 0;
    scheduler_.setBounds(bounds);
    expectKept(facts(Plain));
}

// Guards against taking a request off one silent endpoint to another.
TEST_F(SilenceTest, NothingIsCancelledWhileTheOthersAreSilentAsWell)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    EndpointId first = send(facts(Plain));
    EndpointId second = send(facts(Plain));
    ASSERT_NE(first, second);
    EXPECT_FALSE(cancelledAfter(milliseconds(7700)));
}

// Guards against requests that are sent to an endpoint that stands still while others answer.
TEST_F(SilenceTest, SilentEndpointIsAvoidedUntilItIsHeardAgain)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    const auto waiting = facts(Plain);
    const auto silent = send(waiting);
    pass(milliseconds(800));
    scheduler_.tick(now_);
    for (int count = 0; count < 5; ++count) {
        const auto call = facts(Plain);
        EXPECT_NE(send(call), silent);
        pass(milliseconds(60));
        scheduler_.ended(call.id, AttemptOutcome::Completed, false, now_);
    }
    scheduler_.answering(waiting.id, now_);
    scheduler_.ended(waiting.id, AttemptOutcome::Completed, false, now_);
    bool used = false;
    for (int count = 0; count < 20 && !used; ++count) {
        const auto call = facts(Plain);
        used = send(call) == silent;
        pass(milliseconds(60));
        scheduler_.ended(call.id, AttemptOutcome::Completed, false, now_);
    }
    EXPECT_TRUE(used);
}

// Guards against requests that are rejected because their only endpoint stands still.
TEST_F(SilenceTest, OnlyEndpointIsUsedThoughItIsSilent)
{
    setEndpoints({endpoint("a", Plain)});
    send(facts(Plain));
    pass(milliseconds(1500));
    scheduler_.tick(now_);
    EXPECT_EQ(send(facts(Plain)), EndpointId("a"));
}

// Guards against an endpoint that counts as slow or as failing after it has stood still.
TEST_F(SilenceTest, SilenceIsNotHeldAgainstTheEndpoint)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    std::vector<CallFacts> calls;
    for (int count = 0; count < 8; ++count) {
        calls.push_back(facts(Plain, RequestKind::AtMostOnce));
        send(calls.back());
    }
    for (int count = 0; count < 75; ++count) {
        pass(milliseconds(20));
        scheduler_.tick(now_);
    }
    // Some callers have less time than the silence lasts.
    for (int count = 0; count < 4; ++count) {
        scheduler_.ended(calls[count].id, AttemptOutcome::Silent, false, now_);
    }
    for (int count = 4; count < 8; ++count) {
        scheduler_.answering(calls[count].id, now_);
        scheduler_.ended(calls[count].id, AttemptOutcome::Completed, false, now_);
    }
    EXPECT_FALSE(ejected("a") || ejected("b"));
    for (const auto &one : scheduler_.dump(now_)["endpoints"]) {
        EXPECT_LT(one["slowness"], 1.1);
    }
}

// Guards against a stream whose events arrive and that is cancelled as its deadline comes near.
TEST_F(SilenceTest, StreamThatGoesOnIsNotCancelledNearItsDeadline)
{
    setEndpoints({endpoint("a", Model), endpoint("b", Model)});
    const auto call = stream();
    ASSERT_FALSE(send(call).empty());
    scheduler_.answering(call.id, now_);
    while (now_ + milliseconds(100) < call.deadline) {
        EXPECT_FALSE(cancelledAfter(milliseconds(100)));
        scheduler_.progressed(call.id, 1, milliseconds(100), now_);
    }
}

// Guards against an attempt that is cancelled as soon as it is sent, since little time is left.
TEST_F(SilenceTest, AttemptWithLittleTimeIsNotCancelledAtOnce)
{
    setEndpoints(
        {endpoint("a", Plain), endpoint("b", Plain), endpoint("c", Model), endpoint("d", Model)});
    auto hurried = facts(Plain);
    hurried.deadline = now_ + milliseconds(600);
    ASSERT_FALSE(send(hurried).empty());
    EXPECT_FALSE(cancelledAfter(milliseconds(580)));
    scheduler_.ended(hurried.id, AttemptOutcome::Completed, false, now_);
    // As a stream that another instance resumes here.
    auto resumed = stream();
    resumed.arrivedAt = now_ - seconds(5);
    resumed.forwarded = true;
    ASSERT_FALSE(send(resumed).empty());
    EXPECT_FALSE(cancelledAfter(milliseconds(600)));
}

// Guards against a large answer that is cancelled while it is being received.
TEST_F(SilenceTest, AnswerThatGoesOnIsNotCancelled)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    const auto call = facts(Plain);
    send(call);
    scheduler_.answering(call.id, now_);
    for (int count = 0; count < 70; ++count) {
        EXPECT_FALSE(cancelledAfter(milliseconds(100)));
        scheduler_.received(call.id, now_);
    }
}

// Guards against a stream that is cancelled since its caller does not read.
TEST_F(SilenceTest, AnswerThatItsCallerDoesNotReadIsNotCancelled)
{
    setEndpoints({endpoint("a", Model), endpoint("b", Model)});
    const auto call = stream();
    send(call);
    scheduler_.answering(call.id, now_);
    scheduler_.readingPaused(call.id, true, now_);
    EXPECT_FALSE(cancelledAfter(milliseconds(6000)));
    scheduler_.readingPaused(call.id, false, now_);
    EXPECT_FALSE(cancelledAfter(milliseconds(600)));
}

// Guards against an answer that is cut off since other requests took the place of its replacement
// between the decision and the cancel.
TEST_F(SilenceTest, CancelIsNotConfirmedOnceTheOtherEndpointIsFull)
{
    setEndpoints({endpoint("a", Model, 1), endpoint("b", Model, 1)});
    const auto call = stream();
    ASSERT_FALSE(send(call).empty());
    ASSERT_TRUE(cancelledAfter(seconds(8)));
    ASSERT_FALSE(send(facts(Model)).empty());
    EXPECT_FALSE(scheduler_.confirmCancel(call.id, now_));
    EXPECT_FALSE(cancelledAfter(milliseconds(500)));
}

// An endpoint is restarted: a connection is not made, and the request that probes it breaks. Guards
// against an endpoint that gets no further probe.
TEST_F(SilenceTest, EndpointIsProbedAgainAfterAProbeThatFailed)
{
    setEndpoints({endpoint("a", Plain)});
    const auto fail = [this](AttemptOutcome outcome) {
        const auto call = facts(Plain);
        ASSERT_FALSE(send(call).empty());
        scheduler_.ended(call.id, outcome, false, now_);
    };
    fail(AttemptOutcome::NotConnected);
    pass(milliseconds(300));
    fail(AttemptOutcome::Broken);
    pass(milliseconds(2100));
    EXPECT_FALSE(send(facts(Plain)).empty());
}

/// Callers of a service of eight endpoints, one of which has gone without closing its connections.
class GoneEndpointTest : public SilenceTest
{
protected:
    struct Caller
    {
        EndpointId endpoint;
        Time sentAt{};
        Time arrivedAt{};
    };

    void apply(const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *sent = std::get_if<Send>(&effect)) {
                callers_[sent->call].endpoint = sent->endpoint;
                callers_[sent->call].sentAt = now_;
                sentToGone_ += sent->endpoint == EndpointId("e0") ? 1 : 0;
            } else if (const auto *cancel = std::get_if<CancelAttempt>(&effect)) {
                if (scheduler_.confirmCancel(cancel->call, now_)) {
                    apply(scheduler_.ended(cancel->call, AttemptOutcome::Silent, true, now_));
                }
            } else {
                ++notServed_;
            }
        }
    }
    void arrive(const CallFacts &call)
    {
        callers_[call.id].arrivedAt = now_;
        apply(scheduler_.submit(call, now_));
    }
    void serve()
    {
        std::vector<CallId> done;
        for (const auto &[id, caller] : callers_) {
            const bool answers = !caller.endpoint.empty() && caller.endpoint != EndpointId("e0");
            if (answers && now_ - caller.sentAt >= milliseconds(60)) {
                done.push_back(id);
            }
        }
        for (const auto id : done) {
            slowest_ = std::max(slowest_, now_ - callers_[id].arrivedAt);
            callers_.erase(id);
            scheduler_.answering(id, now_);
            apply(scheduler_.ended(id, AttemptOutcome::Completed, false, now_));
        }
    }
    /// Forty callers a second for 30 s, then time for all of them to be served.
    template <typename Make>
    void play(const char *service, Make make)
    {
        std::vector<Catalog::ListedEndpoint> endpoints;
        for (int index = 0; index < 8; ++index) {
            endpoints.push_back(endpoint("e" + std::to_string(index), service));
        }
        setEndpoints(endpoints);
        for (int step = 0; step < 4000; ++step) {
            pass(milliseconds(10));
            if (step < 3000 && step % 5 < 2) {
                arrive(make());
            }
            serve();
            apply(scheduler_.tick(now_));
        }
    }

    std::map<CallId, Caller> callers_;
    int sentToGone_ = 0;
    int notServed_ = 0;
    Duration slowest_{0};
};

// Guards against requests that are lost, or that keep being sent, to an endpoint that is gone.
TEST_F(GoneEndpointTest, PlainRequestsAreReplacedAndTheEndpointIsLeftOut)
{
    play(Plain, [this] {
        auto call = facts(Plain);
        call.objectiveAt = now_ + milliseconds(500);
        return call;
    });
    EXPECT_EQ(notServed_, 0);
    EXPECT_TRUE(callers_.empty());
    EXPECT_LT(slowest_, seconds(5));
    EXPECT_LT(sentToGone_, 40);
}

// Guards against streams whose callers leave as their endpoint is gone.
TEST_F(GoneEndpointTest, StreamsAreReplacedBeforeTheirCallersLeave)
{
    static constexpr milliseconds Patience{2400};
    play(Model, [this] {
        auto call = stream();
        call.patience = Patience;
        call.objectiveAt = now_ + milliseconds(500);
        return call;
    });
    EXPECT_EQ(notServed_, 0);
    EXPECT_TRUE(callers_.empty());
    EXPECT_LT(slowest_, Patience);
    EXPECT_LT(sentToGone_, 40);
}

// Guards against an endpoint that is gone and keeps getting requests that have little time.
TEST_F(GoneEndpointTest, RequestsWithLittleTimeDoNotReturnToIt)
{
    setEndpoints({endpoint("e0", Plain), endpoint("e1", Plain)});
    int sent = 0;
    for (int step = 0; step < 1000; ++step) {
        pass(milliseconds(10));
        auto call = facts(Plain, RequestKind::AtMostOnce);
        call.deadline = now_ + milliseconds(900);
        if (step % 10 == 0) {
            arrive(call);
            ++sent;
        }
        serve();
        for (auto [id, caller] : std::map(callers_)) {
            if (now_ - caller.arrivedAt >= milliseconds(900)) {
                callers_.erase(id);
                scheduler_.withdraw(id, now_);
                apply(scheduler_.ended(id, AttemptOutcome::Silent, false, now_));
            }
        }
        apply(scheduler_.tick(now_));
    }
    EXPECT_LT(sentToGone_, sent / 5);
}

} // namespace

} // namespace LaburnumChute::Dispatch
