#include "Support.h"

#include <deque>
#include <map>
#include <random>

namespace LaburnumChute::Dispatch {

namespace {

constexpr const char *ServiceOfRegion = "desk";
constexpr milliseconds Step{10};
constexpr milliseconds ReportInterval{250};
constexpr std::size_t Fanout = 16;
constexpr milliseconds CallTime{60};
constexpr milliseconds Objective{500};
/// Length of the spans in which requests are counted against the limit.
constexpr seconds BoundSpan{4};
/// Time within which every instance enforces an announced limit.
constexpr seconds SettlingTime{5};

double allowedIn(double perSecond)
{
    return 1.5 * perSecond * Common::toSeconds(BoundSpan) + 5;
}

/// Simulates the instances of a region whose endpoints may announce rate limits.
class SimulatedRegion
{
public:
    SimulatedRegion(std::size_t instances, const std::vector<std::optional<double>> &limits)
    {
        Catalog::Service service;
        service.name = ServiceName(ServiceOfRegion);
        std::vector<Catalog::ListedEndpoint> listed;
        for (std::size_t index = 0; index < limits.size(); ++index) {
            Catalog::ListedEndpoint endpoint;
            endpoint.record.id = EndpointId("e" + std::to_string(index));
            endpoint.record.service = service.name;
            endpoint.record.address = endpoint.record.id.text() + ":80";
            endpoint.record.slots = 16;
            listed.push_back(endpoint);
            limits_[endpoint.record.id] = limits[index];
        }
        std::vector<double> weights;
        for (std::size_t index = 0; index < instances; ++index) {
            ids_.emplace_back("instance-" + std::to_string(index));
            reportAt_.push_back(now_ + ReportInterval * (index + 1) / instances);
            // The busiest instance gets almost four times the load of the least busy one.
            weights.push_back(1
                              + 3.0 * static_cast<double>(index)
                                    / static_cast<double>(std::max<std::size_t>(1, instances)));
        }
        chooseInstance_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
        for (std::size_t index = 0; index < instances; ++index) {
            schedulers_.push_back(std::make_unique<Scheduler>(
                DispatchOptions(), ids_[index], RegionName("home"), index + 1, Time()));
            schedulers_.back()->setServices({{service.name, service}}, now_);
            schedulers_.back()->setEndpoints(listed, {}, now_);
            schedulers_.back()->setFleet(ids_, instances, {});
        }
    }

    void simulate(seconds time, double requestsPerSecond)
    {
        const auto end = now_ + time;
        std::poisson_distribution<int> arrivals(requestsPerSecond * Common::toSeconds(Step));
        while (now_ < end) {
            now_ += Step;
            finishCalls();
            for (int left = arrivals(random_); left > 0; --left) {
                submitCall();
            }
            sendReports();
            for (std::size_t index = 0; index < schedulers_.size(); ++index) {
                apply(index, schedulers_[index]->tick(now_));
            }
        }
    }
    void setLimit(const std::string &endpoint, std::optional<double> perSecond)
    {
        limits_[EndpointId(endpoint)] = perSecond;
    }
    /// Stops the last instances of the list at once and informs the others.
    void stopInstances(std::size_t count)
    {
        ids_.resize(ids_.size() - count);
        schedulers_.resize(ids_.size());
        std::erase_if(running_, [this](const Run &run) { return run.instance >= ids_.size(); });
        for (const auto &scheduler : schedulers_) {
            scheduler->setFleet(ids_, ids_.size(), {});
        }
        chooseInstance_ =
            std::discrete_distribution<std::size_t>(ids_.size(), 0, 1, [](double) { return 1.0; });
    }

    Time now() const
    {
        return now_;
    }
    /// Largest number of requests to the endpoint in any BoundSpan that begins at or after the
    /// time.
    std::size_t mostInSpan(const std::string &endpoint, Time after) const
    {
        const auto &times = arrivals_.at(EndpointId(endpoint));
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > BoundSpan || times[first] < after) {
                if (++first > last) {
                    break;
                }
            }
            most = std::max(most, last + 1 - std::min(first, last + 1));
        }
        return most;
    }
    double perSecondSince(const std::string &endpoint, Time start) const
    {
        const auto &times = arrivals_.at(EndpointId(endpoint));
        const auto count =
            std::count_if(times.begin(), times.end(), [&](Time at) { return at >= start; });
        return static_cast<double>(count) / Common::toSeconds(now_ - start);
    }
    Duration longestWaitForRejection() const
    {
        return longestRejectedWait_;
    }
    int rejectedWithoutRetryAfter() const
    {
        return rejectedWithoutRetryAfter_;
    }

private:
    struct Run
    {
        std::size_t instance = 0;
        CallId call = 0;
        EndpointId endpoint;
        Time until{};
    };

