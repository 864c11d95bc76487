#include <deque>

#include <gtest/gtest.h>

#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr milliseconds Step{5};
/// Interval of the load reports between instances.
constexpr milliseconds ReportInterval{250};
constexpr const char *ModelName = "model";
constexpr const char *DeskName = "desk";

/// Several instances of one region that use the same endpoints. Each endpoint runs as many requests
/// as it has slots and queues the others in order of arrival.
class HerdTest : public testing::Test
{
protected:
    struct Job
    {
        std::size_t instance;
        CallId call;
        Time arrivedAt;
        Duration work;
    };
    struct Endpoint
    {
        int slots = 0;
        std::deque<Job> waiting;
        std::vector<std::pair<Time, Job>> running;
        std::size_t mostWaiting = 0;
    };
    struct Counts
    {
        int submitted = 0;
        int inTime = 0;
        int late = 0;
        int rejected = 0;
    };

    void build(std::size_t instances, std::size_t endpoints, const char *service, int slots)
    {
        service_ = ServiceName(service);
        Catalog::Service traits;
        traits.name = service_;
        if (service_ == ServiceName(ModelName)) {
            traits.engine = Catalog::EngineTraits{8, 300000, true};
        }
        std::vector<InstanceId> ids;
        for (std::size_t index = 0; index < instances; ++index) {
            ids.emplace_back("instance-" + std::to_string(index));
        }
        std::vector<Catalog::ListedEndpoint> listed;
        for (std::size_t index = 0; index < endpoints; ++index) {
            Catalog::ListedEndpoint endpoint;
            endpoint.record.id = EndpointId("endpoint-" + std::to_string(index));
            endpoint.record.service = service_;
            endpoint.record.address = endpoint.record.id.text() + ":80";
            endpoint.record.slots = slots;
            listed.push_back(endpoint);
            endpoints_[endpoint.record.id].slots = slots;
        }
        for (std::size_t index = 0; index < instances; ++index) {
            schedulers_.push_back(std::make_unique<Scheduler>(
                DispatchOptions(), ids[index], RegionName("home"), index + 1, Time()));
            auto &scheduler = *schedulers_.back();
            scheduler.setServices({{service_, traits}}, now_);
            scheduler.setEndpoints(listed, {}, now_);
            scheduler.setFleet(ids, instances, {});
        }
    }

    CallFacts request(milliseconds objective)
    {
        CallFacts facts;
        facts.id = nextId_++;
        facts.service = service_;
        facts.kind =
            service_ == ServiceName(ModelName) ? RequestKind::Stream : RequestKind::Idempotent;
        facts.arrivedAt = now_;
        facts.objectiveAt = now_ + objective;
        facts.deadline = now_ + seconds(8);
        facts.promptTokens = 300;
        facts.fingerprint = facts.id;
        return facts;
    }

    void arrive(std::size_t instance, milliseconds objective, Duration work)
    {
        auto facts = request(objective);
        work_[facts.id] = work;
        arrivals_[facts.id] = now_;
        ++counts_.submitted;
        objective_ = objective;
        apply(instance, schedulers_[instance]->submit(std::move(facts), now_));
    }

