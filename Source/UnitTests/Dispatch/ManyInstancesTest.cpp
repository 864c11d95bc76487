#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr const char *ModelName = "model";
constexpr milliseconds Step{5};
constexpr milliseconds ReportInterval{250};
/// Neighbours that hear an instance in one round.
constexpr std::size_t Fanout = 16;
constexpr milliseconds Floor{25};
constexpr milliseconds WarmUp{2000};
constexpr milliseconds Played{4000};
constexpr double TokensPerMillisecond = 40;
constexpr std::int64_t SharedTokens = 13000;
constexpr std::int64_t OwnTokens = 3700;
constexpr std::int64_t ShortTokens = 380;
constexpr std::int64_t MemoryTokens = 300000;
constexpr milliseconds LongObjective{1200};
constexpr milliseconds ShortObjective{800};
constexpr milliseconds PlainObjective{400};
constexpr milliseconds LongHold{600};
constexpr milliseconds ShortHold{300};

struct Load
{
    /// Calls of about this length to a service that is no engine; zero: prompts for engines.
    milliseconds plainCall{0};
    int engines = 24;
    int slots = 16;
    /// Requests a second for each engine.
    double longPerEngine = 1.5;
    double shortPerEngine = 20;
    /// 0: long prompts share nothing.
    int sharedParts = 40;
    /// Part of an engine's time that reading gets while it makes answers.
    double readShare = 1;
};

struct Job
{
    std::size_t instance = 0;
    CallId call = 0;
};
struct Engine
{
    std::deque<Job> waiting;
    std::deque<Job> prompts;
    std::optional<Job> reading;
    Time readingUntil{};
    std::map<CallId, std::pair<Job, Time>> answering;
    PartCache memory;
    int served = 0;

    std::size_t running() const
    {
        return prompts.size() + (reading ? 1 : 0) + answering.size();
    }
};
struct Caller
{
    CallFacts facts;
    bool isLong = false;
    EndpointId sentTo;
    std::optional<Time> firstEventAt;
    bool rejected = false;
};

/// The load of one region before the same engines, taken by any number of instances that tell each
/// other of it as they do over the network: late, and to a few neighbours at a time.
class RegionPlay
{
public:
    struct Outcome
    {
        double asked = 0;
        double inTime = 0;
        double rejected = 0;
        double longSent = 0;
        double sharedRead = 0;
        double sharedCopied = 0;
        double busiest = 0;
        double mean = 0;
    };

