#include "Support.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Engines with large KV caches. The prefill queue of "a" is long, so that what only it has cached
/// is copied from it.
class TransferFailuresTest : public SchedulerTest
{
protected:
    TransferFailuresTest()
    {
        Catalog::Service model;
        model.name = ServiceName(Model);
        model.engine = Catalog::EngineTraits{8, 300000, true, 327680, 280e9};
        scheduler_.setServices({{model.name, model}}, now_);
        setEndpoints({endpoint("a", Model), endpoint("c", Model)});
        hold("a", 1);
    }

    void hold(const char *id, std::uint64_t part)
    {
        scheduler_.learnCaches({{shortId(EndpointId(id)), part, SharedTokens}});
        scheduler_.learn({InstanceId("two"), {{shortId(EndpointId(id)), 60000, {}}}}, now_);
    }

    Send send(std::uint64_t part)
    {
        const auto effects = scheduler_.submit(longCall(part), now_);
        const auto *send = only<Send>(effects);
        return send == nullptr ? Send() : *send;
    }

    EndpointId sourceOf(const Send &send)
    {
        return send.copy ? send.copy->source : EndpointId();
    }

    double ratio()
    {
        return scheduler_.dump(now_)["transfers"]["paths"][0]["factor"];
    }

    std::size_t transfers()
    {
        return scheduler_.dump(now_)["transfers"]["in_progress"].size();
    }
};

} // namespace

// Guards against taking the first holder by id, whose link is busy, and against copies where
// prefilling again is sooner.
TEST_F(TransferFailuresTest, HolderWithAFreeLinkIsChosen)
{
    std::vector<Catalog::ListedEndpoint> engines = {endpoint("a", Model), endpoint("c", Model),
                                                    endpoint("d", Model), endpoint("e", Model)};
    setEndpoints(engines);
    for (std::uint64_t part = 1; part <= 4; ++part) {
        hold("a", part);
    }
    EXPECT_EQ(sourceOf(send(1)), EndpointId("a"));
    EXPECT_EQ(sourceOf(send(2)), EndpointId("a"));
    const auto prefilled = send(3);
    EXPECT_TRUE(prefilled.prefillsSooner);
    EXPECT_FALSE(prefilled.copyCacheFrom);
    engines.push_back(endpoint("b", Model));
    engines.push_back(endpoint("f", Model));
    setEndpoints(engines);
    hold("b", 4);
    EXPECT_EQ(sourceOf(send(4)), EndpointId("b"));
}

TEST_F(TransferFailuresTest, SourceThatIsEjectedIsNotChosen)
{
    pass(seconds(3));
    const auto first = send(1);
    ASSERT_EQ(first.endpoint, EndpointId("a"));
    scheduler_.ended(first.call, AttemptOutcome::Refused, false, now_);
    hold("a", 1);
    EXPECT_FALSE(send(1).copyCacheFrom);
}

// Guards against taking the time of a copy from a source that has gone for that of a transfer.
TEST_F(TransferFailuresTest, SourceThatLeftGivesNoSample)
{
    for (const bool leaves : {true, false}) {
        const auto copied = send(1);
        ASSERT_EQ(sourceOf(copied), EndpointId("a"));
        if (leaves) {
            setEndpoints({endpoint("c", Model)});
        }
        pass(milliseconds(1500));
        scheduler_.answering(copied.call, now_);
        scheduler_.ended(copied.call, AttemptOutcome::Completed, false, now_);
        EXPECT_EQ(ratio() > 1, !leaves);
        setEndpoints({endpoint("a", Model), endpoint("d", Model)});
        hold("a", 1);
    }
}

TEST_F(TransferFailuresTest, TransfersToATargetThatRestartedAreDiscarded)
{
    const auto copied = send(1);
    ASSERT_EQ(copied.endpoint, EndpointId("c"));
    EXPECT_EQ(transfers(), 1U);
    auto restarted = endpoint("c", Model);
    restarted.record.startedAt = 7;
    setEndpoints({endpoint("a", Model), restarted});
    EXPECT_EQ(transfers(), 0U);
}

// The source has evicted the part, so the engine prefills it. Guards against copying from that
// source again and again.
TEST_F(TransferFailuresTest, CopyThatBroughtNothingInvalidatesTheRecord)
{
    const auto copied = send(1);
    ASSERT_EQ(sourceOf(copied), EndpointId("a"));
    pass(milliseconds(450));
    scheduler_.answering(copied.call, now_);
    scheduler_.ended(copied.call, AttemptOutcome::Completed, false, now_);
    setEndpoints({endpoint("a", Model), endpoint("d", Model)});
    EXPECT_FALSE(send(1).copyCacheFrom);
}

// Guards against ignoring other instances' transfers. If their notice is lost, the answer that took
// longer raises the ratio, see SourceThatLeftGivesNoSample.
TEST_F(TransferFailuresTest, NoticedTransferReservesTheLinks)
{
    setEndpoints({endpoint("a", Model), endpoint("c", Model), endpoint("d", Model)});
    PromptNotice notice{shortId(EndpointId("c")), 0, {}};
    notice.source = shortId(EndpointId("a"));
    notice.copiedTokens = SharedTokens;
    scheduler_.learn({InstanceId("two"), {notice}}, now_);
    const auto copied = send(1);
    ASSERT_EQ(sourceOf(copied), EndpointId("a"));
    EXPECT_GT(copied.copy->wait, milliseconds(100));
}

TEST_F(TransferFailuresTest, TransferThatHangsEndsWithItsAttempt)
{
    const auto copied = send(1);
    ASSERT_EQ(transfers(), 1U);
    scheduler_.ended(copied.call, AttemptOutcome::Broken, false, now_);
    EXPECT_EQ(transfers(), 0U);
}

} // namespace LaburnumChute::Dispatch
