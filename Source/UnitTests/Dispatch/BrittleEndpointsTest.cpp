#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr milliseconds Step{2};
constexpr milliseconds ReportInterval{250};
/// From the first time on, answers say that endpoints are brittle; from the second, they let fewer
/// requests wait, and fall when they reject too many.
constexpr milliseconds BrittleFrom{3000};
constexpr milliseconds BrittleInEffectFrom{8000};
constexpr milliseconds SimulatedTime{16000};
constexpr milliseconds RestartTime{2500};
constexpr int ToleratedRejections = 4;
constexpr int ReducedRoom = 1;

struct Setting
{
    std::size_t instances = 2;
    std::size_t endpoints = 4;
    int slots = 64;
    bool engine = true;
    milliseconds answerTime{300};
    /// Arrivals relative to the capacity: normally, and in a burst each second.
    double load = 0.5;
    double burstLoad = 0.5;
};

struct Outcome
{
    int falls = 0;
    int asked = 0;
    int served = 0;
};

/// One region of instances in front of endpoints that fall when they reject too much. An instance
/// learns that they are brittle from its own answers and from late reports.
class BrittleSimulation
{
public:
    BrittleSimulation(Setting setting, unsigned seed)
        : setting_(setting)
        , random_(seed)
    {
        for (std::size_t index = 0; index < setting_.endpoints; ++index) {
            Endpoint endpoint;
            auto &record = endpoint.listed.record;
            record.id = EndpointId(fmt::format("endpoint-{}", index));
            record.service = ServiceName("service");
            record.address = record.id.text() + ":80";
            record.slots = setting_.slots;
            endpoints_[record.id] = std::move(endpoint);
        }
        for (std::size_t index = 0; index < setting_.instances; ++index) {
            ids_.push_back(InstanceId(fmt::format("instance-{}", index)));
        }
        for (const auto &id : ids_) {
            start(id);
        }
    }

    Outcome simulate()
    {
        while (now_ - begun_ < SimulatedTime) {
            now_ += Step;
            arrive();
            for (auto &[id, endpoint] : endpoints_) {
                advance(endpoint);
            }
            deliverReports();
            for (std::size_t index = 0; index < schedulers_.size(); ++index) {
                apply(index, schedulers_[index]->tick(now_));
            }
        }
        return outcome_;
    }

private:
    struct Attempt
    {
        std::size_t instance = 0;
        CallId call = 0;
        std::optional<Time> endsAt;
    };
    struct Endpoint
    {
        Catalog::ListedEndpoint listed;
        std::vector<Attempt> running;
        std::deque<Attempt> waiting;
        std::deque<Time> rejections;
        std::optional<Time> fellAt;
    };

    void start(const InstanceId &id)
    {
        auto &scheduler = schedulers_.emplace_back(std::make_unique<Scheduler>(
            DispatchOptions(), id, RegionName("home"), random_(), begun_ - seconds(5)));
        Catalog::Bounds bounds;
        bounds.retryRatio = 0.2;
        bounds.retrySlack = 50;
        scheduler->setBounds(bounds);
        Catalog::Service service;
        service.name = ServiceName("service");
        if (setting_.engine) {
            service.engine = Catalog::EngineTraits{setting_.slots, 300000, true};
        }
        scheduler->setServices({{service.name, service}}, now_);
        std::vector<Catalog::ListedEndpoint> listed;
        for (const auto &[endpointId, endpoint] : endpoints_) {
            listed.push_back(endpoint.listed);
        }
        scheduler->setEndpoints(listed, {}, now_);
        scheduler->setFleet(ids_, ids_.size(), {});
        std::uniform_int_distribution<int> phase(0, static_cast<int>(ReportInterval.count()));
        reportAt_.push_back(now_ + milliseconds(phase(random_)));
    }

    bool brittle() const
    {
        return now_ - begun_ >= BrittleFrom;
    }

    bool inEffect() const
    {
        return now_ - begun_ >= BrittleInEffectFrom;
    }