    RegionPlay(Load load, std::size_t instances)
        : load_(load)
    {
        Catalog::Service model;
        model.name = ServiceName(ModelName);
        if (load.plainCall == milliseconds(0)) {
            model.engine = Catalog::EngineTraits{load.slots, MemoryTokens, true};
        }
        std::vector<Catalog::ListedEndpoint> listed;
        for (int index = 0; index < load.engines; ++index) {
            Catalog::ListedEndpoint engine;
            engine.record.id = EndpointId("engine-" + std::to_string(index));
            engine.record.service = model.name;
            engine.record.address = engine.record.id.text() + ":80";
            engine.record.slots = load.slots;
            listed.push_back(engine);
            engines_[engine.record.id].memory.setCapacity(MemoryTokens * 7 / 10);
        }
        for (std::size_t index = 0; index < instances; ++index) {
            ids_.emplace_back("instance-" + std::to_string(index));
            reportAt_.push_back(now_ + ReportInterval * (index + 1) / instances);
        }
        for (std::size_t index = 0; index < instances; ++index) {
            schedulers_.push_back(std::make_unique<Scheduler>(
                DispatchOptions(), ids_[index], RegionName("home"), index + 1, Time()));
            schedulers_.back()->setServices({{model.name, model}}, now_);
            schedulers_.back()->setEndpoints(listed, {}, now_);
            schedulers_.back()->setFleet(ids_, instances, {});
        }
        // Callers choose instances unevenly: the busiest is chosen four times as often as the
        // least busy.
        std::vector<double> weights;
        for (std::size_t index = 0; index < instances; ++index) {
            weights.push_back(1
                              + 3.0 * static_cast<double>(index)
                                    / static_cast<double>(std::max<std::size_t>(1, instances)));
        }
        chooseInstance_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    Outcome play()
    {
        const auto start = now_;
        while (now_ - start < WarmUp + Played + milliseconds(1500)) {
            arrivals(now_ - start < WarmUp + Played);
            now_ += Step;
            counting_ = now_ - start > WarmUp && now_ - start < WarmUp + Played;
            for (auto &[id, engine] : engines_) {
                advance(engine);
            }
            report();
            for (std::size_t index = 0; index < schedulers_.size(); ++index) {
                take(index, schedulers_[index]->tick(now_));
            }
            deliverNotices();
        }
        return count(start + WarmUp, start + WarmUp + Played);
    }

private:
    void arrivals(bool more)
    {
        if (!more) {
            return;
        }
        const double seconds = Common::toSeconds(Step) * load_.engines;
        std::poisson_distribution<int> longs(load_.longPerEngine * seconds);
        std::poisson_distribution<int> shorts(load_.shortPerEngine * seconds);
        for (int left = longs(random_); left > 0; --left) {
            arrive(true);
        }
        for (int left = shorts(random_); left > 0; --left) {
            arrive(false);
        }
    }

    void arrive(bool isLong)
    {
        CallFacts call;
        call.id = nextId_++;
        call.service = ServiceName(ModelName);
        call.kind = RequestKind::Stream;
        call.arrivedAt = now_;
        call.objectiveAt = now_ + (isLong ? LongObjective : ShortObjective);
        if (load_.plainCall > milliseconds(0)) {
            call.kind = RequestKind::Idempotent;
            call.objectiveAt = now_ + PlainObjective;
        }
        call.deadline = now_ + seconds(8);
        call.priority = isLong ? 1 : 0;
        call.promptTokens = isLong ? SharedTokens + OwnTokens : ShortTokens;
        if (isLong && load_.sharedParts == 0) {
            call.promptTokens = OwnTokens;
        } else if (isLong) {
            std::uniform_int_distribution<std::uint64_t> part(
                1, static_cast<std::uint64_t>(load_.sharedParts));
            call.parts = {{part(random_), SharedTokens}, {1000000 + call.id, OwnTokens}};
        }
        call.fingerprint = call.id;
        callers_[call.id] = {call, isLong, EndpointId(), std::nullopt, false};
        const auto instance = chooseInstance_(random_);
        take(instance, schedulers_[instance]->submit(call, now_));
    }

    void take(std::size_t instance, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                auto &engine = engines_.at(send->endpoint);
                if (send->copyCacheFrom && callers_.at(send->call).isLong) {
                    copied_.insert(send->call);
                    engine.memory.use(callers_.at(send->call).facts.parts.front());
                }
                engine.waiting.push_back({instance, send->call});
                ++engine.served;
                callers_.at(send->call).sentTo = send->endpoint;
            } else if (const auto *reject = std::get_if<Reject>(&effect)) {
                callers_.at(reject->call).rejected = true;
            }
        }
    }

    /// Places of a plain endpoint are freed and filled within a step.
    void advancePlain(Engine &engine)
    {
        std::vector<std::pair<Job, Time>> over;
        std::erase_if(engine.answering, [&](const auto &entry) {
            if (entry.second.second <= now_) {
                over.push_back(entry.second);
            }
            return entry.second.second <= now_;
        });
        for (const auto &[job, at] : over) {
            if (!engine.waiting.empty()) {
                beginPlain(engine, at);
            }
            auto &caller = callers_.at(job.call);
            caller.firstEventAt = at;
            auto &scheduler = *schedulers_[job.instance];
            scheduler.answering(job.call, now_);
            scheduler.loadSeen(caller.sentTo, loadOf(engine), now_);
            take(job.instance, scheduler.ended(job.call, AttemptOutcome::Completed, false, now_));
        }
        while (!engine.waiting.empty()
               && engine.running() < static_cast<std::size_t>(load_.slots)) {
            beginPlain(engine, now_);
        }
    }

    void beginPlain(Engine &engine, Time at)
    {
        const auto job = engine.waiting.front();
        engine.waiting.pop_front();
        const double mean = Common::toSeconds(load_.plainCall);
        std::exponential_distribution<double> drawn(1 / mean);
        const std::chrono::duration<double> time(drawn(random_));
        engine.answering[job.call] = {job, at + std::chrono::duration_cast<Duration>(time)};
    }

    Dialect::LoadSample loadOf(const Engine &engine) const
    {
        return {static_cast<int>(engine.running()), static_cast<int>(engine.waiting.size()),
                load_.slots};
    }

    void advance(Engine &engine)
    {
        if (load_.plainCall > milliseconds(0)) {
            advancePlain(engine);
            return;
        }
        while (!engine.waiting.empty()
               && engine.running() < static_cast<std::size_t>(load_.slots)) {
            engine.prompts.push_back(engine.waiting.front());
            engine.waiting.pop_front();
        }
        while (engine.readingUntil <= now_ && (engine.reading || !engine.prompts.empty())) {
            finishReading(engine);
            if (engine.prompts.empty()) {
                break;
            }
            beginReading(engine);
        }
        std::vector<Job> over;
        std::erase_if(engine.answering, [&](const auto &entry) {
            if (entry.second.second <= now_) {
                over.push_back(entry.second.first);
            }
            return entry.second.second <= now_;
        });
        for (const auto &job : over) {
            take(job.instance, schedulers_[job.instance]->ended(job.call, AttemptOutcome::Completed,
                                                                false, now_));
        }
    }

    void beginReading(Engine &engine)
    {
        engine.reading = engine.prompts.front();
        engine.prompts.pop_front();
        const auto &caller = callers_.at(engine.reading->call);
        const auto held = engine.memory.cachedTokens(caller.facts.parts);
        const bool shares = !caller.facts.parts.empty();
        if (shares && counting_) {
            ++longRead_;
            const bool again = readBefore_.count(caller.facts.parts.front().id) > 0;
            sharedRead_ += held == 0 && again ? 1 : 0;
        }
        if (shares) {
            readBefore_.insert(caller.facts.parts.front().id);
        }
        engine.memory.use(caller.facts.parts);
        const auto tokens = static_cast<double>(caller.facts.promptTokens - held);
        const double share = engine.answering.empty() ? 1 : load_.readShare;
        const std::chrono::duration<double, std::milli> time(tokens / TokensPerMillisecond / share);
        engine.readingUntil =
            std::max(engine.readingUntil, now_ - Step) + std::chrono::duration_cast<Duration>(time);
    }

    void finishReading(Engine &engine)
    {
        if (!engine.reading) {
            return;
        }
        const auto job = *std::exchange(engine.reading, std::nullopt);
        auto &caller = callers_.at(job.call);
        caller.firstEventAt = engine.readingUntil + Floor;
        const auto until = *caller.firstEventAt + (caller.isLong ? LongHold : ShortHold);
        engine.answering[job.call] = {job, until};
        schedulers_[job.instance]->answering(job.call, std::max(now_, *caller.firstEventAt));
        schedulers_[job.instance]->loadSeen(caller.sentTo, loadOf(engine), now_);
    }

    void report()
    {
        for (std::size_t from = 0; from < schedulers_.size(); ++from) {
            if (now_ < reportAt_[from]) {
                continue;
            }
            reportAt_[from] += ReportInterval;
            const auto share = schedulers_[from]->regionLoadReport(now_);
            std::vector<std::size_t> receivers;
            for (std::size_t to = 0; to < schedulers_.size(); ++to) {
                if (to != from) {
                    receivers.push_back(to);
                }
            }
            std::shuffle(receivers.begin(), receivers.end(), random_);
            receivers.resize(std::min(receivers.size(), Fanout));
            for (const auto to : receivers) {
                take(to, schedulers_[to]->setRegionLoadReport(ids_[from], share, now_));
            }
        }
    }

    void deliverNotices()
    {
        for (std::size_t from = 0; from < schedulers_.size(); ++from) {
            const auto notices = schedulers_[from]->takeNotices();
            for (std::size_t to = 0; to < schedulers_.size() && !notices.prompts.empty(); ++to) {
                if (to != from) {
                    schedulers_[to]->learn(notices, now_);
                }
            }
        }
    }

    Outcome count(Time from, Time until) const
    {
        Outcome outcome;
        for (const auto &[id, caller] : callers_) {
            const auto &facts = caller.facts;
            if (facts.arrivedAt < from || facts.arrivedAt >= until) {
                continue;
            }
            ++outcome.asked;
            outcome.inTime += caller.firstEventAt && *caller.firstEventAt <= facts.objectiveAt;
            outcome.rejected += caller.rejected ? 1 : 0;
            outcome.sharedCopied += static_cast<double>(copied_.count(id));
        }
        outcome.longSent = longRead_;
        outcome.sharedRead = sharedRead_;
        for (const auto &[id, engine] : engines_) {
            outcome.busiest = std::max<double>(outcome.busiest, engine.served);
            outcome.mean += static_cast<double>(engine.served) / load_.engines;
        }
        return outcome;
    }

    Load load_;
    Time now_ = Time(seconds(1000));
    std::vector<Time> reportAt_;
    CallId nextId_ = 1;
    std::mt19937 random_{5};
    std::discrete_distribution<std::size_t> chooseInstance_;
    std::vector<InstanceId> ids_;
    std::vector<std::unique_ptr<Scheduler>> schedulers_;
    std::map<EndpointId, Engine> engines_;
    std::map<CallId, Caller> callers_;
    std::set<CallId> copied_;
    std::set<std::uint64_t> readBefore_;
    bool counting_ = false;
    double longRead_ = 0;
    double sharedRead_ = 0;
};

