#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "Dispatch/Dispatch.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch::RegionLoad {

inline constexpr const char *ModelName = "model";
inline constexpr milliseconds Step{5};
inline constexpr milliseconds ReportInterval{250};
/// Number of peers that receive a load report.
inline constexpr std::size_t Fanout = 16;
inline constexpr milliseconds Floor{25};
inline constexpr milliseconds CopySetup{10};
inline constexpr milliseconds WarmUp{2000};
inline constexpr milliseconds Measured{4000};
inline constexpr double TokensPerMillisecond = 40;
inline constexpr std::int64_t SharedTokens = 13000;
inline constexpr std::int64_t OwnTokens = 3700;
inline constexpr std::int64_t ShortTokens = 380;
inline constexpr std::int64_t CacheTokens = 300000;
inline constexpr milliseconds LongObjective{1200};
inline constexpr milliseconds ShortObjective{800};
inline constexpr milliseconds PlainObjective{400};
inline constexpr milliseconds LongHold{600};
inline constexpr milliseconds ShortHold{300};
inline constexpr milliseconds SlowTime{600};
inline constexpr double SlowFactor = 2.5;

/// Whether engines state the speed of their machines; false figures are drawn at random.
enum class Figures { None, True, False };

struct Load
{
    /// Mean duration of calls to a plain service; zero for prompts to engines.
    milliseconds plainCall{0};
    int engines = 24;
    int slots = 16;
    /// Requests per second and engine.
    double longPerEngine = 1.5;
    double shortPerEngine = 20;
    /// 0: long prompts share no parts.
    int sharedParts = 40;
    /// Fraction of an engine's time that prefill gets while it generates answers.
    double prefillFraction = 1;
    /// Time for which all long prompts share the same part; 0 to draw one of sharedParts.
    milliseconds partPopularFor{0};
    std::int64_t cacheTokens = CacheTokens;
    milliseconds longObjective = LongObjective;
    /// Size of a token in the KV cache, and rate of an engine's link; 0 for copies that take no
    /// time.
    double bytesPerToken = 0;
    double linkBitsPerSecond = 0;
    /// The configuration states the rate.
    bool statesLink = true;
    double tokensPerMillisecond = TokensPerMillisecond;
    milliseconds shortObjective = ShortObjective;
    milliseconds warmUp = WarmUp;
    milliseconds measured = Measured;
    /// Fraction of the engines whose machine is slow at any moment, each for SlowTime at a time.
    double slowFraction = 0;
    Figures figures = Figures::None;
    unsigned speedSeed = 11;
    /// Time between the events of a stream, usually and while its engine prefills; 0 for streams
    /// without events.
    milliseconds eventTime{0};
    milliseconds eventTimeBesidePrefill{0};
    /// Longest pause with which a stream is on time, and whether its route states it.
    milliseconds longestPause{0};
    bool statesPause = true;
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
    std::optional<Job> prefilling;
    Time prefillUntil{};
    bool slow = false;
    Time speedUntil{};
    std::map<CallId, std::pair<Job, Time>> answering;
    PrefixCache cache;
    int served = 0;
    Time linkFreeAt{};
    int copiesFrom = 0;

    std::size_t running() const
    {
        return prompts.size() + (prefilling ? 1 : 0) + answering.size();
    }
};
struct Caller
{
    CallFacts facts;
    bool isLong = false;
    EndpointId sentTo;
    std::optional<Time> firstEventAt;
    bool rejected = false;
    /// When the parts that its engine copies are there.
    Time copiedAt{};
    Time lastEventAt{};
    /// Fraction of the next event that is generated.
    double progress = 0;
    bool paused = false;
};

/// Simulates the load of one region on any number of instances that use the same engines. As over
/// the network, load reports arrive late and reach a few peers at a time.
class RegionSimulation
{
public:
    struct Outcome
    {
        double submitted = 0;
        double inTime = 0;
        double rejected = 0;
        double shortLate = 0;
        double longPrefills = 0;
        double sharedPrefills = 0;
        double sharedCopied = 0;
        /// Streams with a timely first event and a pause that was too long.
        double paused = 0;
        double lateLong = 0;
        double submittedLong = 0;
        double copies = 0;
        double mostCopiesFromOne = 0;
        double busiest = 0;
        double mean = 0;
    };

