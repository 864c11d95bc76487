#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr milliseconds Step{5};
constexpr milliseconds ReportInterval{250};
constexpr milliseconds DigestInterval{500};
/// Number of peers that receive a load report.
constexpr std::size_t Fanout = 16;
constexpr milliseconds OneWayInRegion{2};
constexpr milliseconds OneWayBetweenRegions{60};
/// Time that an answer takes, and time after which the crashing request ends its engine.
constexpr milliseconds AnswerTime{700};
constexpr milliseconds CrashTime{100};
/// A crashed engine returns under a new id at its address; the record of the old one expires later.
constexpr milliseconds RestartTime{1300};
constexpr milliseconds RecordExpiry{3600};
constexpr int Slots = 64;
constexpr std::uint64_t CrashingFingerprint = 4711;
constexpr const char *ModelName = "model";

struct Setting
{
    std::size_t instancesPerRegion = 4;
    std::size_t enginesPerRegion = 4;
    /// Ordinary requests per second and engine.
    double ordinaryPerEngine = 50;
    /// Interval between the arrivals of the crashing request, at any instance of any region.
    milliseconds crashingInterval{300};
    /// Copies that arrive at once, at different instances.
    int copies = 1;
    int maxRuns = 2;
    /// All instances are restarted at this time and know nothing of the crashes before.
    std::optional<milliseconds> restartAllAt;
};

struct Outcome
{
    int crashes = 0;
    /// Times at which the crashing request reached an engine.
    std::vector<Time> arrivals;
    std::vector<Time> crashTimes;
    int ordinary = 0;
    int ordinaryQuarantined = 0;

    /// The users' rule allows three arrivals later than 5 s after the third crash.
    std::ptrdiff_t lateArrivals() const
    {
        if (crashTimes.size() < 3) {
            return 0;
        }
        const auto since = crashTimes[2] + seconds(5);
        return std::count_if(arrivals.begin(), arrivals.end(),
                             [since](Time at) { return at > since; });
    }
};

/// Two regions of instances in front of engines that one request crashes. Each instance sees only
/// its own attempts, and load reports and digests arrive late.
class CrashSimulation
{
public:
    CrashSimulation(Setting setting, unsigned seed)
        : setting_(setting)
        , random_(seed)
    {
        for (std::size_t region = 0; region < Regions; ++region) {
            for (std::size_t index = 0; index < setting_.enginesPerRegion; ++index) {
                startEngine(region, fmt::format("10.{}.0.{}:80", region, index));
            }
            for (std::size_t index = 0; index < setting_.instancesPerRegion; ++index) {
                Instance instance;
                instance.id = InstanceId(fmt::format("instance-{}-{}", region, index));
                instance.region = region;
                instances_.push_back(std::move(instance));
            }
        }
        for (auto &instance : instances_) {
            startScheduler(instance);
        }
    }

    Outcome simulate(milliseconds duration)
    {
        const auto start = now_;
        auto crashingAt = now_ + seconds(2);
        bool restarted = false;
        while (now_ - start < duration) {
            now_ += Step;
            if (setting_.restartAllAt && !restarted && now_ - start > *setting_.restartAllAt) {
                restarted = true;
                restartInstances();
            }
            arriveOrdinary();
            if (now_ >= crashingAt) {
                crashingAt = now_ + setting_.crashingInterval;
                for (int copy = 0; copy < setting_.copies; ++copy) {
                    arrive(CrashingFingerprint);
                }
            }
            advanceEngines();
            deliverReports();
            for (std::size_t index = 0; index < instances_.size(); ++index) {
                apply(index, instances_[index].scheduler->tick(now_));
                sendNotices(index);
            }
        }
        return outcome_;
    }

private:
    static constexpr std::size_t Regions = 2;

    struct Instance
    {
        InstanceId id;
        std::size_t region = 0;
        std::unique_ptr<Scheduler> scheduler;
        Time reportAt{};
    };
    struct Attempt
    {
        std::size_t instance = 0;
        CallId call = 0;
        std::uint64_t fingerprint = 0;
        Time endsAt{};
    };
    struct Engine
    {
        Catalog::ListedEndpoint listed;
        std::size_t region = 0;
        bool alive = true;
        Time crashedAt{};
        bool replaced = false;
        std::vector<Attempt> attempts;
    };
    struct Delivery
    {
        std::size_t receiver = 0;
        InstanceId sender;
        std::size_t senderRegion = 0;
        std::variant<RegionLoadReport, CrossRegionLoadReport, SuspectNotices> report;
    };

    static RegionName regionName(std::size_t region)
    {
        return RegionName("region-" + std::to_string(region));
    }