/// What many instances may lose beside one that knows everything.
constexpr double Loss = 0.03;
constexpr std::size_t InstanceCounts[] = {1, 4, 12, 40, 120};

void expectLikeOne(Load load)
{
    const auto one = RegionPlay(load, 1).play();
    for (const auto instances : InstanceCounts) {
        const auto many = RegionPlay(load, instances).play();
        EXPECT_GE(many.inTime / many.asked, one.inTime / one.asked - Loss) << instances;
        EXPECT_LE(many.rejected / many.asked, one.rejected / one.asked + Loss) << instances;
        if (load.longPerEngine > 0) {
            EXPECT_LE(many.sharedRead / many.longSent, one.sharedRead / one.longSent + Loss)
                << instances;
        }
    }
}

/// Requests as a multiple of what can be served.
constexpr double Overload = 1.4;

Load longPromptsBeyondTheCapacity()
{
    Load load;
    load.sharedParts = 0;
    load.readShare = 0.33;
    load.shortPerEngine = 0;
    load.longPerEngine =
        Overload * load.readShare * TokensPerMillisecond * 1000 / static_cast<double>(OwnTokens);
    return load;
}

void expectBusyEngines(Load load, double capacity)
{
    for (const auto instances : InstanceCounts) {
        const auto many = RegionPlay(load, instances).play();
        EXPECT_GE(many.inTime, 0.85 * capacity) << instances;
    }
}

} // namespace