    void arrive()
    {
        constexpr milliseconds BurstInterval{1000};
        constexpr milliseconds BurstTime{300};
        const bool burst = (now_ - begun_) % BurstInterval < BurstTime;
        const double capacity = static_cast<double>(setting_.endpoints) * setting_.slots
                                / Common::toSeconds(setting_.answerTime);
        const double load = burst ? setting_.burstLoad : setting_.load;
        std::poisson_distribution<int> arrivals(capacity * load * Common::toSeconds(Step));
        std::uniform_int_distribution<std::size_t> anyInstance(0, schedulers_.size() - 1);
        for (int left = arrivals(random_); left > 0; --left) {
            CallFacts facts;
            facts.id = nextCall_++;
            facts.service = ServiceName("service");
            facts.kind = setting_.engine ? RequestKind::Stream : RequestKind::Idempotent;
            facts.repeatable = true;
            facts.maxRuns = 2;
            facts.arrivedAt = now_;
            facts.objectiveAt = now_ + milliseconds(600);
            facts.deadline = now_ + seconds(4);
            facts.promptTokens = setting_.engine ? 100 : 0;
            facts.fingerprint = 1000000 + facts.id;
            outcome_.asked += brittle() ? 1 : 0;
            const auto index = anyInstance(random_);
            apply(index, schedulers_[index]->submit(facts, now_));
        }
    }

    void apply(std::size_t index, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                sendTo(index, *send);
            } else if (const auto *cancel = std::get_if<CancelAttempt>(&effect)) {
                end(index, cancel->call, AttemptOutcome::Silent);
            }
        }
    }

    void end(std::size_t index, CallId call, AttemptOutcome outcome)
    {
        apply(index, schedulers_[index]->ended(call, outcome, true, now_));
    }

    /// What each answer says of the endpoint.
    void answer(std::size_t index, const Endpoint &endpoint)
    {
        const auto &id = endpoint.listed.record.id;
        schedulers_[index]->loadSeen(id,
                                     {static_cast<int>(endpoint.running.size()),
                                      static_cast<int>(endpoint.waiting.size()), setting_.slots},
                                     now_);
        schedulers_[index]->brittleSeen(
            id, brittle() ? std::optional(ToleratedRejections) : std::nullopt, now_);
    }

    void sendTo(std::size_t index, const Send &send)
    {
        auto &endpoint = endpoints_.at(send.endpoint);
        if (endpoint.fellAt) {
            end(index, send.call, AttemptOutcome::Refused);
            return;
        }
        const auto room = static_cast<std::size_t>(inEffect() ? ReducedRoom : 2 * setting_.slots);
        const bool slotFree = endpoint.running.size() < static_cast<std::size_t>(setting_.slots);
        if (!slotFree && endpoint.waiting.size() >= room) {
            endpoint.rejections.push_back(now_);
            answer(index, endpoint);
            end(index, send.call, AttemptOutcome::NotRun);
            return;
        }
        Attempt attempt{index, send.call, std::nullopt};
        if (slotFree) {
            run(endpoint, attempt);
        } else {
            endpoint.waiting.push_back(attempt);
        }
    }

    void run(Endpoint &endpoint, Attempt attempt)
    {
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        attempt.endsAt =
            now_ + std::chrono::duration_cast<Duration>(setting_.answerTime * factor(random_));
        endpoint.running.push_back(attempt);
        if (setting_.engine) {
            schedulers_[attempt.instance]->answering(attempt.call, now_);
        }
    }

    void advance(Endpoint &endpoint)
    {
        if (endpoint.fellAt) {
            if (now_ - *endpoint.fellAt > RestartTime) {
                endpoint.fellAt.reset();
            }
            return;
        }
        while (!endpoint.rejections.empty() && now_ - endpoint.rejections.front() > seconds(1)) {
            endpoint.rejections.pop_front();
        }
        if (inEffect() && endpoint.rejections.size() > ToleratedRejections) {
            fall(endpoint);
            return;
        }
        std::vector<Attempt> done;
        std::erase_if(endpoint.running, [&](const Attempt &attempt) {
            if (now_ >= *attempt.endsAt) {
                done.push_back(attempt);
            }
            return now_ >= *attempt.endsAt;
        });
        while (!endpoint.waiting.empty()
               && endpoint.running.size() < static_cast<std::size_t>(setting_.slots)) {
            run(endpoint, endpoint.waiting.front());
            endpoint.waiting.pop_front();
        }
        for (const auto &attempt : done) {
            auto &scheduler = *schedulers_[attempt.instance];
            if (!scheduler.knows(attempt.call)) {
                continue;
            }
            answer(attempt.instance, endpoint);
            scheduler.answering(attempt.call, now_);
            outcome_.served += brittle() ? 1 : 0;
            end(attempt.instance, attempt.call, AttemptOutcome::Completed);
        }
    }

    void fall(Endpoint &endpoint)
    {
        ++outcome_.falls;
        endpoint.fellAt = now_;
        endpoint.rejections.clear();
        auto broken = std::move(endpoint.running);
        broken.insert(broken.end(), endpoint.waiting.begin(), endpoint.waiting.end());
        endpoint.running.clear();
        endpoint.waiting.clear();
        for (const auto &attempt : broken) {
            end(attempt.instance, attempt.call, AttemptOutcome::Broken);
        }
    }

    void deliverReports()
    {
        for (std::size_t sender = 0; sender < schedulers_.size(); ++sender) {
            if (now_ < reportAt_[sender]) {
                continue;
            }
            reportAt_[sender] = now_ + ReportInterval;
            const auto report = schedulers_[sender]->regionLoadReport(now_);
            for (std::size_t index = 0; index < schedulers_.size(); ++index) {
                if (index != sender) {
                    apply(index,
                          schedulers_[index]->setRegionLoadReport(ids_[sender], report, now_));
                }
            }
        }
    }

    Setting setting_;
    std::mt19937_64 random_;
    Time begun_ = Time(seconds(1000));
    Time now_ = begun_;
    std::map<EndpointId, Endpoint> endpoints_;
    std::vector<InstanceId> ids_;
    std::vector<std::unique_ptr<Scheduler>> schedulers_;
    std::vector<Time> reportAt_;
    CallId nextCall_ = 1;
    Outcome outcome_;
};