    void submitCall()
    {
        CallFacts call;
        call.id = nextId_++;
        call.service = ServiceName(ServiceOfRegion);
        call.repeatable = true;
        call.kind = RequestKind::Idempotent;
        call.arrivedAt = now_;
        call.objectiveAt = now_ + Objective;
        call.deadline = now_ + seconds(8);
        call.fingerprint = call.id;
        arrivedAt_[call.id] = now_;
        const auto instance = chooseInstance_(random_);
        apply(instance, schedulers_[instance]->submit(call, now_));
    }

    void apply(std::size_t instance, const Effects &effects)
    {
        for (const auto &effect : effects) {
            if (const auto *send = std::get_if<Send>(&effect)) {
                running_.push_back({instance, send->call, send->endpoint, now_ + CallTime});
                arrivals_[send->endpoint].push_back(now_);
            } else if (const auto *reject = std::get_if<Reject>(&effect)) {
                const auto waited = now_ - arrivedAt_.at(reject->call);
                longestRejectedWait_ = std::max<Duration>(longestRejectedWait_, waited);
                rejectedWithoutRetryAfter_ += reject->retryAfter <= Duration(0) ? 1 : 0;
            }
        }
    }

    void finishCalls()
    {
        std::vector<Run> finished;
        std::erase_if(running_, [&](const Run &run) {
            if (run.until <= now_) {
                finished.push_back(run);
            }
            return run.until <= now_;
        });
        for (const auto &run : finished) {
            auto &scheduler = *schedulers_[run.instance];
            scheduler.limitSeen(run.endpoint, limits_.at(run.endpoint), now_);
            scheduler.answering(run.call, now_);
            apply(run.instance, scheduler.ended(run.call, AttemptOutcome::Completed, false, now_));
        }
    }

    void sendReports()
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

    Time now_ = Time(seconds(1000));
    std::mt19937 random_{5};
    CallId nextId_ = 1;
    std::vector<InstanceId> ids_;
    std::vector<Time> reportAt_;
    std::discrete_distribution<std::size_t> chooseInstance_;
    std::vector<std::unique_ptr<Scheduler>> schedulers_;
    std::map<EndpointId, std::optional<double>> limits_;
    std::map<EndpointId, std::vector<Time>> arrivals_;
    std::map<CallId, Time> arrivedAt_;
    std::vector<Run> running_;
    Duration longestRejectedWait_{0};
    int rejectedWithoutRetryAfter_ = 0;
};

constexpr std::size_t InstanceCounts[] = {1, 4, 40, 120};

} // namespace

// Guards against the endpoint receiving a multiple of its limit because each instance uses all of
// it.
TEST(RateLimitTest, InstancesTogetherKeepToTheLimitOfAnEndpoint)
{
    for (const auto instances : InstanceCounts) {
        for (const double limit : {0.3, 1.0, 5.4, 20.0}) {
            SimulatedRegion region(instances, {limit, std::nullopt, std::nullopt, std::nullopt});
            const auto start = region.now();
            region.simulate(seconds(20), 120);
            EXPECT_LE(region.mostInSpan("e0", start + SettlingTime), allowedIn(limit))
                << instances << " instances, limit " << limit;
            EXPECT_GT(region.perSecondSince("e1", start), limit) << instances;
        }
    }
}

// Guards against a division that leaves much of the limit unused under unequal load.
TEST(RateLimitTest, MostOfTheLimitIsUsedWhenEveryEndpointHasOne)
{
    for (const auto instances : InstanceCounts) {
        constexpr double Limit = 8;
        SimulatedRegion region(instances, {Limit, Limit, Limit, Limit});
        region.simulate(seconds(5), 120);
        const auto start = region.now();
        region.simulate(seconds(15), 120);
        double used = 0;
        for (const auto *endpoint : {"e0", "e1", "e2", "e3"}) {
            EXPECT_LE(region.mostInSpan(endpoint, start), allowedIn(Limit)) << instances;
            used += region.perSecondSince(endpoint, start) / Limit / 4;
        }
        EXPECT_GE(used, 0.75) << instances;
        EXPECT_EQ(region.rejectedWithoutRetryAfter(), 0) << instances;
        EXPECT_LE(region.longestWaitForRejection(), Objective) << instances;
    }
}