    RegionSimulation(Load load, std::size_t instances)
        : load_(load)
        , speeds_(load.speedSeed)
    {
        Catalog::Service model;
        model.name = ServiceName(ModelName);
        if (load.plainCall == milliseconds(0)) {
            model.engine =
                Catalog::EngineTraits{load.slots, load.cacheTokens, true, load.bytesPerToken,
                                      load.statesLink ? load.linkBitsPerSecond : 0};
        }
        std::vector<Catalog::ListedEndpoint> listed;
        for (int index = 0; index < load.engines; ++index) {
            Catalog::ListedEndpoint engine;
            engine.record.id = EndpointId("engine-" + std::to_string(index));
            engine.record.service = model.name;
            engine.record.address = engine.record.id.text() + ":80";
            engine.record.slots = load.slots;
            listed.push_back(engine);
            engines_[engine.record.id].cache.setCapacity(load.cacheTokens * 7 / 10);
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
        // The load of the instances is uneven: the busiest gets four times as many requests as the
        // least busy one.
        std::vector<double> weights;
        for (std::size_t index = 0; index < instances; ++index) {
            weights.push_back(1
                              + 3.0 * static_cast<double>(index)
                                    / static_cast<double>(std::max<std::size_t>(1, instances)));
        }
        chooseInstance_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    }

    Outcome simulate()
    {
        const auto start = now_;
        const auto warmUp = load_.warmUp;
        while (now_ - start < warmUp + load_.measured + milliseconds(1500)) {
            arrivals(now_ - start < warmUp + load_.measured);
            now_ += Step;
            counting_ = now_ - start > warmUp && now_ - start < warmUp + load_.measured;
            for (auto &[id, engine] : engines_) {
                changeSpeed(engine);
                advance(engine);
                generate(engine);
            }
            report();
            for (std::size_t index = 0; index < schedulers_.size(); ++index) {
                apply(index, schedulers_[index]->tick(now_));
            }
            deliverNotices();
        }
        return count(start + warmUp, start + warmUp + load_.measured);
    }

private:
    void changeSpeed(Engine &engine)
    {
        if (load_.slowFraction <= 0 || now_ < engine.speedUntil) {
            return;
        }
        engine.slow = !engine.slow;
        std::exponential_distribution<double> usual(load_.slowFraction / (1 - load_.slowFraction)
                                                    / Common::toSeconds(SlowTime));
        const std::chrono::duration<double> time(usual(speeds_));
        engine.speedUntil =
            now_ + (engine.slow ? Duration(SlowTime) : std::chrono::duration_cast<Duration>(time));
    }

    std::optional<int> figureOf(const Engine &engine)
    {
        std::bernoulli_distribution drawn(load_.slowFraction);
        const bool slow = load_.figures == Figures::False ? drawn(figures_) : engine.slow;
        return load_.figures == Figures::None ? std::nullopt : std::optional(slow ? 250 : 100);
    }

    void arrivals(bool more)
    {
        if (!more) {
            return;
        }
        const double seconds = Common::toSeconds(Step) * load_.engines;
        std::poisson_distribution<int> longArrivals(load_.longPerEngine * seconds);
        std::poisson_distribution<int> shortArrivals(load_.shortPerEngine * seconds);
        for (int left = longArrivals(random_); left > 0; --left) {
            arrive(true);
        }
        for (int left = shortArrivals(random_); left > 0; --left) {
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
        call.objectiveAt = now_ + (isLong ? load_.longObjective : load_.shortObjective);
        if (load_.plainCall > milliseconds(0)) {
            call.kind = RequestKind::Idempotent;
            call.objectiveAt = now_ + PlainObjective;
        }
        call.deadline = now_ + seconds(8);
        call.longestPause = load_.statesPause ? load_.longestPause : milliseconds(0);
        call.priority = isLong ? 1 : 0;
        call.promptTokens = isLong ? SharedTokens + OwnTokens : ShortTokens;
        if (isLong && load_.sharedParts == 0) {
            call.promptTokens = OwnTokens;
        } else if (isLong) {
            std::uniform_int_distribution<std::uint64_t> part(
                1, static_cast<std::uint64_t>(load_.sharedParts));
            const auto popular = load_.partPopularFor;
            const auto shared = popular > milliseconds(0)
                                    ? static_cast<std::uint64_t>(now_.time_since_epoch() / popular)
                                    : part(random_);
            call.parts = {{shared, SharedTokens}, {1000000 + call.id, OwnTokens}};
        }
        call.fingerprint = call.id;
        callers_[call.id] = {call, isLong, EndpointId(), std::nullopt, false};
        const auto instance = chooseInstance_(random_);
        apply(instance, schedulers_[instance]->submit(call, now_));
    }

    void apply(std::size_t instance, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                auto &engine = engines_.at(send->endpoint);
                if (send->copyCacheFrom && callers_.at(send->call).isLong) {
                    copied_.insert(send->call);
                    copy(*send, engine);
                    engine.cache.use(callers_.at(send->call).facts.parts.front());
                }
                engine.waiting.push_back({instance, send->call});
                ++engine.served;
                callers_.at(send->call).sentTo = send->endpoint;
            } else if (const auto *reject = std::get_if<Reject>(&effect)) {
                callers_.at(reject->call).rejected = true;
            }
        }
    }

