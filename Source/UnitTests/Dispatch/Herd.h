#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Dispatch {

inline constexpr milliseconds Step{5};
/// Interval of the load reports between instances.
inline constexpr milliseconds ReportInterval{250};
inline constexpr const char *ModelName = "model";
inline constexpr const char *DeskName = "desk";

/// Several instances of one region that use the same endpoints. Each endpoint runs as many requests
/// as it has slots and queues the others in order of arrival.
class Herd
{
public:
    virtual ~Herd() = default;

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

    void build(std::size_t instances, std::size_t endpoints, const char *service, int slots,
               const std::string &region = "home")
    {
        service_ = ServiceName(service);
        Catalog::Service traits;
        traits.name = service_;
        if (service_ == ServiceName(ModelName)) {
            traits.engine = Catalog::EngineTraits{8, 300000, true};
        }
        ids_.clear();
        for (std::size_t index = 0; index < instances; ++index) {
            ids_.emplace_back(region + "-" + std::to_string(index));
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
                DispatchOptions(), ids_[index], RegionName(region), index + 1, Time()));
            auto &scheduler = *schedulers_.back();
            scheduler.setServices({{service_, traits}}, now_);
            scheduler.setEndpoints(listed, {}, now_);
            scheduler.setFleet(ids_, instances, {});
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
        objective_ = objective;
        submit(instance, request(objective), work);
    }

    void submit(std::size_t instance, CallFacts facts, Duration work)
    {
        work_[facts.id] = work;
        arrivals_[facts.id] = now_;
        ++counts_.submitted;
        apply(instance, schedulers_[instance]->submit(std::move(facts), now_));
    }

    void apply(std::size_t instance, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                auto &endpoint = endpoints_.at(send->endpoint);
                endpoint.waiting.push_back(
                    {instance, send->call, arrivals_.at(send->call), work_.at(send->call)});
            } else if (const auto *forward = std::get_if<Forward>(&effect)) {
                forwarded(instance, *forward);
            } else if (const auto *reject = std::get_if<Reject>(&effect)) {
                ++counts_.rejected;
                ended(reject->call, AttemptOutcome::NotRun);
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
            ended(job.call, AttemptOutcome::Completed);
            apply(job.instance, schedulers_[job.instance]->ended(
                                    job.call, AttemptOutcome::Completed, false, now_));
        }
    }

    void report(std::size_t from)
    {
        const auto loadReport = schedulers_[from]->regionLoadReport(now_);
        for (std::size_t to = 0; to < schedulers_.size(); ++to) {
            if (to != from) {
                apply(to, schedulers_[to]->setRegionLoadReport(ids_[from], loadReport, now_));
            }
        }
    }

    /// Whether the instance sends its load reports in this step.
    bool reportsNow(std::size_t instance) const
    {
        const auto count = static_cast<int>(schedulers_.size());
        const auto phase = staggered_ ? ReportInterval * static_cast<int>(instance) / count : Step;
        return (now_.time_since_epoch() - phase) % ReportInterval < Step;
    }

    void advance(milliseconds time)
    {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += Step;
            for (auto &[id, endpoint] : endpoints_) {
                finishRunning(endpoint);
                startWaiting(endpoint);
            }
            for (std::size_t index = 0; index < schedulers_.size(); ++index) {
                if (reportsNow(index)) {
                    report(index);
                }
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

    /// A request is to be forwarded to another region.
    virtual void forwarded(std::size_t, const Forward &) { }
    /// A request has got its answer.
    virtual void ended(CallId, AttemptOutcome) { }

    Time now_ = Time(seconds(1000));
    /// Instances report one after another rather than all at once.
    bool staggered_ = false;
    CallId nextId_ = 1;
    ServiceName service_;
    milliseconds objective_{0};
    std::vector<InstanceId> ids_;
    std::vector<std::unique_ptr<Scheduler>> schedulers_;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<CallId, Duration> work_;
    std::map<CallId, Time> arrivals_;
    Counts counts_;
};

} // namespace LaburnumChute::Dispatch