// Places of engines that are divided among instances are too few for each of them: requests are
// turned away, and parts of prompts copied and read again, before engines that are half empty.
TEST(ManyInstancesTest, HalfOfThePlacesServeAsManyAsOneInstanceWould)
{
    for (const int slots : {8, 16, 64}) {
        Load load;
        load.slots = slots;
        load.shortPerEngine = 0.5 * slots / 0.35;
        load.shortPerEngine = std::min(load.shortPerEngine, 40.0);
        load.longPerEngine = slots < 16 ? 1.0 : 1.5;
        expectLikeOne(load);
    }
}

// Near the capacity each instance waits for places that others fill and free.
TEST(ManyInstancesTest, NearTheCapacityAsManyAreServedAsByOneInstance)
{
    Load load;
    load.shortPerEngine = 0.75 * load.slots / 0.4;
    load.longPerEngine = 2;
    expectLikeOne(load);
}

// Beyond the capacity the places are kept busy with what will be in time.
TEST(ManyInstancesTest, BeyondTheCapacityThePlacesAreKeptBusy)
{
    Load load;
    load.longPerEngine = 0;
    const auto hold = std::chrono::duration<double>(ShortHold + Floor).count() + 0.0095;
    const double perEngine = load.slots / hold;
    load.shortPerEngine = Overload * perEngine;
    expectBusyEngines(load, perEngine * load.engines * Common::toSeconds(Played));
}

// Engines that make answers read at a third of the speed that they have alone, and no instance sees
// many of their answers. What is let in at the speed of idle engines comes late.
TEST(ManyInstancesTest, BeyondTheCapacityLongPromptsThatAreLetInAreInTime)
{
    const auto load = longPromptsBeyondTheCapacity();
    for (const auto instances : InstanceCounts) {
        const auto many = RegionPlay(load, instances).play();
        EXPECT_LE(many.asked - many.inTime - many.rejected, Loss * many.asked) << instances;
    }
}

// A hundred instances share a few places of quick calls. What they tell each other of these is old
// when it comes, and each has so few calls that its own say nothing.
TEST(ManyInstancesTest, PlacesOfAPlainServiceServeAsManyAsOneInstanceWould)
{
    for (const double use : {0.6, 0.85}) {
        Load load;
        load.plainCall = milliseconds(30);
        load.engines = 3;
        load.slots = 6;
        load.longPerEngine = 0;
        load.shortPerEngine = use * load.slots / Common::toSeconds(load.plainCall);
        expectLikeOne(load);
    }
}

TEST(ManyInstancesTest, BeyondTheCapacityPlacesOfAPlainServiceAreKeptBusy)
{
    Load load;
    load.plainCall = milliseconds(30);
    load.engines = 3;
    load.slots = 6;
    load.longPerEngine = 0;
    const double perEndpoint = load.slots / Common::toSeconds(load.plainCall);
    load.shortPerEngine = Overload * perEndpoint;
    expectBusyEngines(load, perEndpoint * load.engines * Common::toSeconds(Played));
}

} // namespace LaburnumChute::Dispatch
