#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "Support.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr milliseconds Step{5};
constexpr milliseconds ReportInterval{250};
constexpr milliseconds DigestInterval{500};
constexpr milliseconds OneWayInRegion{2};
constexpr milliseconds OneWayBetweenRegions{60};
constexpr milliseconds ConnectTimeout{400};
/// Time after which a connection fails whose bytes are not acknowledged.
constexpr milliseconds BreakTime{2000};
constexpr milliseconds AnswerTime{300};
constexpr milliseconds CutBegins{5000};
constexpr milliseconds CutEnds{16000};
/// Instances have this long to adapt to the cut.
constexpr milliseconds AdaptTime{5000};
constexpr milliseconds SimulatedTime{20000};
constexpr std::size_t Regions = 2;
constexpr int EnginesPerRegion = 4;
constexpr int Slots = 64;
constexpr double ArrivalsPerSecondAndRegion = 200;
constexpr const char *Model = "model";
constexpr const char *Desk = "desk";

enum class CutKind {
    /// Connections are reset and new ones refused.
    Refuses,
    /// Connections hang, and new ones are not established.
    Hangs,
};

struct Setting
{
    std::size_t instancesPerRegion = 2;
    /// Instances of the first region that are cut off from all endpoints.
    std::size_t cutInstances = 1;
    CutKind kind = CutKind::Refuses;
};

struct Tally
{
    int asked = 0;
    int served = 0;

    double servedShare() const
    {
        return asked == 0 ? 1 : static_cast<double>(served) / asked;
    }
};

struct Outcome
{
    /// First tries that arrived while the cut had lasted for the time to adapt.
    Tally cut;
    Tally others;
};

/// Two regions, of which some instances lose all paths to endpoints. Load reports are late, and an
/// instance learns of the cut only from its own attempts.
class CutSimulation
{
public:
    CutSimulation(Setting setting, unsigned seed)
        : setting_(setting)
        , random_(seed)
    {
        for (std::size_t region = 0; region < Regions; ++region) {
            for (std::size_t index = 0; index < setting_.instancesPerRegion; ++index) {
                Instance instance;
                instance.id = InstanceId(fmt::format("instance-{}-{}", region, index));
                instance.region = region;
                instances_.push_back(std::move(instance));
            }
        }
        for (auto &instance : instances_) {
            start(instance);
        }
    }

