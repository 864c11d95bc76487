#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr const char *ModelName = "model";
constexpr int Engines = 4;
constexpr milliseconds Objective{800};
constexpr milliseconds Floor{25};
constexpr milliseconds Hold{500};
constexpr milliseconds Step{5};
constexpr milliseconds WarmUp{3000};
/// Requests that are counted at least: fewer say nothing about one in a hundred.
constexpr double Counted = 2000;
constexpr std::int64_t PromptTokens = 3000;

struct EngineKind
{
    /// Tokens of prompts that it reads in a millisecond.
    double rate;
    int slots;
};

/// Engines of any speed and size, none of whose figures is told to the scheduler, and requests at a
/// part of what they can read.
class EnginePlay
{
public:
    struct Outcome
    {
        double asked = 0;
        double inTime = 0;
        double rejected = 0;
        double rejectedAtOnce = 0;
    };

    explicit EnginePlay(EngineKind kind)
        : kind_(kind)
        , scheduler_(DispatchOptions(), InstanceId("one"), RegionName("home"), 7, Time())
    {
        Catalog::Service model;
        model.name = ServiceName(ModelName);
        model.engine = Catalog::EngineTraits{kind.slots, 300000, true};
        scheduler_.setServices({{model.name, model}}, now_);
        std::vector<Catalog::ListedEndpoint> listed;
        for (int index = 0; index < Engines; ++index) {
            Catalog::ListedEndpoint engine;
            engine.record.id = EndpointId("engine-" + std::to_string(index));
            engine.record.service = model.name;
            engine.record.address = engine.record.id.text() + ":80";
            engine.record.slots = kind.slots;
            listed.push_back(engine);
        }
        scheduler_.setEndpoints(listed, {}, now_);
    }

    /// @param load requests as a part of the capacity
    Outcome play(double load)
    {
        const auto start = now_;
        const auto played =
            milliseconds(static_cast<std::int64_t>(1000 * Counted / (load * capacity())));
        std::mt19937 random(5);
        std::exponential_distribution<double> gap(load * capacity());
        auto next = std::chrono::duration<double>(0);
        while (now_ - start < WarmUp + played + 2 * Objective) {
            while (start + std::chrono::duration_cast<Duration>(next) <= now_) {
                next += std::chrono::duration<double>(gap(random));
                arrive();
            }
            now_ += Step;
            for (auto &[id, engine] : engines_) {
                advance(engine);
            }
            take(scheduler_.tick(now_));
        }
        return count(start + WarmUp, start + WarmUp + played);
    }

private:
    struct Engine
    {
        std::deque<CallId> prompts;
        Time readingUntil{};
        std::map<CallId, Time> answering;
    };
    struct Caller
    {
        Time arrivedAt;
        std::optional<Time> firstEventAt;
        std::optional<Time> rejectedAt;
    };

