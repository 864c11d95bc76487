#include "Support.h"

#include <algorithm>
#include <map>

namespace LaburnumChute::Dispatch {

namespace {

constexpr int ManySlots = 64;

} // namespace

/// Engines of one region that already generate answers for other instances' requests.
class GenerationTest : public SchedulerTest
{
protected:
    void setOthersInFlight(const std::vector<std::pair<std::string, std::uint16_t>> &running)
    {
        RegionLoadReport loadReport;
        for (const auto &[id, count] : running) {
            loadReport.uses.push_back({shortId(EndpointId(id)), count});
        }
        scheduler_.setRegionLoadReport(InstanceId("two"), loadReport, now_);
    }

    /// Lets the engine generate an answer of ten events with the given pause between them.
    void generateAnswer(const char *engine, milliseconds pauseBetween)
    {
        constexpr int Events = 10;
        auto call = facts(Model, RequestKind::Stream);
        call.promptTokens = 300;
        call.outputTokens = 60;
        const auto *other = std::string(engine) == "a" ? "b" : "a";
        scheduler_.setEndpoints({endpoint(engine, Model, ManySlots)}, {}, now_);
        const auto effects = scheduler_.submit(call, now_);
        ASSERT_NE(only<Send>(effects), nullptr);
        pass(milliseconds(25));
        scheduler_.answering(call.id, now_);
        for (int event = 1; event < Events; ++event) {
            pass(pauseBetween);
            scheduler_.progressed(call.id, 1, pauseBetween, now_);
        }
        scheduler_.ended(call.id, AttemptOutcome::Completed, false, now_);
        scheduler_.setEndpoints(
            {endpoint(engine, Model, ManySlots), endpoint(other, Model, ManySlots)}, {}, now_);
    }
};

// Guards against copying or prefilling a part again although the engine that has it cached runs
// only a few requests and has many free slots.
TEST_F(GenerationTest, FewRequestsDoNotMoveAPromptAwayFromItsCachedPart)
{
    setEndpoints({endpoint("a", Model, ManySlots), endpoint("b", Model, ManySlots)});
    RegionLoadReport loadReport;
    loadReport.uses = {{shortId(EndpointId("a")), 8}};
    loadReport.placements = {{shortId(EndpointId("a")), 1, SharedTokens}};
    scheduler_.setRegionLoadReport(InstanceId("two"), loadReport, now_);
    auto call = longCall(1);
    call.objectiveAt = now_ + milliseconds(1000);
    EXPECT_EQ(only<Send>(scheduler_.submit(call, now_))->endpoint, EndpointId("a"));
}

// Guards against choosing engines by their number of requests alone: one engine has fewer than the
// others, so all long prompts would go there and be late while the others have nothing to prefill.
TEST_F(GenerationTest, LongPromptsDoNotQueueAtTheEngineWithTheFewestRequests)
{
    setEndpoints({endpoint("a", Model, ManySlots), endpoint("b", Model, ManySlots),
                  endpoint("c", Model, ManySlots), endpoint("d", Model, ManySlots)});
    setOthersInFlight({{"a", 10}, {"b", 24}, {"c", 24}, {"d", 24}});
    struct Prefill
    {
        Time until;
        CallId call;
    };
    std::vector<Prefill> prefills;
    std::map<CallId, Time> arrivedAt;
    constexpr milliseconds ArrivalInterval{40};
    constexpr milliseconds Step{5};
    constexpr milliseconds Objective{800};
    constexpr int Arrivals = 50;
    Duration longest{0};
    const auto apply = [&](const Effects &effects) {
        for (const auto &effect : effects) {
            const auto *send = std::get_if<Send>(&effect);
            ASSERT_NE(send, nullptr);
            const auto until = now_ + send->expected;
            longest = std::max(longest, until - arrivedAt.at(send->call));
            prefills.push_back({until, send->call});
        }
    };
    int arrivals = 0;
    for (Duration time{0}; arrivals < Arrivals || !prefills.empty(); time += Step) {
        if (arrivals < Arrivals && time >= arrivals * ArrivalInterval) {
            auto call = facts(Model, RequestKind::Stream);
            call.promptTokens = OwnTokens;
            call.objectiveAt = now_ + Objective;
            call.deadline = now_ + seconds(4);
            arrivedAt[call.id] = now_;
            ++arrivals;
            apply(scheduler_.submit(call, now_));
        }
        pass(Step);
        std::vector<CallId> finished;
        std::erase_if(prefills, [&](const Prefill &each) {
            if (each.until <= now_) {
                finished.push_back(each.call);
            }
            return each.until <= now_;
        });
        for (const auto id : finished) {
            scheduler_.answering(id, now_);
            apply(scheduler_.ended(id, AttemptOutcome::Completed, false, now_));
        }
        apply(scheduler_.tick(now_));
    }
    EXPECT_EQ(arrivedAt.size(), static_cast<std::size_t>(Arrivals));
    EXPECT_LE(longest, Objective / 2);
}

// An engine that generates tokens for others prefills more slowly, also when part of the prompt is
// already prefilled.
TEST_F(GenerationTest, PrefillGetsAFractionOfTheEngine)
{
    const auto expectedBehindALongPrompt = [this](double prefillFraction) {
        DispatchOptions options;
        options.prefillFraction = prefillFraction;
        Scheduler scheduler(options, InstanceId("one"), RegionName("home"), 7, Time());
        Catalog::Service model;
        model.name = ServiceName(Model);
        model.engine = Catalog::EngineTraits{ManySlots, 300000, true};
        scheduler.setServices({{model.name, model}}, now_);
        scheduler.setEndpoints({endpoint("a", Model, ManySlots)}, {}, now_);
        scheduler.learn({InstanceId("two"), {{shortId(EndpointId("a")), 16000, {}}}}, now_);
        scheduler.learn({InstanceId("two"), {{shortId(EndpointId("a")), 1, {}}}},
                        now_ + milliseconds(100));
        auto call = facts(Model, RequestKind::Stream);
        call.objectiveAt = now_ + seconds(8);
        const auto effects = scheduler.submit(call, now_ + milliseconds(100));
        return only<Send>(effects)->expected;
    };
    // 400 ms of prefill, of which 100 ms have passed.
    const auto more = expectedBehindALongPrompt(0.5) - expectedBehindALongPrompt(1);
    EXPECT_NEAR(std::chrono::duration<double>(more).count(), 0.4, 0.001);
}

// Guards against sending long answers to an engine that is busy with prefill: its first event would
// come a few milliseconds earlier, but the last one after the deadline.
TEST_F(GenerationTest, LongAnswersAreMadeWhereEventsComeFast)
{
    generateAnswer("a", milliseconds(25));
    generateAnswer("b", milliseconds(140));
    // The fast engine has more requests.
    setOthersInFlight({{"a", 12}, {"b", 4}});
    auto call = facts(Model, RequestKind::Stream);
    call.promptTokens = 300;
    call.outputTokens = 600;
    call.deadline = now_ + seconds(12);
    EXPECT_EQ(only<Send>(scheduler_.submit(call, now_))->endpoint, EndpointId("a"));
}

// An earlier pace does not show how fast an engine is now: without a running stream it is assumed
// to be as fast as the fastest one.
TEST_F(GenerationTest, OldPaceDoesNotCount)
{
    generateAnswer("a", milliseconds(25));
    generateAnswer("b", milliseconds(140));
    setOthersInFlight({{"a", 12}, {"b", 4}});
    pass(seconds(2));
    auto call = facts(Model, RequestKind::Stream);
    call.promptTokens = 300;
    call.outputTokens = 600;
    call.deadline = now_ + seconds(12);
    EXPECT_EQ(only<Send>(scheduler_.submit(call, now_))->endpoint, EndpointId("b"));
}

} // namespace LaburnumChute::Dispatch
