#include "Support.h"

#include <algorithm>
#include <map>

namespace LaburnumChute::Dispatch {

namespace {

constexpr int ManySlots = 64;

} // namespace

/// Engines of one region that make answers for other instances' requests already.
class GenerationTest : public SchedulerTest
{
protected:
    void setOthersThere(const std::vector<std::pair<std::string, std::uint16_t>> &running)
    {
        RegionLoadReport share;
        for (const auto &[id, count] : running) {
            share.uses.push_back({shortId(EndpointId(id)), count});
        }
        scheduler_.setRegionLoadReport(InstanceId("two"), share, now_);
    }

    /// Has the engine make an answer of ten events with the pause between them.
    void makeAnswer(const char *engine, milliseconds pauseBetween)
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

// A calm day: a few requests run on the engine that holds a prompt's large part, which has room for
// many more. Sent elsewhere, the part would be copied or read again for nothing.
TEST_F(GenerationTest, FewRequestsDoNotSendAPromptAwayFromItsPart)
{
    setEndpoints({endpoint("a", Model, ManySlots), endpoint("b", Model, ManySlots)});
    RegionLoadReport share;
    share.uses = {{shortId(EndpointId("a")), 8}};
    share.placements = {{shortId(EndpointId("a")), 1, SharedTokens}};
    scheduler_.setRegionLoadReport(InstanceId("two"), share, now_);
    auto call = longCall(1);
    call.objectiveAt = now_ + milliseconds(1000);
    EXPECT_EQ(only<Send>(scheduler_.submit(call, now_))->endpoint, EndpointId("a"));
}

// One engine has fewer requests than the others of a crowded region. If the number of requests
// decides, all long prompts go there, and each is late behind the others while the other engines
// have nothing to read.
TEST_F(GenerationTest, LongPromptsDoNotQueueAtTheEngineWithTheFewestRequests)
{
    setEndpoints({endpoint("a", Model, ManySlots), endpoint("b", Model, ManySlots),
                  endpoint("c", Model, ManySlots), endpoint("d", Model, ManySlots)});
    setOthersThere({{"a", 10}, {"b", 24}, {"c", 24}, {"d", 24}});
    struct Reading
    {
        Time until;
        CallId call;
    };
    std::vector<Reading> reading;
    std::map<CallId, Time> arrivedAt;
    constexpr milliseconds ArrivalInterval{40};
    constexpr milliseconds Step{5};
    constexpr milliseconds Objective{800};
    constexpr int Arrivals = 50;
    Duration longest{0};
    const auto take = [&](const Effects &effects) {
        for (const auto &effect : effects) {
            const auto *send = std::get_if<Send>(&effect);
            ASSERT_NE(send, nullptr);
            const auto until = now_ + send->expected;
            longest = std::max(longest, until - arrivedAt.at(send->call));
            reading.push_back({until, send->call});
        }
    };
    int arrivals = 0;
    for (Duration time{0}; arrivals < Arrivals || !reading.empty(); time += Step) {
        if (arrivals < Arrivals && time >= arrivals * ArrivalInterval) {
            auto call = facts(Model, RequestKind::Stream);
            call.promptTokens = OwnTokens;
            call.objectiveAt = now_ + Objective;
            call.deadline = now_ + seconds(4);
            arrivedAt[call.id] = now_;
            ++arrivals;
            take(scheduler_.submit(call, now_));
        }
        pass(Step);
        std::vector<CallId> over;
        std::erase_if(reading, [&](const Reading &each) {
            if (each.until <= now_) {
                over.push_back(each.call);
            }
            return each.until <= now_;
        });
        for (const auto id : over) {
            scheduler_.answering(id, now_);
            take(scheduler_.ended(id, AttemptOutcome::Completed, false, now_));
        }
        take(scheduler_.tick(now_));
    }
    EXPECT_EQ(arrivedAt.size(), static_cast<std::size_t>(Arrivals));
    EXPECT_LE(longest, Objective / 2);
}

// While an engine makes tokens for others it reads more slowly, also once part of the prompt is
// read.
TEST_F(GenerationTest, ReadingGetsAPartOfTheEngine)
{
    const auto expectedBehindALongPrompt = [this](double readShare) {
        DispatchOptions options;
        options.readShare = readShare;
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
    // 400 ms of reading, of which 100 ms have passed.
    const auto more = expectedBehindALongPrompt(0.5) - expectedBehindALongPrompt(1);
    EXPECT_NEAR(std::chrono::duration<double>(more).count(), 0.4, 0.001);
}

// An engine reads prompts all the time and makes the events of its answers slowly. The caller of a
// long answer gets its first event a few milliseconds sooner there, but would wait for the last one
// beyond its deadline.
TEST_F(GenerationTest, LongAnswersAreMadeWhereEventsComeFast)
{
    makeAnswer("a", milliseconds(25));
    makeAnswer("b", milliseconds(140));
    // The fast engine has more requests.
    setOthersThere({{"a", 12}, {"b", 4}});
    auto call = facts(Model, RequestKind::Stream);
    call.promptTokens = 300;
    call.outputTokens = 600;
    call.deadline = now_ + seconds(12);
    EXPECT_EQ(only<Send>(scheduler_.submit(call, now_))->endpoint, EndpointId("a"));
}

// What an engine did a while ago says nothing of how fast it is now: without a stream under way it
// is taken to be as fast as the fastest.
TEST_F(GenerationTest, OldPaceDoesNotCount)
{
    makeAnswer("a", milliseconds(25));
    makeAnswer("b", milliseconds(140));
    setOthersThere({{"a", 12}, {"b", 4}});
    pass(seconds(2));
    auto call = facts(Model, RequestKind::Stream);
    call.promptTokens = 300;
    call.outputTokens = 600;
    call.deadline = now_ + seconds(12);
    EXPECT_EQ(only<Send>(scheduler_.submit(call, now_))->endpoint, EndpointId("b"));
}

} // namespace LaburnumChute::Dispatch