    Outcome simulate()
    {
        while (now_ - begun_ < SimulatedTime) {
            now_ += Step;
            if (now_ - begun_ == CutBegins) {
                cutRunningAttempts();
            }
            arrive();
            runEvents();
            deliverReports();
            for (std::size_t index = 0; index < instances_.size(); ++index) {
                apply(index, instances_[index].scheduler->tick(now_));
            }
        }
        return outcome_;
    }

private:
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
        AttemptOutcome outcome = AttemptOutcome::Completed;
    };
    /// A request as its caller sees it.
    struct Asked
    {
        CallFacts facts;
        Tally *tally = nullptr;
        /// Where it was forwarded from.
        std::optional<std::size_t> from;
        CallId original = 0;
    };

    static RegionName regionName(std::size_t region)
    {
        return RegionName("region-" + std::to_string(region));
    }

    static std::vector<Catalog::ListedEndpoint> endpointsOf(std::size_t region)
    {
        std::vector<Catalog::ListedEndpoint> listed;
        const auto add = [&](const std::string &id, const char *service, int slots) {
            Catalog::ListedEndpoint endpoint;
            endpoint.record.id = EndpointId(id);
            endpoint.record.service = ServiceName(service);
            endpoint.record.address = id + ":80";
            endpoint.record.slots = slots;
            listed.push_back(std::move(endpoint));
        };
        for (int index = 0; index < EnginesPerRegion; ++index) {
            add(fmt::format("engine-{}-{}", region, index), Model, Slots);
        }
        add(fmt::format("desk-{}", region), Desk, Slots);
        return listed;
    }

    void start(Instance &instance)
    {
        instance.scheduler = std::make_unique<Scheduler>(
            DispatchOptions(), instance.id, regionName(instance.region), random_(), now_);
        Catalog::Bounds bounds;
        bounds.retryRatio = 0.2;
        bounds.retrySlack = 50;
        instance.scheduler->setBounds(bounds);
        Catalog::Service model;
        model.name = ServiceName(Model);
        model.engine = Catalog::EngineTraits{Slots, 300000, true};
        Catalog::Service desk;
        desk.name = ServiceName(Desk);
        instance.scheduler->setServices({{model.name, model}, {desk.name, desk}}, now_);
        instance.scheduler->setEndpoints(endpointsOf(instance.region), {}, now_);
        std::vector<InstanceId> own;
        for (const auto &each : instances_) {
            if (each.region == instance.region) {
                own.push_back(each.id);
            }
        }
        instance.scheduler->setFleet(own, instances_.size(), {regionName(1 - instance.region)});
        std::uniform_int_distribution<int> phase(0, static_cast<int>(ReportInterval.count()));
        instance.reportAt = now_ + milliseconds(phase(random_));
    }

    bool isCut(std::size_t index) const
    {
        const auto elapsed = now_ - begun_;
        return index < setting_.cutInstances && elapsed >= CutBegins && elapsed < CutEnds;
    }

    void arrive()
    {
        const double perStep =
            ArrivalsPerSecondAndRegion * static_cast<double>(Regions) * Common::toSeconds(Step);
        std::poisson_distribution<int> arrivals(perStep);
        std::uniform_int_distribution<std::size_t> anyInstance(0, instances_.size() - 1);
        std::bernoulli_distribution isDispatch(0.2);
        for (int left = arrivals(random_); left > 0; --left) {
            const auto index = anyInstance(random_);
            const bool dispatch = isDispatch(random_);
            CallFacts facts;
            facts.service = ServiceName(dispatch ? Desk : Model);
            facts.kind = dispatch ? RequestKind::AtMostOnce : RequestKind::Stream;
            facts.repeatable = !dispatch;
            facts.maxRuns = dispatch ? 1 : 2;
            facts.arrivedAt = now_;
            facts.objectiveAt = now_ + milliseconds(600);
            facts.deadline = now_ + seconds(4);
            facts.promptTokens = dispatch ? 0 : 300;
            facts.fingerprint = 1000000 + nextCall_;
            const auto elapsed = now_ - begun_;
            const bool counted = elapsed >= CutBegins + AdaptTime && elapsed < CutEnds;
            auto *tally = !counted                        ? nullptr
                          : index < setting_.cutInstances ? &outcome_.cut
                                                          : &outcome_.others;
            if (tally != nullptr) {
                ++tally->asked;
            }
            submit(index, {facts, tally, std::nullopt, 0});
        }
    }

    void submit(std::size_t index, Asked asked)
    {
        asked.facts.id = nextCall_++;
        asked_[asked.facts.id] = asked;
        apply(index, instances_[index].scheduler->submit(asked.facts, now_));
    }

    void end(std::size_t index, CallId call, AttemptOutcome outcome)
    {
        apply(index, instances_[index].scheduler->ended(call, outcome, true, now_));
    }

    /// The request got its final answer at the instance; a forwarded one passes it on.
    void answer(std::size_t index, CallId call, AttemptOutcome outcome)
    {
        const auto asked = asked_.at(call);
        asked_.erase(call);
        if (asked.from) {
            const auto delay = instances_[index].region == instances_[*asked.from].region
                                   ? OneWayInRegion
                                   : OneWayBetweenRegions;
            events_.emplace(now_ + delay, Attempt{*asked.from, asked.original, outcome});
            return;
        }
        if (outcome == AttemptOutcome::Completed && asked.tally != nullptr) {
            ++asked.tally->served;
        }
    }

    void apply(std::size_t index, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                sendTo(index, *send);
            } else if (const auto *forward = std::get_if<Forward>(&effect)) {
                forwardTo(index, *forward);
            } else if (const auto *reject = std::get_if<Reject>(&effect)) {
                answer(index, reject->call, AttemptOutcome::NotRun);
            } else if (const auto *fail = std::get_if<Fail>(&effect)) {
                answer(index, fail->call, AttemptOutcome::Broken);
            } else if (const auto *cancel = std::get_if<CancelAttempt>(&effect)) {
                end(index, cancel->call, AttemptOutcome::Silent);
            }
        }
    }

    void sendTo(std::size_t index, const Send &send)
    {
        if (!isCut(index)) {
            events_.emplace(now_ + AnswerTime,
                            Attempt{index, send.call, AttemptOutcome::Completed});
        } else if (setting_.kind == CutKind::Refuses) {
            end(index, send.call, AttemptOutcome::Refused);
        } else {
            events_.emplace(now_ + ConnectTimeout,
                            Attempt{index, send.call, AttemptOutcome::NotConnected});
        }
    }

    void forwardTo(std::size_t index, const Forward &forward)
    {
        std::vector<std::size_t> receivers;
        for (std::size_t other = 0; other < instances_.size(); ++other) {
            const bool inRegion = regionName(instances_[other].region) == forward.region;
            const bool isNamed =
                forward.instance.empty() || instances_[other].id == forward.instance;
            if (other != index && inRegion && isNamed) {
                receivers.push_back(other);
            }
        }
        std::uniform_int_distribution<std::size_t> any(0, receivers.size() - 1);
        const auto receiver = receivers[any(random_)];
        auto facts = asked_.at(forward.call).facts;
        facts.forwarded = true;
        facts.handedOver = !forward.instance.empty();
        facts.maxRuns = forward.maxRuns;
        submit(receiver, {facts, nullptr, index, forward.call});
    }

    void runEvents()
    {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto attempt = events_.begin()->second;
            events_.erase(events_.begin());
            auto &scheduler = *instances_[attempt.instance].scheduler;
            if (!scheduler.knows(attempt.call)) {
                continue;
            }
            if (attempt.outcome == AttemptOutcome::Completed) {
                scheduler.answering(attempt.call, now_);
            }
            end(attempt.instance, attempt.call, attempt.outcome);
            if (attempt.outcome == AttemptOutcome::Completed) {
                answer(attempt.instance, attempt.call, attempt.outcome);
            }
        }
    }

    void cutRunningAttempts()
    {
        const auto delay = setting_.kind == CutKind::Refuses ? milliseconds(0) : BreakTime;
        std::vector<Attempt> broken;
        for (auto event = events_.begin(); event != events_.end();) {
            const bool isOfCut = event->second.instance < setting_.cutInstances;
            if (isOfCut) {
                broken.push_back(
                    {event->second.instance, event->second.call, AttemptOutcome::Broken});
            }
            event = isOfCut ? events_.erase(event) : std::next(event);
        }
        for (const auto &attempt : broken) {
            events_.emplace(now_ + delay, attempt);
        }
    }

    void deliverReports()
    {
        for (auto &sender : instances_) {
            if (now_ < sender.reportAt) {
                continue;
            }
            sender.reportAt = now_ + ReportInterval;
            const auto report = sender.scheduler->regionLoadReport(now_);
            for (std::size_t index = 0; index < instances_.size(); ++index) {
                if (instances_[index].region == sender.region && &instances_[index] != &sender) {
                    apply(index, instances_[index].scheduler->setRegionLoadReport(sender.id, report,
                                                                                  now_));
                }
            }
        }
        if (now_ < digestAt_) {
            return;
        }
        digestAt_ = now_ + DigestInterval;
        for (auto &sender : instances_) {
            const auto digest = sender.scheduler->crossRegionLoadReport(now_);
            for (auto &receiver : instances_) {
                if (receiver.region != sender.region) {
                    receiver.scheduler->setCrossRegionLoadReport(regionName(sender.region),
                                                                 sender.id, digest, now_);
                }
            }
        }
    }

    Setting setting_;
    std::mt19937_64 random_;
    Time begun_ = Time(seconds(1000));
    Time now_ = begun_;
    Time digestAt_{};
    std::vector<Instance> instances_;
    std::multimap<Time, Attempt> events_;
    std::map<CallId, Asked> asked_;
    CallId nextCall_ = 1;
    Outcome outcome_;
};