    void startEngine(std::size_t region, const std::string &address)
    {
        Engine engine;
        auto &record = engine.listed.record;
        record.id = EndpointId("engine-" + std::to_string(nextEngine_++));
        record.service = ServiceName(ModelName);
        record.address = address;
        record.slots = Slots;
        record.startedAt =
            std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
        engine.region = region;
        engines_[record.id] = std::move(engine);
    }

    std::vector<Catalog::ListedEndpoint> listedIn(std::size_t region) const
    {
        std::vector<Catalog::ListedEndpoint> listed;
        for (const auto &[id, engine] : engines_) {
            if (engine.region == region) {
                listed.push_back(engine.listed);
            }
        }
        return listed;
    }

    void startScheduler(Instance &instance)
    {
        instance.scheduler = std::make_unique<Scheduler>(
            DispatchOptions(), instance.id, regionName(instance.region), random_(), now_);
        Catalog::Bounds bounds;
        bounds.retryRatio = 0.2;
        bounds.retrySlack = 50;
        instance.scheduler->setBounds(bounds);
        Catalog::Service model;
        model.name = ServiceName(ModelName);
        model.engine = Catalog::EngineTraits{Slots, 300000, true};
        instance.scheduler->setServices({{model.name, model}}, now_);
        instance.scheduler->setEndpoints(listedIn(instance.region), {}, now_);
        std::vector<InstanceId> own;
        std::vector<RegionName> others;
        for (const auto &each : instances_) {
            if (each.region == instance.region) {
                own.push_back(each.id);
            }
        }
        for (std::size_t region = 0; region < Regions; ++region) {
            if (region != instance.region) {
                others.push_back(regionName(region));
            }
        }
        instance.scheduler->setFleet(own, instances_.size(), others);
        std::uniform_int_distribution<int> phase(0, static_cast<int>(ReportInterval.count()));
        instance.reportAt = now_ + milliseconds(phase(random_));
    }

    void restartInstances()
    {
        for (auto &[id, engine] : engines_) {
            engine.attempts.clear();
        }
        deliveries_.clear();
        for (auto &instance : instances_) {
            startScheduler(instance);
        }
    }

    void arriveOrdinary()
    {
        const double perStep = setting_.ordinaryPerEngine * Common::toSeconds(Step)
                               * static_cast<double>(setting_.enginesPerRegion * Regions);
        std::poisson_distribution<int> arrivals(perStep);
        for (int left = perStep > 0 ? arrivals(random_) : 0; left > 0; --left) {
            ++outcome_.ordinary;
            arrive(1000000 + nextCall_);
        }
    }

    void arrive(std::uint64_t fingerprint)
    {
        std::uniform_int_distribution<std::size_t> anyInstance(0, instances_.size() - 1);
        const auto index = anyInstance(random_);
        CallFacts facts;
        facts.id = nextCall_++;
        facts.service = ServiceName(ModelName);
        facts.kind = RequestKind::Stream;
        facts.repeatable = true;
        facts.arrivedAt = now_;
        facts.objectiveAt = now_ + milliseconds(800);
        facts.deadline = now_ + seconds(4);
        facts.promptTokens = 300;
        facts.maxRuns = setting_.maxRuns;
        facts.fingerprint = fingerprint;
        fingerprints_[facts.id] = fingerprint;
        apply(index, instances_[index].scheduler->submit(facts, now_));
    }

