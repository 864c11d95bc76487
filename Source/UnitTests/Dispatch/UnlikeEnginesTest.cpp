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
/// Minimum number of requests to count: fewer do not resolve one percent.
constexpr double MinRequests = 2000;
constexpr std::int64_t PromptTokens = 3000;

struct EngineKind
{
    /// Prompt tokens prefilled per millisecond.
    double rate;
    int slots;
};

/// Simulates engines of different speed and size that the scheduler does not know in advance, with
/// a request rate relative to their capacity.
class EngineSimulation
{
public:
    struct Outcome
    {
        double submitted = 0;
        double inTime = 0;
        double rejected = 0;
        double rejectedAtOnce = 0;
    };

    explicit EngineSimulation(EngineKind kind)
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

    /// @param load request rate as a fraction of the capacity
    Outcome simulate(double load)
    {
        const auto start = now_;
        const auto measured =
            milliseconds(static_cast<std::int64_t>(1000 * MinRequests / (load * capacity())));
        std::mt19937 random(5);
        std::exponential_distribution<double> gap(load * capacity());
        auto next = std::chrono::duration<double>(0);
        while (now_ - start < WarmUp + measured + 2 * Objective) {
            while (start + std::chrono::duration_cast<Duration>(next) <= now_) {
                next += std::chrono::duration<double>(gap(random));
                arrive();
            }
            now_ += Step;
            for (auto &[id, engine] : engines_) {
                advance(engine);
            }
            apply(scheduler_.tick(now_));
        }
        return count(start + WarmUp, start + WarmUp + measured);
    }

private:
    struct Engine
    {
        std::deque<CallId> prompts;
        Time prefillUntil{};
        std::map<CallId, Time> answering;
    };
    struct Caller
    {
        Time arrivedAt;
        std::optional<Time> firstEventAt;
        std::optional<Time> rejectedAt;
    };

    Duration prefillTime() const
    {
        const Common::Duration time = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(PromptTokens / kind_.rate));
        return time;
    }

    /// Requests per second that the engines can prefill, bounded by the slots that answers hold.
    double capacity() const
    {
        const double prefillsPerSecond = 1 / std::chrono::duration<double>(prefillTime()).count();
        const auto occupied = std::chrono::duration<double>(prefillTime() + Hold).count();
        return Engines * std::min(prefillsPerSecond, kind_.slots / occupied);
    }

    void apply(const Effects &effects)
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
        while (!engine.prompts.empty() && engine.prefillUntil <= now_) {
            const auto id = engine.prompts.front();
            auto &caller = callers_.at(id);
            if (prefilling_.insert(id).second) {
                engine.prefillUntil = now_ + prefillTime();
                break;
            }
            engine.prompts.pop_front();
            caller.firstEventAt = now_ + Floor;
            engine.answering[id] = now_ + Floor + Hold;
            scheduler_.answering(id, now_ + Floor);
        }
        std::vector<CallId> finished;
        for (const auto &[id, until] : engine.answering) {
            if (until <= now_) {
                finished.push_back(id);
            }
        }
        for (const auto id : finished) {
            engine.answering.erase(id);
            apply(scheduler_.ended(id, AttemptOutcome::Completed, false, now_));
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
        apply(scheduler_.submit(call, now_));
    }

    Outcome count(Time from, Time until) const
    {
        Outcome outcome;
        for (const auto &[id, caller] : callers_) {
            if (caller.arrivedAt < from || caller.arrivedAt >= until) {
                continue;
            }
            ++outcome.submitted;
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
    std::set<CallId> prefilling_;
};

constexpr EngineKind Kinds[] = {{20, 64}, {40, 64},  {120, 64}, {40, 8},
                                {40, 16}, {40, 256}, {120, 256}};
/// Prefill of a prompt takes half of the objective.
constexpr EngineKind VerySlow = {8, 64};

void expectNearlyAllInTime(EngineKind kind)
{
    const auto outcome = EngineSimulation(kind).simulate(0.6);
    EXPECT_GE(outcome.inTime, 0.99 * outcome.submitted) << kind.rate << ' ' << kind.slots;
}

} // namespace

// The engines are several times slower or faster than the default, with other numbers of slots.
// Guards against thresholds that fit only some engines: capacity would remain unused, or answers
// would be late although there is time for all.
TEST(UnlikeEnginesTest, NearlyAllAreInTimeBelowTheCapacity)
{
    for (const auto kind : Kinds) {
        expectNearlyAllInTime(kind);
    }
}

// The same with engines that take half of the objective to prefill one prompt, so that no request
// may wait for more than one other.
TEST(UnlikeEnginesTest, NearlyAllAreInTimeOnVerySlowEngines)
{
    expectNearlyAllInTime(VerySlow);
}

// More requests arrive than the engines can prefill. The engines are kept busy with requests that
// will be in time, and the rest is rejected early enough to be sent elsewhere.
TEST(UnlikeEnginesTest, EnginesAreKeptBusyWithWhatWillBeInTimeBeyondTheCapacity)
{
    constexpr double Load = 1.5;
    std::vector<EngineKind> kinds(std::begin(Kinds), std::end(Kinds));
    kinds.push_back(VerySlow);
    for (const auto kind : kinds) {
        const auto outcome = EngineSimulation(kind).simulate(Load);
        EXPECT_GE(outcome.inTime, 0.85 * outcome.submitted / Load)
            << kind.rate << ' ' << kind.slots;
        EXPECT_GE(outcome.rejectedAtOnce, 0.85 * outcome.rejected)
            << kind.rate << ' ' << kind.slots;
    }
}

} // namespace LaburnumChute::Dispatch
