#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "CrashSetting.h"

namespace LaburnumChute::Dispatch {

/// Two regions of instances in front of engines that one request crashes. Each instance sees only
/// its own attempts, and load reports and digests arrive late.
class CrashSimulation
{
public:
    CrashSimulation(CrashSetting setting, unsigned seed)
        : setting_(setting)
        , random_(seed)
    {
        for (std::size_t region = 0; region < setting_.regions; ++region) {
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

    CrashOutcome simulate(milliseconds duration)
    {
        auto crashingAt = now_ + CrashesBegin;
        otherCrashAt_ = now_ + CrashesBegin;
        bool restarted = false;
        while (now_ - begun_ < duration) {
            now_ += Step;
            if (setting_.restartAllAt && !restarted && now_ - begun_ > *setting_.restartAllAt) {
                restarted = true;
                restartInstances();
            }
            noticeCuts();
            arriveOrdinary();
            if (now_ >= crashingAt) {
                crashingAt = now_ + setting_.crashingInterval;
                for (int copy = 0; copy < setting_.copies; ++copy) {
                    arrive(true);
                }
            }
            crashForNoReason();
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
        bool crashes = false;
        Time endsAt{};
        /// When its next event is due; never for attempts without prompts.
        Time nextEventAt = Time::max();
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
        setFleet(instance);
        std::uniform_int_distribution<int> phase(0, static_cast<int>(ReportInterval.count()));
        instance.reportAt = now_ + milliseconds(phase(random_));
    }

    void setFleet(Instance &instance)
    {
        std::vector<InstanceId> own;
        std::vector<RegionName> others;
        for (const auto &each : instances_) {
            if (each.region == instance.region) {
                own.push_back(each.id);
            }
        }
        for (std::size_t region = 0; region < setting_.regions; ++region) {
            if (region != instance.region) {
                others.push_back(regionName(region));
            }
        }
        const bool alone = isCut(setting_.allCutAt);
        const bool apart = alone || isCut(setting_.regionsCutAt);
        instance.scheduler->setFleet(alone ? std::vector{instance.id} : own, instances_.size(),
                                     apart ? std::vector<RegionName>() : others);
        const auto heard = alone ? 1 : apart ? own.size() : instances_.size();
        instance.scheduler->setHeardInstances(heard);
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
                               * static_cast<double>(setting_.enginesPerRegion * setting_.regions);
        std::poisson_distribution<int> arrivals(perStep);
        for (int left = perStep > 0 ? arrivals(random_) : 0; left > 0; --left) {
            ++outcome_.ordinary;
            arrive(false);
        }
    }

    void arrive(bool crashes)
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
        const bool repeated = crashes && !setting_.queryVaries;
        facts.fingerprint = repeated ? CrashingFingerprint : 1000000 + facts.id;
        facts.contentFingerprint = crashes ? CrashingFingerprint : facts.fingerprint;
        crashes_[facts.id] = crashes;
        if (setting_.prompts) {
            fillPrompt(facts, crashes);
        }
        apply(index, instances_[index].scheduler->submit(facts, now_));
    }

    /// Crashing requests have the first part, and one of the others, in common with ordinary ones.
    void fillPrompt(CallFacts &facts, bool crashes)
    {
        const auto any = [this](std::size_t count) {
            return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
        };
        facts.fingerprint = 1000000 + facts.id;
        facts.contentFingerprint = 2000000 + facts.id;
        facts.parts.push_back({1, 100});
        if (crashes) {
            const auto bad = any(setting_.prompts->badParts);
            badPartOf_[facts.id] = bad;
            facts.parts.push_back({10 + bad, 100});
        } else {
            outcome_.sound[facts.id].at = now_;
        }
        facts.parts.push_back({100 + any(setting_.prompts->soundParts), 50});
        facts.parts.push_back({3000000 + facts.id, 50});
    }

    void crashForNoReason()
    {
        if (!setting_.otherCrashes || now_ < otherCrashAt_) {
            return;
        }
        otherCrashAt_ = now_ + *setting_.otherCrashes;
        std::vector<Engine *> alive;
        for (auto &[id, engine] : engines_) {
            if (engine.alive) {
                alive.push_back(&engine);
            }
        }
        if (!alive.empty()) {
            std::uniform_int_distribution<std::size_t> any(0, alive.size() - 1);
            crash(*alive[any(random_)]);
        }
    }

    void apply(std::size_t index, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                sendTo(index, *send);
            } else if (const auto *reject = std::get_if<Reject>(&effect)) {
                outcome_.ordinaryQuarantined +=
                    !crashes_.at(reject->call) && reject->reason == RejectReason::Quarantined ? 1
                                                                                              : 0;
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
        auto &engine = engines_.at(send.endpoint);
        if (!engine.alive) {
            // The port is closed until another engine listens there.
            const auto outcome =
                engine.replaced ? AttemptOutcome::Replaced : AttemptOutcome::Refused;
            apply(index, instances_[index].scheduler->ended(send.call, outcome, true, now_));
            return;
        }
        const bool crashes = crashes_.at(send.call);
        if (crashes) {
            outcome_.arrivals.push_back(now_);
        }
        Attempt attempt{index, send.call, crashes, now_ + (crashes ? CrashTime : AnswerTime)};
        if (setting_.prompts) {
            attempt.endsAt = now_ + (crashes ? BeginTime : AnswerTime);
            attempt.nextEventAt = now_ + BeginTime;
        }
        if (setting_.prompts && crashes) {
            outcome_.badParts[badPartOf_.at(send.call)].arrivals.push_back(now_);
        }
        engine.attempts.push_back(attempt);
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
        const auto crashing = std::find_if(ended.begin(), ended.end(),
                                           [](const auto &attempt) { return attempt.crashes; });
        if (crashing != ended.end()) {
            ++outcome_.crashes;
            outcome_.crashTimes.push_back(now_);
            if (setting_.prompts) {
                outcome_.badParts[badPartOf_.at(crashing->call)].crashes.push_back(now_);
            }
            engine.attempts.insert(engine.attempts.begin(), ended.begin(), ended.end());
            crash(engine);
            return;
        }
        const bool withoutLength = setting_.prompts && setting_.prompts->answersWithoutLength;
        for (const auto &attempt : ended) {
            auto &scheduler = *instances_[attempt.instance].scheduler;
            scheduler.answering(attempt.call, now_);
            const auto outcome =
                withoutLength ? AttemptOutcome::Answered : AttemptOutcome::Completed;
            apply(attempt.instance, scheduler.ended(attempt.call, outcome, false, now_));
        }
        sendEvents(engine);
    }

    void sendEvents(Engine &engine)
    {
        for (auto &attempt : engine.attempts) {
            if (now_ < attempt.nextEventAt) {
                continue;
            }
            auto &scheduler = *instances_[attempt.instance].scheduler;
            auto &begun = outcome_.sound[attempt.call].begun;
            if (std::exchange(begun, true)) {
                scheduler.progressed(attempt.call, 1, EventInterval, now_);
            } else {
                scheduler.answering(attempt.call, now_);
            }
            attempt.nextEventAt = now_ + EventInterval;
        }
    }

    void crash(Engine &engine)
    {
        engine.alive = false;
        engine.crashedAt = now_;
        for (const auto &attempt : std::exchange(engine.attempts, {})) {
            auto &scheduler = *instances_[attempt.instance].scheduler;
            if (!setting_.prompts) {
                scheduler.answering(attempt.call, now_);
            }
            apply(attempt.instance,
                  scheduler.ended(attempt.call, AttemptOutcome::Broken, true, now_));
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
            if (!isCutOff(delivery)) {
                deliver(delivery);
            }
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
        for (std::size_t region = 0; region < setting_.regions; ++region) {
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

    bool isCut(const std::optional<milliseconds> &from) const
    {
        return from && now_ - begun_ >= *from;
    }

    bool isCutOff(const Delivery &delivery) const
    {
        const bool otherRegion = instances_[delivery.receiver].region != delivery.senderRegion;
        return isCut(setting_.allCutAt) || (otherRegion && isCut(setting_.regionsCutAt));
    }

    /// Instances notice after a while from whom they do not hear any more.
    void noticeCuts()
    {
        for (const auto &cutAt : {setting_.regionsCutAt, setting_.allCutAt}) {
            if (cutAt && now_ - begun_ == *cutAt + CutNoticeTime) {
                for (auto &instance : instances_) {
                    setFleet(instance);
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

    CrashSetting setting_;
    CrashOutcome outcome_;
    Time begun_ = Time(seconds(1000));
    Time now_ = begun_;
    Time digestAt_{};
    std::mt19937_64 random_;
    std::vector<Instance> instances_;
    std::map<EndpointId, Engine> engines_;
    std::multimap<Time, Delivery> deliveries_;
    std::unordered_map<CallId, bool> crashes_;
    std::unordered_map<CallId, std::size_t> badPartOf_;
    Time otherCrashAt_{};
    CallId nextCall_ = 1;
    int nextEngine_ = 0;
};

} // namespace LaburnumChute::Dispatch
