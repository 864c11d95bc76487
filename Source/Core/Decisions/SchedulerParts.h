#pragma once

// Internal to the library: the state that the inputs of Scheduler work on.

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

/// One try of a request on one endpoint.
struct Try
{
    EndpointHandle handle = 0;
    EndpointId endpoint;
    Time sentAt{};
    double prefillTokens = 0;
    Duration expected{0};
    bool firstToken = false;
    /// The batch was full as it was sent, so that its delay says nothing about the endpoint.
    bool waitsForPlace = false;
    bool hedge = false;
    /// Quarantine counts it as a try of a suspect.
    bool countedSuspect = false;
    /// Its endpoint's death was told to quarantine already.
    bool deathTold = false;
    bool cancelSent = false;
};

enum class Phase {
    Waiting,
    /// Before a retry, or until a suspect may run.
    BackingOff,
    Running,
    Forwarded,
};

struct RequestState
{
    RequestFacts facts;
    Waiting waiting;
    Phase phase = Phase::Waiting;
    Time submittedAt{};
    Time nextTryAt{};
    std::vector<Try> tries;
    /// Endpoints that had it.
    std::vector<EndpointId> tried;
    int attempts = 0;
    std::int64_t generated = 0;
    bool wasForwarded = false;
    /// An earlier try may have run: no later refusal may say "not run".
    bool mayHaveRun = false;
    /// The caller left, or the answer is whole: what is left are ends of tries.
    bool done = false;
};

class Scheduler::Parts
{
public:
    Parts(const SchedulerOptions &schedulerOptions, InstanceId self, RegionName homeRegion,
          std::uint64_t seed);
    Parts(const Parts &) = delete;
    Parts &operator=(const Parts &) = delete;

    // What the inputs do.
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

    // Questions.
    bool sendsAtOnce() const;
    double workTokens(const RequestFacts &facts) const;
    double prefillWeight(const Target &base) const;
    double prefillRate(const Target &base) const;
    HomeOffer homeOffer(const RequestState &request, Time now) const;
    bool homeAllowed(const RequestFacts &facts) const;
    bool usable(const RequestState &request, EndpointHandle handle) const;
    bool untriedLeft(const RequestState &request) const;
    bool suffering(const Target &base) const;
    bool suspectMayUse(const RequestFacts &facts, EndpointHandle handle, Time now) const;
    std::size_t waitingRequests() const;
    std::optional<Time> nextWakeup() const;
    nlohmann::json dump(Time now) const;

    // Steps.
    std::optional<Placed> place(const RequestState &request, Time now,
                                std::optional<EndpointHandle> except = {});
    void dispatch(RequestState &request, const Placed &placed, bool hedge, Time now,
                  Effects &effects);
    bool forward(RequestState &request, Time now, Effects &effects);
    bool forward(RequestState &request, const HomeOffer &offer, Time now, Effects &effects);
    void enqueue(RequestState &request, Time now);
    void unqueue(const RequestState &request, Time now);
    void backOff(RequestState &request, Time until);
    void refuse(const RequestId &id, RejectReason reason, RunState run, Duration retryAfter,
                Time now, Effects &effects);
    void refuseWithoutPlace(const RequestId &id, Time now, Effects &effects);
    void settleAtHome(const RequestId &id, Time now, Effects &effects);
    void releaseTry(RequestState &request, const Try &ended, Outcome outcome, Time now);
    void endpointDied(EndpointHandle handle, Time now);
    void afterFailure(const RequestId &id, Outcome outcome, Time now, Effects &effects);
    void forwardEnded(const RequestId &id, Outcome outcome, Time now, Effects &effects);
    void cancelTries(RequestState &request, std::optional<EndpointHandle> except, Effects &effects);
    void retryDue(Time now, Effects &effects);
    void refuseExpired(Time now, Effects &effects);
    void spillOldest(Time now, Effects &effects);
    void hedgeDue(Time now, Effects &effects);
    void review(Time now);
    void note(const RequestId &id, Time now, const char *what, std::string subject = {},
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
    std::unordered_map<EndpointHandle, std::unordered_set<RequestId>> onSlot;
    std::set<std::pair<Time, RequestId>> backingOff;
    std::set<std::pair<Time, RequestId>> hedgeAt;
    /// Generated tokens as a share of the expected ones, by target.
    std::map<Target, double> outputRatio;
    Time lastNow{};
    Time reviewAt{};
};

} // namespace LaburnumChute::Decisions