/// The users' rule: two thirds of what the others serve, and few failures among all first tries.
void expectServedAsWellAsOthers(const Setting &setting)
{
    for (unsigned seed = 1; seed <= 5; ++seed) {
        SCOPED_TRACE(fmt::format("seed {}, {} instances a region, {} cut", seed,
                                 setting.instancesPerRegion, setting.cutInstances));
        const auto outcome = CutSimulation(setting, seed).simulate();
        const int failed = outcome.cut.asked - outcome.cut.served;
        const int asked = outcome.cut.asked + outcome.others.asked;
        ASSERT_GT(outcome.cut.asked, 0);
        EXPECT_GE(outcome.cut.servedShare(), 2.0 / 3 * outcome.others.servedShare());
        EXPECT_LE(failed, 10 + asked / 50) << "of " << outcome.cut.asked;
    }
}

} // namespace

// Guards against an instance that rejects its callers while its neighbors reach the endpoints.
TEST(CutInstancesTest, CallersOfACutInstanceAreServedByItsNeighbors)
{
    for (const auto kind : {CutKind::Refuses, CutKind::Hangs}) {
        for (const std::size_t instances : {2, 12}) {
            expectServedAsWellAsOthers({instances, 1, kind});
            expectServedAsWellAsOthers({instances, instances / 2, kind});
        }
    }
}