    /// Transfers on a link run one after another.
    void copy(const Send &send, Engine &target)
    {
        if (load_.linkBitsPerSecond <= 0) {
            return;
        }
        const auto address = *send.copyCacheFrom;
        auto &source = engines_.at(EndpointId(address.substr(0, address.find(':'))));
        const std::chrono::duration<double> onLink(SharedTokens * load_.bytesPerToken * 8
                                                   / load_.linkBitsPerSecond);
        const auto end = std::max({now_, source.linkFreeAt, target.linkFreeAt}) + CopySetup
                         + std::chrono::duration_cast<Duration>(onLink);
        source.linkFreeAt = end;
        target.linkFreeAt = end;
        source.copiesFrom += counting_ ? 1 : 0;
        callers_.at(send.call).copiedAt = end;
    }

    /// The first prompt whose cached parts are there.
    std::deque<Job>::iterator nextPrompt(Engine &engine)
    {
        return std::find_if(engine.prompts.begin(), engine.prompts.end(), [this](const Job &job) {
            return callers_.at(job.call).copiedAt <= now_;
        });
    }

    /// Slots of a plain endpoint are freed and filled within a step.
    void advancePlain(Engine &engine)
    {
        std::vector<std::pair<Job, Time>> finished;
        std::erase_if(engine.answering, [&](const auto &entry) {
            if (entry.second.second <= now_) {
                finished.push_back(entry.second);
            }
            return entry.second.second <= now_;
        });
        for (const auto &[job, at] : finished) {
            if (!engine.waiting.empty()) {
                beginPlain(engine, at);
            }
            auto &caller = callers_.at(job.call);
            caller.firstEventAt = at;
            auto &scheduler = *schedulers_[job.instance];
            scheduler.loadSeen(caller.sentTo, loadOf(engine), now_);
            scheduler.answering(job.call, now_);
            apply(job.instance, scheduler.ended(job.call, AttemptOutcome::Completed, false, now_));
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
        const std::chrono::duration<double> time(drawn(random_) * (engine.slow ? SlowFactor : 1));
        engine.answering[job.call] = {job, at + std::chrono::duration_cast<Duration>(time)};
    }

    Dialect::LoadSample loadOf(const Engine &engine)
    {
        return {static_cast<int>(engine.running()), static_cast<int>(engine.waiting.size()),
                load_.slots, figureOf(engine)};
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
        while (engine.prefillUntil <= now_ && (engine.prefilling || !engine.prompts.empty())) {
            finishPrefill(engine);
            if (nextPrompt(engine) == engine.prompts.end()) {
                break;
            }
            beginPrefill(engine);
        }
        std::vector<Job> finished;
        std::erase_if(engine.answering, [&](const auto &entry) {
            if (entry.second.second <= now_) {
                finished.push_back(entry.second.first);
            }
            return entry.second.second <= now_;
        });
        for (const auto &job : finished) {
            apply(job.instance, schedulers_[job.instance]->ended(
                                    job.call, AttemptOutcome::Completed, false, now_));
        }
    }

    /// An engine prefills in chunks between the events of its streams.
    void generate(Engine &engine)
    {
        if (load_.eventTime == milliseconds(0)) {
            return;
        }
        const auto time = engine.prefilling ? load_.eventTimeBesidePrefill : load_.eventTime;
        const double speed =
            load_.eventTime / inMilliseconds(time) / (engine.slow ? SlowFactor : 1);
        for (auto &[id, entry] : engine.answering) {
            auto &caller = callers_.at(id);
            if (now_ < *caller.firstEventAt) {
                continue;
            }
            caller.progress += speed * Step / inMilliseconds(load_.eventTime);
            entry.second += scaled(Step, 1 - speed);
            const auto pause = now_ - std::max(caller.lastEventAt, *caller.firstEventAt);
            caller.paused = caller.paused || pause > load_.longestPause;
            if (caller.progress >= 1) {
                caller.progress = 0;
                caller.lastEventAt = now_;
                schedulers_[entry.first.instance]->progressed(id, 1, pause, now_);
            }
        }
    }

    void beginPrefill(Engine &engine)
    {
        const auto next = nextPrompt(engine);
        engine.prefilling = *next;
        engine.prompts.erase(next);
        const auto &caller = callers_.at(engine.prefilling->call);
        const auto cached = engine.cache.cachedTokens(caller.facts.parts);
        const bool hasSharedPart = !caller.facts.parts.empty();
        if (hasSharedPart && counting_) {
            ++longPrefills_;
            const bool again = prefilledBefore_.count(caller.facts.parts.front().id) > 0;
            sharedPrefills_ += cached == 0 && again ? 1 : 0;
        }
        if (hasSharedPart) {
            prefilledBefore_.insert(caller.facts.parts.front().id);
        }
        engine.cache.use(caller.facts.parts);
        const auto tokens = static_cast<double>(caller.facts.promptTokens - cached);
        const double fraction = engine.answering.empty() ? 1 : load_.prefillFraction;
        const std::chrono::duration<double, std::milli> time(
            tokens / load_.tokensPerMillisecond / fraction * (engine.slow ? SlowFactor : 1));
        engine.prefillUntil =
            std::max(engine.prefillUntil, now_ - Step) + std::chrono::duration_cast<Duration>(time);
    }

    void finishPrefill(Engine &engine)
    {
        if (!engine.prefilling) {
            return;
        }
        const auto job = *std::exchange(engine.prefilling, std::nullopt);
        auto &caller = callers_.at(job.call);
        caller.firstEventAt = engine.prefillUntil + Floor;
        const auto until = *caller.firstEventAt + (caller.isLong ? LongHold : ShortHold);
        engine.answering[job.call] = {job, until};
        schedulers_[job.instance]->loadSeen(caller.sentTo, loadOf(engine), now_);
        schedulers_[job.instance]->answering(job.call, std::max(now_, *caller.firstEventAt));
    }

    void report()
    {
        for (std::size_t from = 0; from < schedulers_.size(); ++from) {
            if (now_ < reportAt_[from]) {
                continue;
            }
            reportAt_[from] += ReportInterval;
            const auto loadReport = schedulers_[from]->regionLoadReport(now_);
            std::vector<std::size_t> receivers;
            for (std::size_t to = 0; to < schedulers_.size(); ++to) {
                if (to != from) {
                    receivers.push_back(to);
                }
            }
            std::shuffle(receivers.begin(), receivers.end(), random_);
            receivers.resize(std::min(receivers.size(), Fanout));
            for (const auto to : receivers) {
                apply(to, schedulers_[to]->setRegionLoadReport(ids_[from], loadReport, now_));
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
            ++outcome.submitted;
            const bool inTime = caller.firstEventAt && *caller.firstEventAt <= facts.objectiveAt;
            outcome.inTime += inTime;
            outcome.submittedLong += caller.isLong;
            outcome.lateLong += caller.isLong && !inTime && !caller.rejected;
            outcome.rejected += caller.rejected ? 1 : 0;
            outcome.paused += inTime && caller.paused ? 1 : 0;
            const bool late =
                !caller.rejected
                && !(caller.firstEventAt && *caller.firstEventAt <= facts.objectiveAt);
            outcome.shortLate += late && !caller.isLong ? 1 : 0;
            outcome.sharedCopied += static_cast<double>(copied_.count(id));
        }
        outcome.longPrefills = longPrefills_;
        outcome.sharedPrefills = sharedPrefills_;
        for (const auto &[id, engine] : engines_) {
            outcome.copies += engine.copiesFrom;
            outcome.mostCopiesFromOne =
                std::max<double>(outcome.mostCopiesFromOne, engine.copiesFrom);
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
    /// Separate, so that simulations without slow machines do not depend on them.
    std::mt19937 speeds_;
    std::mt19937 figures_{13};
    std::discrete_distribution<std::size_t> chooseInstance_;
    std::vector<InstanceId> ids_;
    std::vector<std::unique_ptr<Scheduler>> schedulers_;
    std::map<EndpointId, Engine> engines_;
    std::map<CallId, Caller> callers_;
    std::set<CallId> copied_;
    std::set<std::uint64_t> prefilledBefore_;
    bool counting_ = false;
    double longPrefills_ = 0;
    double sharedPrefills_ = 0;
};

} // namespace LaburnumChute::Dispatch::RegionLoad