    Duration readTime() const
    {
        const Common::Duration time = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(PromptTokens / kind_.rate));
        return time;
    }

    /// What the engines can read a second, bounded by the places that answers hold.
    double capacity() const
    {
        const double reading = 1 / std::chrono::duration<double>(readTime()).count();
        const auto occupied = std::chrono::duration<double>(readTime() + Hold).count();
        return Engines * std::min(reading, kind_.slots / occupied);
    }

    void take(const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                engines_[send->endpoint].prompts.push_back(send->call);
            } else if (const auto *reject = std::get_if<Reject>(&effect)) {
                callers_[reject->call].rejectedAt = now_;
            }
        }
    }

    void advance(Engine &engine)
    {
        while (!engine.prompts.empty() && engine.readingUntil <= now_) {
            const auto id = engine.prompts.front();
            auto &caller = callers_.at(id);
            if (reading_.insert(id).second) {
                engine.readingUntil = now_ + readTime();
                break;
            }
            engine.prompts.pop_front();
            caller.firstEventAt = now_ + Floor;
            engine.answering[id] = now_ + Floor + Hold;
            scheduler_.answering(id, now_ + Floor);
        }
        std::vector<CallId> over;
        for (const auto &[id, until] : engine.answering) {
            if (until <= now_) {
                over.push_back(id);
            }
        }
        for (const auto id : over) {
            engine.answering.erase(id);
            take(scheduler_.ended(id, AttemptOutcome::Completed, false, now_));
        }
    }

    void arrive()
    {
        CallFacts call;
        call.id = nextId_++;
        call.service = ServiceName(ModelName);
        call.kind = RequestKind::Stream;
        call.arrivedAt = now_;
        call.objectiveAt = now_ + Objective;
        call.deadline = now_ + seconds(8);
        call.promptTokens = PromptTokens;
        call.fingerprint = call.id;
        callers_[call.id].arrivedAt = now_;
        take(scheduler_.submit(call, now_));
    }

    Outcome count(Time from, Time until) const
    {
        Outcome outcome;
        for (const auto &[id, caller] : callers_) {
            if (caller.arrivedAt < from || caller.arrivedAt >= until) {
                continue;
            }
            ++outcome.asked;
            const bool inTime =
                caller.firstEventAt && *caller.firstEventAt - caller.arrivedAt <= Objective;
            outcome.inTime += inTime ? 1 : 0;
            outcome.rejected += caller.rejectedAt ? 1 : 0;
            const bool atOnce =
                caller.rejectedAt && *caller.rejectedAt - caller.arrivedAt <= Objective / 8;
            outcome.rejectedAtOnce += atOnce ? 1 : 0;
        }
        return outcome;
    }

    EngineKind kind_;
    Scheduler scheduler_;
    Time now_ = Time(seconds(1000));
    CallId nextId_ = 1;
    std::map<EndpointId, Engine> engines_;
    std::map<CallId, Caller> callers_;
    std::set<CallId> reading_;
};

constexpr EngineKind Kinds[] = {{20, 64}, {40, 64},  {120, 64}, {40, 8},
                                {40, 16}, {40, 256}, {120, 256}};
/// A prompt takes half of the objective there.
constexpr EngineKind VerySlow = {8, 64};

void expectNearlyAllInTime(EngineKind kind)
{
    const auto outcome = EnginePlay(kind).play(0.6);
    EXPECT_GE(outcome.inTime, 0.99 * outcome.asked) << kind.rate << ' ' << kind.slots;
}

} // namespace

// The engines of a new customer are several times as slow or as fast as those before, and have
// other numbers of slots. Thresholds that fit only some engines leave room unused or make callers
// late, though there is time for all.
TEST(UnlikeEnginesTest, NearlyAllAreInTimeBelowTheCapacity)
{
    for (const auto kind : Kinds) {
        expectNearlyAllInTime(kind);
    }
}

// The same with engines that read one prompt in half of the objective, so that nobody may wait for
// more than one other.
TEST(UnlikeEnginesTest, NearlyAllAreInTimeOnVerySlowEngines)
{
    expectNearlyAllInTime(VerySlow);
}

// More comes than the engines can read. They are kept busy with what will be in time, and the rest
// hears so while it can still go elsewhere.
TEST(UnlikeEnginesTest, EnginesAreKeptBusyWithWhatWillBeInTimeBeyondTheCapacity)
{
    constexpr double Load = 1.5;
    std::vector<EngineKind> kinds(std::begin(Kinds), std::end(Kinds));
    kinds.push_back(VerySlow);
    for (const auto kind : kinds) {
        const auto outcome = EnginePlay(kind).play(Load);
        EXPECT_GE(outcome.inTime, 0.85 * outcome.asked / Load) << kind.rate << ' ' << kind.slots;
        EXPECT_GE(outcome.rejectedAtOnce, 0.85 * outcome.rejected)
            << kind.rate << ' ' << kind.slots;
    }
}

} // namespace LaburnumChute::Dispatch