    void apply(std::size_t index, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                sendTo(index, *send);
            } else if (const auto *reject = std::get_if<Reject>(&effect)) {
                const bool ordinary = fingerprints_.at(reject->call) != CrashingFingerprint;
                outcome_.ordinaryQuarantined +=
                    ordinary && reject->reason == RejectReason::Quarantined ? 1 : 0;
            } else if (const auto *forward = std::get_if<Forward>(&effect)) {
                // Other regions are not simulated as receivers of forwarded requests.
                apply(index, instances_[index].scheduler->ended(
                                 forward->call, AttemptOutcome::NotConnected, true, now_));
            } else if (const auto *cancel = std::get_if<CancelAttempt>(&effect)) {
                apply(index, instances_[index].scheduler->ended(
                                 cancel->call, AttemptOutcome::Silent, true, now_));
            }
        }
    }

    void sendTo(std::size_t index, const Send &send)
    {
        const auto fingerprint = fingerprints_.at(send.call);
        auto &engine = engines_.at(send.endpoint);
        if (!engine.alive) {
            // The port is closed until another engine listens there.
            const auto outcome =
                engine.replaced ? AttemptOutcome::Replaced : AttemptOutcome::Refused;
            apply(index, instances_[index].scheduler->ended(send.call, outcome, true, now_));
            return;
        }
        const bool crashes = fingerprint == CrashingFingerprint;
        if (crashes) {
            outcome_.arrivals.push_back(now_);
        }
        engine.attempts.push_back(
            {index, send.call, fingerprint, now_ + (crashes ? CrashTime : AnswerTime)});
    }

    void advanceEngines()
    {
        std::vector<EndpointId> ids;
        for (const auto &[id, engine] : engines_) {
            ids.push_back(id);
        }
        for (const auto &id : ids) {
            advance(engines_.at(id));
        }
        bool listChanged = false;
        for (const auto &id : ids) {
            auto &engine = engines_.at(id);
            if (!engine.alive && !engine.replaced && now_ - engine.crashedAt > RestartTime) {
                engine.replaced = true;
                startEngine(engine.region, engine.listed.record.address);
                listChanged = true;
            }
            if (!engine.alive && now_ - engine.crashedAt > RecordExpiry) {
                engines_.erase(id);
                listChanged = true;
            }
        }
        if (listChanged) {
            for (std::size_t index = 0; index < instances_.size(); ++index) {
                auto &instance = instances_[index];
                apply(index, instance.scheduler->setEndpoints(listedIn(instance.region), {}, now_));
            }
        }
    }

    void advance(Engine &engine)
    {
        std::vector<Attempt> ended;
        std::erase_if(engine.attempts, [&](const Attempt &attempt) {
            const bool due = now_ >= attempt.endsAt;
            if (due) {
                ended.push_back(attempt);
            }
            return due;
        });
        const bool crashed = std::any_of(ended.begin(), ended.end(), [](const Attempt &attempt) {
            return attempt.fingerprint == CrashingFingerprint;
        });
        if (crashed) {
            engine.alive = false;
            engine.crashedAt = now_;
            ++outcome_.crashes;
            outcome_.crashTimes.push_back(now_);
            ended.insert(ended.end(), engine.attempts.begin(), engine.attempts.end());
            engine.attempts.clear();
        }
        for (const auto &attempt : ended) {
            auto &scheduler = *instances_[attempt.instance].scheduler;
            scheduler.answering(attempt.call, now_);
            const auto outcome = crashed ? AttemptOutcome::Broken : AttemptOutcome::Completed;
            apply(attempt.instance, scheduler.ended(attempt.call, outcome, crashed, now_));
        }
    }

    void deliverReports()
    {
        for (std::size_t index = 0; index < instances_.size(); ++index) {
            if (now_ >= instances_[index].reportAt) {
                instances_[index].reportAt = now_ + ReportInterval;
                report(index);
            }
        }
        if (now_ >= digestAt_) {
            digestAt_ = now_ + DigestInterval;
            sendDigests();
        }
        while (!deliveries_.empty() && deliveries_.begin()->first <= now_) {
            const auto delivery = deliveries_.begin()->second;
            deliveries_.erase(deliveries_.begin());
            deliver(delivery);
        }
    }

    void report(std::size_t sender)
    {
        const auto region = instances_[sender].region;
        std::vector<std::size_t> receivers;
        for (std::size_t index = 0; index < instances_.size(); ++index) {
            if (index != sender && instances_[index].region == region) {
                receivers.push_back(index);
            }
        }
        std::shuffle(receivers.begin(), receivers.end(), random_);
        receivers.resize(std::min(receivers.size(), Fanout));
        const auto report = instances_[sender].scheduler->regionLoadReport(now_);
        for (const auto receiver : receivers) {
            deliveries_.emplace(now_ + OneWayInRegion,
                                Delivery{receiver, instances_[sender].id, region, report});
        }
    }

    /// One instance of another region gets the notices and relays them to the others.
    void sendNotices(std::size_t sender)
    {
        const auto notices = instances_[sender].scheduler->takeSuspectNotices(now_);
        if (notices.suspects.empty()) {
            return;
        }
        for (std::size_t index = 0; index < instances_.size(); ++index) {
            const bool own = instances_[index].region == instances_[sender].region;
            const auto delay = own ? OneWayInRegion : OneWayBetweenRegions;
            if (index != sender) {
                deliveries_.emplace(now_ + delay, Delivery{index, instances_[sender].id,
                                                           instances_[sender].region, notices});
            }
        }
    }

    /// The first instance of a region speaks for it; receivers relay what it says.
    void sendDigests()
    {
        for (std::size_t region = 0; region < Regions; ++region) {
            const auto sender = region * setting_.instancesPerRegion;
            const auto report = instances_[sender].scheduler->crossRegionLoadReport(now_);
            for (std::size_t index = 0; index < instances_.size(); ++index) {
                if (instances_[index].region != region) {
                    deliveries_.emplace(now_ + OneWayBetweenRegions,
                                        Delivery{index, instances_[sender].id, region, report});
                }
            }
        }
    }

    void deliver(const Delivery &delivery)
    {
        auto &scheduler = *instances_[delivery.receiver].scheduler;
        if (const auto *report = std::get_if<RegionLoadReport>(&delivery.report)) {
            apply(delivery.receiver, scheduler.setRegionLoadReport(delivery.sender, *report, now_));
        } else if (const auto *notices = std::get_if<SuspectNotices>(&delivery.report)) {
            scheduler.learn(*notices, now_);
        } else {
            scheduler.setCrossRegionLoadReport(regionName(delivery.senderRegion), delivery.sender,
                                               std::get<CrossRegionLoadReport>(delivery.report),
                                               now_);
        }
    }

    Setting setting_;
    Outcome outcome_;
    Time now_ = Time(seconds(1000));
    Time digestAt_{};
    std::mt19937_64 random_;
    std::vector<Instance> instances_;
    std::map<EndpointId, Engine> engines_;
    std::multimap<Time, Delivery> deliveries_;
    std::unordered_map<CallId, std::uint64_t> fingerprints_;
    CallId nextCall_ = 1;
    int nextEngine_ = 0;
};

