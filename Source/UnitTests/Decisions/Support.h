#pragma once

// Test data and a harness that simulates the endpoints of a scheduler.

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Decisions/Decisions.h"

namespace LaburnumChute::Decisions::Testing {

inline const RegionName Sapporo("sapporo");
inline const RegionName Asahikawa("asahikawa");
inline const RegionName Hakodate("hakodate");
inline const Target Inscription = Target::model(ModelName("inscription"));

inline EndpointFacts engine(const std::string &id)
{
    return {EndpointId(id), {Inscription}, {}, Sapporo, FailureDomainName("a"), false};
}

inline std::vector<EndpointFacts> engines(int count)
{
    std::vector<EndpointFacts> result;
    for (int index = 0; index < count; ++index) {
        result.push_back(engine("e" + std::to_string(index)));
    }
    return result;
}

inline LoadReport idleReport()
{
    LoadReport report;
    report.batchLimit = 8;
    report.stepTime = milliseconds(20);
    report.prefillTokensPerSecond = 5000;
    report.kvLimitTokens = 100000;
    return report;
}

inline RequestFacts request(const std::string &id, const std::string &customer = "works")
{
    RequestFacts facts;
    facts.id = RequestId(id);
    facts.customer = CustomerName(customer);
    facts.target = Inscription;
    facts.allowedRegions = {Sapporo};
    facts.promptTokens = 500;
    facts.expectedOutputTokens = 100;
    return facts;
}

inline RegionSummary summary(const RegionName &region)
{
    RegionSummary result;
    result.region = region;
    result.target = Inscription;
    result.freeTokensPerSecond = 2000;
    result.linkDelay = milliseconds(55);
    result.linkMegabitsPerSecond = 140;
    result.prefillTokensPerSecond = 5000;
    return result;
}

template <typename Kind>
std::vector<Kind> all(const Effects &effects)
{
    std::vector<Kind> result;
    for (const auto &effect : effects) {
        if (const auto *found = std::get_if<Kind>(&effect)) {
            result.push_back(*found);
        }
    }
    return result;
}

template <typename Kind>
bool has(const Effects &effects)
{
    return !all<Kind>(effects).empty();
}

/// Lets only one request queue on an engine beyond its batch limit, so that few requests fill a
/// region.
inline SchedulerOptions lowSlackOptions()
{
    SchedulerOptions options;
    options.concurrency.slack = 1;
    return options;
}

/// A scheduler, its clock, and the requests on each endpoint.
class Harness
{
public:
    explicit Harness(SchedulerOptions options = lowSlackOptions(), std::uint64_t seed = 1)
        : scheduler(options, InstanceId("i1"), Sapporo, seed)
    {
    }

    /// Replaces the endpoints by idle engines with a current load report.
    void addEngines(int count)
    {
        scheduler.updateEndpoints(engines(count), now);
        reportAll(count);
    }
    void reportAll(int count)
    {
        for (int index = 0; index < count; ++index) {
            auto report = idleReport();
            report.running = static_cast<std::int64_t>(running["e" + std::to_string(index)].size());
            recordDispatches(
                scheduler.reportLoad(EndpointId("e" + std::to_string(index)), report, now));
        }
    }
    Effects submit(RequestFacts facts)
    {
        return recordDispatches(scheduler.submit(std::move(facts), now));
    }
    Effects cancel(const std::string &id)
    {
        return recordDispatches(scheduler.cancel(RequestId(id), now));
    }
    Effects tickAfter(Duration passed)
    {
        now += passed;
        return recordDispatches(scheduler.tick(now));
    }
    std::string endpointOf(const std::string &id) const
    {
        for (const auto &[endpoint, requests] : running) {
            if (requests.count(id) != 0) {
                return endpoint;
            }
        }
        return {};
    }
    Effects firstToken(const std::string &id)
    {
        return recordDispatches(
            scheduler.firstToken(RequestId(id), EndpointId(endpointOf(id)), now));
    }
    Effects finish(const std::string &id, Outcome outcome = Outcome::Completed)
    {
        return finishOn(id, endpointOf(id), outcome);
    }
    Effects finishOn(const std::string &id, const std::string &endpoint, Outcome outcome)
    {
        // Copied, since the id may refer to an element of the set that is modified here.
        const RequestId request(id);
        running[endpoint].erase(id);
        return recordDispatches(scheduler.finished(request, EndpointId(endpoint), outcome, now));
    }
    /// Ends all requests of the endpoint with Outcome::EndpointDied.
    Effects killEndpoint(const std::string &endpoint)
    {
        Effects all;
        const auto requests = running[endpoint];
        for (const auto &id : requests) {
            const auto effects = finishOn(id, endpoint, Outcome::EndpointDied);
            all.insert(all.end(), effects.begin(), effects.end());
        }
        return all;
    }
    Effects recordDispatches(Effects effects)
    {
        for (const auto &sent : all<Dispatch>(effects)) {
            running[sent.endpoint.text()].insert(sent.request.text());
            dispatchOrder.push_back(sent.request.text());
        }
        return effects;
    }

    Time now = Time() + std::chrono::hours(1);
    Scheduler scheduler;
    std::map<std::string, std::set<std::string>> running;
    /// Requests in the order of their dispatch.
    std::vector<std::string> dispatchOrder;
};

} // namespace LaburnumChute::Decisions::Testing