    void apply(std::size_t instance, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                auto &endpoint = endpoints_.at(send->endpoint);
                endpoint.waiting.push_back(
                    {instance, send->call, arrivals_.at(send->call), work_.at(send->call)});
            } else if (std::get_if<Reject>(&effect) != nullptr) {
                ++counts_.rejected;
            }
        }
    }

    void startWaiting(Endpoint &endpoint)
    {
        while (!endpoint.waiting.empty()
               && endpoint.running.size() < static_cast<std::size_t>(endpoint.slots)) {
            const auto job = endpoint.waiting.front();
            endpoint.waiting.pop_front();
            schedulers_[job.instance]->answering(job.call, now_);
            endpoint.running.emplace_back(now_ + job.work, job);
        }
        endpoint.mostWaiting = std::max(endpoint.mostWaiting, endpoint.waiting.size());
    }

    void finishRunning(Endpoint &endpoint)
    {
        std::vector<Job> finished;
        std::erase_if(endpoint.running, [&](const auto &entry) {
            if (entry.first <= now_) {
                finished.push_back(entry.second);
            }
            return entry.first <= now_;
        });
        for (const auto &job : finished) {
            const bool inTime = now_ - job.arrivedAt <= objective_ + job.work;
            ++(inTime ? counts_.inTime : counts_.late);
            apply(job.instance, schedulers_[job.instance]->ended(
                                    job.call, AttemptOutcome::Completed, false, now_));
        }
    }

    void report()
    {
        for (std::size_t from = 0; from < schedulers_.size(); ++from) {
            const auto loadReport = schedulers_[from]->regionLoadReport(now_);
            const InstanceId sender("instance-" + std::to_string(from));
            for (std::size_t to = 0; to < schedulers_.size(); ++to) {
                if (to != from) {
                    apply(to, schedulers_[to]->setRegionLoadReport(sender, loadReport, now_));
                }
            }
        }
    }

    void advance(milliseconds time)
    {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += Step;
            for (auto &[id, endpoint] : endpoints_) {
                finishRunning(endpoint);
                startWaiting(endpoint);
            }
            if (now_ - reportedAt_ >= ReportInterval) {
                reportedAt_ = now_;
                report();
            }
            for (std::size_t index = 0; index < schedulers_.size(); ++index) {
                apply(index, schedulers_[index]->tick(now_));
            }
        }
    }

    /// Submits requests at a fixed rate to randomly chosen instances.
    void simulate(double perSecond, milliseconds time, milliseconds objective, Duration work)
    {
        std::mt19937 random(11);
        std::uniform_int_distribution<std::size_t> instance(0, schedulers_.size() - 1);
        double due = 0;
        for (milliseconds elapsed(0); elapsed < time; elapsed += Step) {
            for (due += perSecond * Common::toSeconds(Step); due >= 1; due -= 1) {
                arrive(instance(random), objective, work);
            }
            advance(Step);
        }
        advance(milliseconds(2000));
    }

    std::size_t mostWaiting() const
    {
        std::size_t most = 0;
        for (const auto &[id, endpoint] : endpoints_) {
            most = std::max(most, endpoint.mostWaiting);
        }
        return most;
    }

    Time now_ = Time(seconds(1000));
    Time reportedAt_{};
    CallId nextId_ = 1;
    ServiceName service_;
    milliseconds objective_{0};
    std::vector<std::unique_ptr<Scheduler>> schedulers_;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<CallId, Duration> work_;
    std::map<CallId, Time> arrivals_;
    Counts counts_;
};

// Guards against the thundering herd of twelve instances at a peak. Load reports are a quarter of a
// second old, and in that time every engine gets ten requests: all instances would choose the same
// seemingly idle engine, and callers would wait there behind forty others while other engines are
// idle.
TEST_F(HerdTest, InstancesDoNotOverloadOneEngine)
{
    build(12, 16, ModelName, 16);
    simulate(700, milliseconds(4000), milliseconds(600), milliseconds(330));
    EXPECT_LE(mostWaiting(), 4U);
    EXPECT_GT(counts_.inTime, counts_.submitted * 95 / 100);
}

// The same for a plain service with few slots and short calls, where the requests in a load report
// of a quarter of a second ago have ended. Instances that use such reports unchanged leave slots
// empty and reject callers.
TEST_F(HerdTest, ShortCallsKeepAllSlotsOfAPlainServiceBusy)
{
    build(12, 3, DeskName, 6);
    // Nine tenths of the capacity of three endpoints with six slots and calls of 60 ms.
    simulate(270, milliseconds(4000), milliseconds(500), milliseconds(60));
    EXPECT_LT(counts_.rejected, counts_.submitted / 50);
    EXPECT_GT(counts_.inTime, counts_.submitted * 95 / 100);
}

} // namespace

} // namespace LaburnumChute::Dispatch
