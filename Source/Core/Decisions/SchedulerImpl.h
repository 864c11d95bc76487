#pragma once

// Internal to the library: the implementation of Scheduler.

#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "Decisions/Admission.h"
#include "Decisions/DecisionTrace.h"
#include "Decisions/DemandMeter.h"
#include "Decisions/Ejection.h"
#include "Decisions/EndpointTable.h"
#include "Decisions/PrefixIndex.h"
#include "Decisions/Quarantine.h"
#include "Decisions/RetryBudget.h"
#include "Decisions/Router.h"
#include "Decisions/Scheduler.h"
#include "Decisions/Spill.h"
#include "Decisions/WaitQueue.h"

namespace LaburnumChute::Decisions {

/// One attempt of a request on an endpoint.
struct Attempt
{
    EndpointHandle handle = 0;
    EndpointId endpoint;
    Time sentAt{};
    double prefillTokens = 0;
    Duration expected{0};
    bool firstToken = false;
    /// The batch was full when it was sent, so its delay is no information about the endpoint.
    bool queuedForSlot = false;
    bool hedge = false;
    /// Quarantine counts it as an attempt of a suspect.
    bool countedAsSuspect = false;
    /// The death of its endpoint was already reported to quarantine.
    bool deathReported = false;
    bool cancelSent = false;
};

enum class Phase {
    Waiting,
    /// Waiting before a retry, or until a suspect may run.
    BackingOff,
    Running,
    Forwarded,
};

struct RequestState
{
    RequestFacts facts;
    QueuedRequest waiting;
    Phase phase = Phase::Waiting;
    Time submittedAt{};
    Time nextAttemptAt{};
    std::vector<Attempt> attempts;
    /// Endpoints to which the request was sent.
    std::vector<EndpointId> triedEndpoints;
    int attemptCount = 0;
    std::int64_t generated = 0;
    bool wasForwarded = false;
    /// An earlier attempt may have run, so a later rejection must not report "not run".
    bool mayHaveRun = false;
    /// The caller left or the response is complete; only the ends of attempts are still to come.
    bool done = false;
};

class Scheduler::Impl
{
public:
    Impl(const SchedulerOptions &schedulerOptions, InstanceId self, RegionName homeRegion,
         std::uint64_t seed);
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    // Inputs.
    void submit(RequestFacts facts, Time now, Effects &effects);
    void cancel(const RequestId &id, Time now, Effects &effects);
    void firstToken(const RequestId &id, const EndpointId &endpoint, Time now, Effects &effects);
    void finished(const RequestId &id, const EndpointId &endpoint, Outcome outcome, Time now,
                  Effects &effects);
    void endpointsChanged(const std::vector<EndpointFacts> &endpoints, Time now);
    void tick(Time now, Effects &effects);
    void drain(const Target &base, Time now, Effects &effects);
    bool serveNext(WaitQueue &queue, Time now, Effects &effects);
    bool serve(const RequestId &id, WaitQueue &queue, Time now, Effects &effects);
    void drainAll(Time now, Effects &effects);

    // Queries.
    bool dispatchesImmediately() const;
    double workTokens(const RequestFacts &facts) const;
    double prefillWeight(const Target &base) const;
    double prefillRate(const Target &base) const;
    HomeEstimate homeEstimate(const RequestState &request, Time now) const;
    bool homeAllowed(const RequestFacts &facts) const;
    bool usable(const RequestState &request, EndpointHandle handle) const;
    bool hasUntriedEndpoint(const RequestState &request) const;
    bool mostEndpointsFailing(const Target &base) const;
    bool suspectMayUse(const RequestFacts &facts, EndpointHandle handle, Time now) const;
    std::size_t waitingRequests() const;
    std::optional<Time> nextWakeup() const;
    nlohmann::json dump(Time now) const;

    // Actions.
    std::optional<EndpointChoice> chooseEndpoint(const RequestState &request, Time now,
                                                 std::optional<EndpointHandle> except = {});
    void dispatch(RequestState &request, const EndpointChoice &choice, bool hedge, Time now,
                  Effects &effects);
    bool forward(RequestState &request, Time now, Effects &effects);
    bool forward(RequestState &request, const HomeEstimate &estimate, Time now, Effects &effects);
    void enqueue(RequestState &request, Time now);
    void dequeue(const RequestState &request, Time now);
    void backOff(RequestState &request, Time until);
    void reject(const RequestId &id, RejectReason reason, RunState run, Duration retryAfter,
                Time now, Effects &effects);
    void rejectWithoutEndpoint(const RequestId &id, Time now, Effects &effects);
    void scheduleAtHome(const RequestId &id, Time now, Effects &effects);
    void releaseAttempt(RequestState &request, const Attempt &ended, Outcome outcome, Time now);
    void endpointDied(EndpointHandle handle, Time now);
    void handleFailure(const RequestId &id, Outcome outcome, Time now, Effects &effects);
    void forwardEnded(const RequestId &id, Outcome outcome, Time now, Effects &effects);
    void cancelAttempts(RequestState &request, std::optional<EndpointHandle> except,
                        Effects &effects);
    void sendDueRetries(Time now, Effects &effects);
    void rejectExpired(Time now, Effects &effects);
    void forwardOldest(Time now, Effects &effects);
    void sendDueHedges(Time now, Effects &effects);
    void evaluateEndpoints(Time now);
    void recordTrace(const RequestId &id, Time now, const char *decision, std::string subject = {},
                     Duration expected = Duration(0), double tokens = 0);

    SchedulerOptions options;
    InstanceId self;
    RegionName home;
    std::mt19937_64 random;
    EndpointTable table;
    PrefixIndex prefixes;
    Ejection ejection;
    Quarantine quarantine;
    Router router;
    Admission admission;
    Spill spill;
    RetryBudget budget;
    DemandMeter demand;
    DecisionTrace trace;
    std::unordered_map<RequestId, RequestState> requests;
    std::map<Target, WaitQueue> queues;
    std::unordered_map<EndpointHandle, std::unordered_set<RequestId>> requestsByEndpoint;
    std::set<std::pair<Time, RequestId>> backingOff;
    std::set<std::pair<Time, RequestId>> hedgeTimes;
    /// Ratio of generated to expected output tokens, by target.
    std::map<Target, double> outputRatio;
    Time lastNow{};
    Time nextEvaluationAt{};
};

} // namespace LaburnumChute::Decisions