// Guards against the remaining instances taking more than the fractions of the stopped ones.
TEST(RateLimitTest, LimitHoldsWhileInstancesStop)
{
    for (const std::size_t instances : {4, 40, 120}) {
        constexpr double Limit = 5.4;
        SimulatedRegion region(instances, {Limit, std::nullopt});
        const auto start = region.now();
        region.simulate(seconds(8), 120);
        region.stopInstances(instances / 2);
        region.simulate(seconds(8), 120);
        region.stopInstances(instances / 4);
        region.simulate(seconds(8), 120);
        EXPECT_LE(region.mostInSpan("e0", start + SettlingTime), allowedIn(Limit)) << instances;
    }
}

// Guards against an endpoint being underused for good after its limit has ended.
TEST(RateLimitTest, EndedLimitIsDroppedByAllInstances)
{
    for (const auto instances : InstanceCounts) {
        SimulatedRegion region(instances, {0.0, std::nullopt});
        region.simulate(seconds(8), 120);
        region.setLimit("e0", std::nullopt);
        region.simulate(seconds(8), 120);
        const auto ended = region.now();
        region.simulate(seconds(4), 120);
        EXPECT_GT(region.perSecondSince("e0", ended), 30) << instances;
    }
}

// Guards against an older report in a peer's heartbeat restoring a limit that has ended.
TEST_F(SchedulerTest, OlderLimitReportDoesNotReplaceANewerOne)
{
    setEndpoints({endpoint("a", Plain)});
    scheduler_.limitSeen(EndpointId("a"), 0.3, now_);
    EXPECT_EQ(only<Send>(scheduler_.submit(facts(Plain), now_)), nullptr);
    pass(milliseconds(500));
    EXPECT_TRUE(scheduler_.limitSeen(EndpointId("a"), std::nullopt, now_));
    RegionLoadReport old;
    old.limits = {{shortId(EndpointId("a")), true, 0.3, 400}};
    scheduler_.setRegionLoadReport(InstanceId("two"), old, now_);
    EXPECT_NE(only<Send>(scheduler_.submit(facts(Plain), now_)), nullptr);
}

// Guards against heartbeats that grow with the number of endpoints without a limit.
TEST_F(SchedulerTest, OnlyLimitsAndRecentlyEndedOnesAreReported)
{
    setEndpoints({endpoint("a", Plain), endpoint("b", Plain)});
    scheduler_.limitSeen(EndpointId("a"), std::nullopt, now_);
    EXPECT_TRUE(scheduler_.regionLoadReport(now_).limits.empty());
    pass(milliseconds(100));
    scheduler_.limitSeen(EndpointId("a"), 4.0, now_);
    EXPECT_EQ(scheduler_.regionLoadReport(now_).limits.size(), 1U);
    pass(milliseconds(100));
    scheduler_.limitSeen(EndpointId("a"), std::nullopt, now_);
    EXPECT_FALSE(scheduler_.regionLoadReport(now_).limits.at(0).limited);
    pass(milliseconds(5000));
    EXPECT_TRUE(scheduler_.regionLoadReport(now_).limits.empty());
}

// Guards against a peer's report being ignored until the endpoint itself has answered.
TEST_F(SchedulerTest, LimitReportedByAPeerIsEnforced)
{
    setEndpoints({endpoint("a", Plain)});
    RegionLoadReport loadReport;
    loadReport.limits = {{shortId(EndpointId("a")), true, 0.3, 10}};
    scheduler_.setRegionLoadReport(InstanceId("two"), loadReport, now_);
    const auto effects = scheduler_.submit(facts(Plain), now_);
    const auto *reject = only<Reject>(effects);
    ASSERT_NE(reject, nullptr);
    EXPECT_GT(reject->retryAfter, milliseconds(300));
}

// Guards against endpoints that each have less than one request per second free, and together none.
TEST_F(SchedulerTest, OtherRegionsAreToldTheFreeRateOfSlowEndpoints)
{
    constexpr int Endpoints = 8;
    std::vector<Catalog::ListedEndpoint> listed;
    for (int index = 0; index < Endpoints; ++index) {
        listed.push_back(endpoint("e" + std::to_string(index), Plain));
    }
    setEndpoints(listed);
    for (const auto &each : listed) {
        scheduler_.limitSeen(each.record.id, 0.5, now_);
    }
    const auto report = scheduler_.crossRegionLoadReport(now_);
    const auto found = std::find_if(
        report.spareCapacities.begin(), report.spareCapacities.end(),
        [](const auto &spare) { return spare.service == shortId(ServiceName(Plain)); });
    ASSERT_NE(found, report.spareCapacities.end());
    EXPECT_GE(found->freePerSecond, Endpoints / 4);
}

} // namespace LaburnumChute::Dispatch
