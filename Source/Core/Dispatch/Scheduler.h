#pragma once

#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "Decisions/Decisions.h"
#include "Dispatch/Call.h"
#include "Dispatch/CrashAttribution.h"
#include "Dispatch/EndpointHealth.h"
#include "Dispatch/EndpointTable.h"
#include "Dispatch/Facts.h"
#include "Dispatch/Options.h"
#include "Dispatch/PauseModel.h"
#include "Dispatch/Placement.h"
#include "Dispatch/Reachability.h"
#include "Dispatch/RetryBudget.h"
#include "Dispatch/SpareCapacity.h"
#include "Dispatch/StreamGrouping.h"

namespace LaburnumChute::Dispatch {

/// Makes all decisions on the relayed requests of one instance: where and when each is sent, and
/// whether it is rejected instead.
///
/// Load pattern: long prompts with large shared parts beside many short ones; a peak in one region
/// while others are idle; endpoints that start and stop. A request is sent to the endpoint of its
/// region with the shortest expected time to the first byte. That time depends on the endpoint's
/// prefill queue, on the parts of the prompt that are missing in its prefix cache, and on its past
/// slowness. A request that cannot be sent in time is queued here, where it costs nothing if its
/// caller leaves; a request that would miss its objective in any case is rejected at once.
///
/// Each submitted request results in exactly one of: Reject; Fail; or a Send or Forward that ends
/// with ended(), which may return the next effect. Not thread-safe.
class Scheduler
{
public:
    /// @param startedAt start time of this process
    Scheduler(DispatchOptions options, InstanceId self, RegionName home, std::uint64_t seed,
              Time startedAt);

    // Information about endpoints, instances and regions.

    Effects setServices(const std::map<ServiceName, Catalog::Service> &services, Time now);
    /// Endpoints of the own region.
    Effects setEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints,
                         const std::set<Common::FailureDomainName> &evacuated, Time now);
    Effects updateEndpoints(const EndpointChanges &changes, Time now);
    /// Endpoints of other regions, whose KV caches can be copied.
    void setRemoteEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints);
    void updateRemoteEndpoints(const EndpointChanges &changes);
    /// Parts that an endpoint of the own region reports to have in its prefix cache.
    void setCache(const EndpointId &endpoint, const std::vector<Dialect::PromptPart> &parts,
                  Time now);
    /// Known prefix cache contents of the own region's endpoints, for another instance.
    std::vector<PartPlacement> caches() const;
    void learnCaches(const std::vector<PartPlacement> &placements);
    /// Engines of the own region that this instance polls for their cache contents; each engine is
    /// polled by one instance of the region.
    std::vector<Catalog::EndpointRecord> enginesToPoll() const;
    void setBounds(const Catalog::Bounds &bounds);
    /// Instances that may use bounds of the own region. To be called after setFleet(), which takes
    /// the live ones for all.
    /// @param known those that are known, including this one
    /// @param count how many there may be
    void setRegionSharers(const std::vector<InstanceId> &known, std::size_t count);
    /// Sets the live instances of the own region (including this one), the number of instances of
    /// all regions, and the reachable other regions.
    /// @param sharers instances of all regions that may use the retry budget; nothing while their
    ///        number is not known
    void setFleet(const std::vector<InstanceId> &ownRegion, std::optional<std::size_t> sharers,
                  const std::vector<RegionName> &reachableRegions);
    /// Sets how many instances of all regions are heard from, including this one. To be called
    /// after setFleet().
    void setHeardInstances(std::size_t heard);
    Effects setRegionLoadReport(const InstanceId &instance, const RegionLoadReport &report,
                                Time now);
    void setCrossRegionLoadReport(const RegionName &region, const InstanceId &instance,
                                  const CrossRegionLoadReport &report, Time now);
    /// Applies notices of long prompts that another instance of the region has just sent.
    void learn(const PromptNotices &notices, Time now);
    /// Applies notices of requests that another instance has just begun to reject.
    void learn(const SuspectNotices &notices, Time now);
    /// Requests that this instance has begun to reject since the last call, since endpoints crashed
    /// under them.
    SuspectNotices takeSuspectNotices(Time now);
    /// Long prompts sent since the last call, for the other instances of the region.
    PromptNotices takeNotices();
    RegionLoadReport regionLoadReport(Time now);
    CrossRegionLoadReport crossRegionLoadReport(Time now);

    // Requests.

    Effects submit(CallFacts facts, Time now);
    /// The caller disconnected or has been answered: a queued request is removed. A running attempt
    /// still ends with ended().
    void withdraw(CallId call, Time now);
    /// The first event or byte of the answer was received.
    void answering(CallId call, Time now);
    /// More bytes of the answer were received.
    void received(CallId call, Time now);
    /// Reading the answer was paused, since the caller does not take what was received, or resumed.
    void readingPaused(CallId call, bool paused, Time now);
    /// To be called when a CancelAttempt is carried out: effects before it may have used the room
    /// at the other endpoints.
    /// @return the attempt is to be cancelled
    bool confirmCancel(CallId call, Time now);
    /// More events of the answer were received.
    /// @param pause time since the event before them
    void progressed(CallId call, int events, Duration pause, Time now);
    /// @param mayRetry whether another attempt may follow: false once a part of the answer was
    ///        passed on and cannot be continued
    Effects ended(CallId call, AttemptOutcome outcome, bool mayRetry, Time now);
    void loadSeen(const EndpointId &endpoint, const Dialect::LoadSample &sample, Time now);
    /// @param perSecond rate limit that applies to all instances together; empty if the answer
    ///        stated none
    /// @return the limit has changed
    bool limitSeen(const EndpointId &endpoint, std::optional<double> perSecond, Time now);
    /// @param toleratedRejections requests that the endpoint can reject within a second without
    ///        ending; empty if the answer stated no number
    /// @return whether the endpoint's service is brittle has changed
    bool brittleSeen(const EndpointId &endpoint, std::optional<std::int64_t> toleratedRejections,
                     Time now);
    /// The endpoint rejected a request and wants none from this instance for some time.
    void restSeen(const EndpointId &endpoint, Duration rest, Time now);
    /// The endpoint said that it leaves.
    /// @return this was not known yet
    bool leavingSeen(const EndpointId &endpoint);
    void coldSeen(const EndpointId &endpoint, Duration left, Time now);
    Effects tick(Time now);
    /// Crashes of endpoints and quarantines of requests since the last call, for the log.
    std::vector<CrashEvent> takeCrashEvents();
    /// Endpoints that were taken for silent or heard again since the last call, for the log.
    std::vector<SilenceChange> takeSilenceChanges();
    /// Decisions on retries since the last call, for the log.
    std::vector<RetryDecision> takeRetryDecisions();

    // Queries.

    std::size_t waiting() const
    {
        return queue_.size();
    }
    /// False if the endpoint that the request was placed on is unknown, leaving, evacuated or at
    /// rest, or if the request is rejected by now. True if the request is unknown or not placed on
    /// an endpoint.
    bool maySend(CallId call, Time now) const;
    /// Services of which this instance reaches no endpoint.
    std::vector<ServiceName> unreachableServices() const;
    bool knows(CallId call) const
    {
        return calls_.count(call) > 0;
    }
    nlohmann::json dump(Time now);