constexpr std::ptrdiff_t AllowedLateArrivals = 3;
constexpr milliseconds Played{20000};

class CrashingRequestTest : public testing::TestWithParam<std::size_t>
{
protected:
    static std::string describe(const Outcome &outcome)
    {
        return fmt::format("{} crashes, {} arrivals, {} of {} ordinary requests quarantined",
                           outcome.crashes, outcome.arrivals.size(), outcome.ordinaryQuarantined,
                           outcome.ordinary);
    }
    /// Plays the setting with several seeds.
    static std::vector<Outcome> simulate(const Setting &setting)
    {
        constexpr unsigned Seeds = 5;
        std::vector<Outcome> outcomes;
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            outcomes.push_back(CrashSimulation(setting, seed).simulate(Played));
        }
        return outcomes;
    }
    static void expectStopped(const Setting &setting)
    {
        for (const auto &outcome : simulate(setting)) {
            EXPECT_LE(outcome.lateArrivals(), AllowedLateArrivals) << describe(outcome);
        }
    }
    static Setting setting()
    {
        Setting setting;
        setting.instancesPerRegion = GetParam();
        setting.enginesPerRegion = std::max<std::size_t>(4, GetParam() / 8);
        return setting;
    }
};

// All requests on a busy engine break at once when it crashes. Guards against crashes that are
// attributed to no request, since the endpoint is ejected before a connection to it is refused.
TEST_P(CrashingRequestTest, StopsReachingBusyEngines)
{
    expectStopped(setting());
}

// Nothing but the crashing request uses the service. Guards against a crash that is never noticed,
// since no further connection is attempted before the engine is replaced.
TEST_P(CrashingRequestTest, StopsReachingIdleEngines)
{
    auto idle = setting();
    idle.ordinaryPerEngine = 0;
    idle.crashingInterval = milliseconds(700);
    expectStopped(idle);
}

// Each attempt runs once, at any instance. Guards against deaths that are known to one instance
// each.
TEST_P(CrashingRequestTest, StopsAlthoughEachInstanceSeesOneCrash)
{
    auto once = setting();
    once.maxRuns = 1;
    expectStopped(once);
}

// Copies arrive together at several instances. Guards against copies that run before the crash
// under the first one is known.
TEST_P(CrashingRequestTest, StopsWhenCopiesArriveTogether)
{
    auto copies = setting();
    copies.copies = 3;
    copies.crashingInterval = milliseconds(600);
    expectStopped(copies);
}

// Guards against a request that is sent to engines anew by each instance that was restarted.
TEST_P(CrashingRequestTest, StopsAgainAfterAllInstancesWereRestarted)
{
    auto restart = setting();
    restart.restartAllAt = milliseconds(11000);
    expectStopped(restart);
}

// Requests that ran beside the crashing one are attempted again. Guards against a quarantine of
// requests that only shared engines with it.
TEST_P(CrashingRequestTest, SpareRequestsThatSharedAnEngine)
{
    for (const auto &outcome : simulate(setting())) {
        EXPECT_LE(outcome.ordinaryQuarantined, outcome.ordinary / 200) << describe(outcome);
    }
}

INSTANTIATE_TEST_SUITE_P(Instances, CrashingRequestTest, testing::Values(2, 12, 40));

} // namespace

} // namespace LaburnumChute::Dispatch