Setting engines(std::size_t instances)
{
    Setting setting;
    setting.instances = instances;
    return setting;
}

Setting plainEndpoints(std::size_t instances)
{
    Setting setting;
    setting.instances = instances;
    setting.endpoints = 6;
    setting.slots = 8;
    setting.engine = false;
    setting.answerTime = milliseconds(60);
    return setting;
}

} // namespace

// Guards against instances that together send more than brittle endpoints have room for. The bound
// is the users': as many falls as 2 and a tenth of the endpoints.
TEST(BrittleEndpointsTest, BurstsDoNotFellBrittleEndpoints)
{
    for (const std::size_t instances : {1, 2, 12}) {
        for (auto setting : {engines(instances), plainEndpoints(instances)}) {
            setting.load = 0.9;
            setting.burstLoad = 3;
            for (unsigned seed = 1; seed <= 2; ++seed) {
                const auto outcome = BrittleSimulation(setting, seed).simulate();
                EXPECT_LE(outcome.falls, 2 + static_cast<int>(setting.endpoints / 10))
                    << instances << " instances, " << setting.slots << " slots, seed " << seed;
            }
        }
    }
}

TEST(BrittleEndpointsTest, BrittleEndpointsAreUsedAtModerateLoad)
{
    constexpr double Served = 0.95;
    for (const std::size_t instances : {1, 2, 12}) {
        for (const auto &setting : {engines(instances), plainEndpoints(instances)}) {
            const auto outcome = BrittleSimulation(setting, 1).simulate();
            EXPECT_GE(outcome.served, Served * outcome.asked)
                << instances << " instances, " << setting.slots << " slots";
        }
    }
}

} // namespace LaburnumChute::Dispatch