private:
    // Processing of a request.
    void place(Call &call, bool mayWait, Time now, Effects &effects);
    bool send(Call &call, const Candidate &candidate, Time now, Effects &effects);
    void notice(const EndpointState &endpoint, const Call &call);
    bool forward(Call &call, const std::optional<SpareCapacity::Offer> &offer, Time now,
                 Effects &effects);
    /// Forwards a request whose endpoints this instance does not reach to a neighbor that does, or
    /// else to another region.
    bool forwardUnreachable(Call &call, Time now, Effects &effects);
    bool handOver(Call &call, Time now, Effects &effects);
    /// Marks the start of an attempt at another instance.
    void beginForward(Call &call, Duration expected, Time now);
    /// Returns true if the request has to wait until other regions are known.
    bool waitForRegions(Call &call, Time now);
    /// Places the requests that waited for other regions to become known.
    void placeWaitingForRegions(Time now, Effects &effects);
    bool forwardIfBetter(Call &call, Duration homeWait, Time now, Effects &effects);
    bool cannotMeetObjective(const Call &call, const std::optional<Candidate> &candidate,
                             Duration wait, Time now);
    /// Time from sending a request to its first event, apart from the wait for other requests.
    Duration timeToFirstEvent(const Call &call, const std::optional<Candidate> &candidate);
    void reject(Call &call, RejectReason reason, Duration wait, Time now, Effects &effects);
    void rejectWithoutEndpoint(Call &call, Time now, Effects &effects);
    void fail(Call &call, Effects &effects);
    void enqueue(Call &call);
    void dequeue(Call &call);
    void dispatchQueue(Time now, Effects &effects);
    /// Finds endpoints that are silent, and cancels attempts that can wait no longer for them.
    void watchSilence(Time now, Effects &effects);
    void markSilence(const Call &call, Time now);
    void hear(EndpointState &endpoint, Time now);
    static bool awaitsEndpoint(const Call &call);
    /// Whether another endpoint would get the request at once if its attempt were cancelled.
    bool mayReplace(const Call &call, Time now);
    bool homeAllowed(const CallFacts &facts) const;
    bool usableAtHome(const CallFacts &facts);
    /// The best of the regions that have not been attempted.
    std::optional<SpareCapacity::Offer> offerOfAnyRegion(const Call &call, Time now);
    /// Whether there is an endpoint at home or a region that the request may be sent to.
    bool hasDestination(const Call &call, Time now);

    /// Rate at which the endpoints of a service process queued requests.
    struct Capacity
    {
        /// Time until the least busy endpoint could start a request.
        Duration shortestWait{0};
        /// Number of engines, or slots of plain endpoints.
        double parallelism = 0;
        /// Slots that become free per second.
        double freedPerSecond = 0;
        /// Queued work at the region's other instances.
        WaitingWork others;
    };
    Duration workOf(const CallFacts &facts, Duration meanHoldTime);
    Duration meanHoldTime(const ServiceName &service) const;
    /// Work that is queued at this instance.
    WaitingWork backlog(const ServiceName &service);
    Capacity capacity(const ServiceName &service, Time now);
    /// Time for which the work queued at all instances of the region occupies its endpoints.
    static Duration backlogWait(const Capacity &capacity, const WaitingWork &ahead);
    /// Wait of a request behind others.
    /// @param slotAvailable some endpoint would accept the request now
    static Duration waitBehind(const Capacity &capacity, const WaitingWork &ahead,
                               bool slotAvailable);
    /// Wait of a request that arrives now.
    Duration expectedWait(const Call &call, Time now);
    Duration withJitter(Duration wait);
    /// Time until the first endpoint of the service ends its rest; zero if any has none.
    Duration restOfAll(const ServiceName &service, Time now) const;
    RetryBudget &budget(const ServiceName &service);
    /// Reserves a retry for another attempt of the request; false if none is left.
    bool reserveRetry(Call &call, Time now);
    /// Charges a reserved retry with the attempt that begins now.
    void chargeRetry(Call &call, Time now);
    /// Removes the request, and returns a retry that was reserved for it and not sent.
    void forget(Call &call);
    nlohmann::json dumpRetryBudgets(Time now);
    /// This instance's part of the fixed number of retries that are allowed in addition to the
    /// ratio; zero while the number of instances is not known.
    double retrySlack() const;
    void updateRetryBudgets();
    void checkListed(Time now);
    /// Rejects the request if endpoints crash under it. Returns true if so.
    bool rejectIfSuspected(Call &call, Time now, Effects &effects);
    /// Chooses an endpoint unless another attempt of a suspected request has to end first.
    std::optional<Candidate> chooseEndpoint(const Call &call, Time now);

    // Evaluation of attempts.
    /// Learns from the first event of an answer that carried a copy.
    void recordCopy(const Call &call, Duration took, Time now);
    nlohmann::json dumpTransfers(Time now) const;
    /// Records that a stream was or was not paused too long, and that it is no longer in progress.
    void recordPauses(Call &call, AttemptOutcome outcome, Time now);
    nlohmann::json dumpPauses();
    void leaveEndpoint(Call &call, AttemptOutcome outcome, Time now);
    /// Records whether the endpoint's figures explain the time of an answer.
    /// @param fixed the part of the expected time that does not depend on the machine
    void recordSpeed(const EndpointState &endpoint, const Call &call, Duration fixed, Time now);

    DispatchOptions options_;
    InstanceId self_;
    RegionName home_;
    Catalog::Bounds bounds_;
    std::mt19937_64 random_;
    EndpointTable table_;
    SpareCapacity spareCapacity_;
    CrashAttribution crashes_;
    Time listCheckedAt_{};
    Reachability reachability_;
    PauseModels pauses_;
    StreamGrouping grouping_;
    Placement placement_;
    EndpointHealth health_;
    std::vector<InstanceId> instances_;
    std::optional<std::size_t> sharers_ = 1;
    std::map<ServiceName, RetryBudget> budgets_;
    std::vector<RetryDecision> retryDecisions_;
    std::vector<SilenceChange> silenceChanges_;
    std::vector<PromptNotice> notices_;
    std::unordered_map<CallId, Call> calls_;
    /// In the order in which requests are served.
    std::multimap<Time, CallId> queue_;
    std::unordered_map<CallId, std::multimap<Time, CallId>::iterator> queuePositions_;
    /// Requests that may not be served here and wait until other regions are known.
    std::vector<CallId> waitingForRegions_;
    Time startedAt_{};
};

} // namespace LaburnumChute::Dispatch