// As above, when no instance of the region reaches its endpoints.
TEST(CutInstancesTest, CallersOfACutRegionAreServedByAnother)
{
    for (const auto kind : {CutKind::Refuses, CutKind::Hangs}) {
        for (const std::size_t instances : {1, 2, 12}) {
            expectServedAsWellAsOthers({instances, instances, kind});
        }
    }
}

// An endpoint stands still, and all of its requests are taken back together. Guards against an
// ejection that doubles with each of them and outlasts the silence.
TEST_F(SchedulerTest, RequestsThatFailTogetherEjectTheirEndpointOnce)
{
    setEndpoints({endpoint("a", Plain)});
    std::vector<CallFacts> calls;
    for (int count = 0; count < 8; ++count) {
        calls.push_back(facts(Plain));
        ASSERT_NE(only<Send>(scheduler_.submit(calls.back(), now_)), nullptr);
    }
    pass(std::chrono::duration_cast<milliseconds>(calls.front().patience));
    for (const auto &call : calls) {
        scheduler_.ended(call.id, AttemptOutcome::Silent, false, now_);
    }
    pass(DispatchOptions().firstEjection + milliseconds(1));
    const auto effects = scheduler_.submit(facts(Plain), now_);
    ASSERT_NE(only<Send>(effects), nullptr);
    EXPECT_TRUE(only<Send>(effects)->newConnection);
}

// Guards against endpoints that get nothing for as long as the answer to a probe takes.
TEST_F(SchedulerTest, AnEndpointIsReadmittedWhenTheAnswerToAProbeBegins)
{
    setEndpoints({endpoint("a", Model)});
    const auto lost = facts(Model, RequestKind::Stream);
    ASSERT_NE(only<Send>(scheduler_.submit(lost, now_)), nullptr);
    scheduler_.ended(lost.id, AttemptOutcome::NotConnected, false, now_);
    pass(DispatchOptions().firstEjection + milliseconds(1));
    const auto probe = facts(Model, RequestKind::Stream);
    ASSERT_NE(only<Send>(scheduler_.submit(probe, now_)), nullptr);
    EXPECT_TRUE(scheduler_.submit(facts(Model, RequestKind::Stream), now_).empty());
    pass(milliseconds(50));
    scheduler_.answering(probe.id, now_);
    EXPECT_NE(only<Send>(scheduler_.submit(facts(Model, RequestKind::Stream), now_)), nullptr);
}

} // namespace LaburnumChute::Dispatch
