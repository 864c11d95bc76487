#pragma once

#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "Decisions/Decisions.h"
#include "Dispatch/Call.h"
#include "Dispatch/EndpointBook.h"
#include "Dispatch/EndpointHealth.h"
#include "Dispatch/Facts.h"
#include "Dispatch/Options.h"
#include "Dispatch/Placement.h"
#include "Dispatch/RegionRooms.h"
#include "Dispatch/RetryBudget.h"

namespace LaburnumChute::Dispatch {

/// All decisions on the relayed requests of one instance: where and when each is sent, and when it
/// is turned away instead.
///
/// Load pattern: long prompts with large shared parts beside many short ones; the rush of one
/// region while others idle; endpoints that come and go. A request goes to the endpoint of its
/// region with the shortest expected time to the first byte, where prompts that wait to be read
/// there, parts of this prompt that are not in its memory, and its past slowness count. What cannot
/// be sent in time waits here, where it costs nothing should its caller leave; what will not be in
/// time at all is rejected at once.
///
/// For each request submitted there is exactly one of: Reject; Fail; or a Send or Forward that ends
/// with ended(), which may return the next effect. Not thread-safe.
class Scheduler
{
public:
    /// @param startedAt start of this process
    Scheduler(DispatchOptions options, InstanceId self, RegionName home, std::uint64_t seed,
              Time startedAt);

    // What is known.

    Effects setServices(const std::map<ServiceName, Catalog::Service> &services, Time now);
    /// Endpoints of the own region.
    Effects setEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints,
                         const std::set<Common::FailureDomainName> &evacuated, Time now);
    /// Endpoints of other regions, for what their memory holds.
    void setRemoteEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints);
    /// What an endpoint of the own region says that its memory holds.
    void setCache(const EndpointId &endpoint, const std::vector<Dialect::PromptPart> &parts,
                  Time now);
    /// All that is known of the memory of the own region's endpoints, for another instance.
    std::vector<PartPlacement> caches() const;
    void learnCaches(const std::vector<PartPlacement> &placements);
    /// Engines of the own region whose memory this instance is to ask about, so that each is asked
    /// by one of the region's instances.
    std::vector<Catalog::EndpointRecord> enginesToPoll() const;
    void setBounds(const Catalog::Bounds &bounds);
    /// Live instances of the own region, this one among them, of all regions together, and the
    /// other regions that can be reached.
    void setFleet(const std::vector<InstanceId> &ownRegion, std::size_t allInstances,
                  const std::vector<RegionName> &reachableRegions);
    Effects setRegionLoadReport(const InstanceId &instance, const RegionLoadReport &share,
                                Time now);
    void setCrossRegionLoadReport(const RegionName &region, const InstanceId &instance,
                                  const CrossRegionLoadReport &share, Time now);
    /// Long prompts that another instance of the region has just sent.
    void learn(const PromptNotices &notices, Time now);
    /// Long prompts sent since the last call, for the other instances of the region.
    PromptNotices takeNotices();
    RegionLoadReport regionLoadReport(Time now);
    CrossRegionLoadReport crossRegionLoadReport(Time now);

    // Requests.

    Effects submit(CallFacts facts, Time now);
    /// Its caller has left, or has its answer: what waits is forgotten. A try under way still ends
    /// with ended().
    void withdraw(CallId call, Time now);
    /// The first event or byte of the answer came.
    void answering(CallId call, Time now);
    /// More events of the answer came.
    /// @param pause since the last event before them
    void progressed(CallId call, int events, Duration pause, Time now);
    /// @param mayGoOn whether another try may follow: false once a part of the answer was passed on
    ///        and cannot be continued
    Effects ended(CallId call, AttemptOutcome outcome, bool mayGoOn, Time now);
    void loadSeen(const EndpointId &endpoint, const Dialect::LoadSample &sample, Time now);
    /// @param perSecond rate limit that applies to all instances together; empty if the answer
    ///        stated none
    /// @return the limit has changed
    bool limitSeen(const EndpointId &endpoint, std::optional<double> perSecond, Time now);
    void coldSeen(const EndpointId &endpoint, Duration left, Time now);
    Effects tick(Time now);

    // Questions.

    std::size_t waiting() const
    {
        return queue_.size();
    }
    /// False if the endpoint that the request was placed on is unknown, leaving or evacuated. True
    /// if the request is unknown or not placed on an endpoint.
    bool maySend(CallId call) const;
    bool knows(CallId call) const
    {
        return calls_.count(call) > 0;
    }
    nlohmann::json dump(Time now) const;

private:
    // Steps of a request.
    void place(Call &call, bool mayWait, Time now, Effects &effects);
    bool send(Call &call, const Candidate &candidate, Time now, Effects &effects);
    void notice(const EndpointState &endpoint, const Call &call);
    bool forward(Call &call, const std::optional<RegionRooms::Offer> &offer, Time now,
                 Effects &effects);
    bool forwardIfBetter(Call &call, Duration homeWait, Time now, Effects &effects);
    bool hopeless(const Call &call, const std::optional<Candidate> &candidate, Duration wait,
                  Time now);
    /// From the turn of a request to its first event, as far as it depends on the request.
    Duration ownTime(const Call &call, const std::optional<Candidate> &candidate);
    void reject(Call &call, RejectReason reason, Duration wait, Time now, Effects &effects);
    void fail(Call &call, Effects &effects);
    void enqueue(Call &call);
    void dequeue(Call &call);
    void pump(Time now, Effects &effects);
    void takeBackSilent(Time now, Effects &effects);
    bool homeAllowed(const CallFacts &facts) const;

    /// What the endpoints of a service do with what waits.
    struct Capacity
    {
        /// Until the least busy endpoint would begin with a request.
        Duration shortestWait{0};
        /// Engines, or places of plain endpoints.
        double places = 0;
        /// Places that are freed in a second.
        double freedPerSecond = 0;
        /// What waits at the region's other instances.
        WaitingWork others;
    };
    Duration workOf(const CallFacts &facts, Duration meanHold);
    Duration meanHold(const ServiceName &service) const;
    /// Requests that wait here.
    WaitingWork backlog(const ServiceName &service);
    Capacity capacity(const ServiceName &service, Time now);
    /// How long the work that waits at all instances of the region keeps its endpoints busy.
    static Duration queueWait(const Capacity &capacity, const WaitingWork &ahead);
    /// How long a request waits behind others.
    /// @param anyPlace some endpoint would take it now
    static Duration waitBehind(const Capacity &capacity, const WaitingWork &ahead, bool anyPlace);
    /// The same for a request that comes now.
    Duration bestWait(const Call &call, Time now);
    Duration spread(Duration wait);
    RetryBudget &budget(const ServiceName &service);
    /// This instance's part of the retries that are allowed beside the share of the requests.
    double retrySlack() const;
    void boundBudgets();
    void mergeSuspects(const std::vector<SuspectShare> &suspects, Time now);

    // What tries tell of endpoints.
    void leaveEndpoint(Call &call, AttemptOutcome outcome, Time now);

    DispatchOptions options_;
    InstanceId self_;
    RegionName home_;
    Catalog::Bounds bounds_;
    std::mt19937_64 random_;
    EndpointBook book_;
    RegionRooms rooms_;
    Decisions::Quarantine quarantine_;
    Placement placement_;
    EndpointHealth health_;
    std::vector<InstanceId> instances_;
    std::size_t allInstances_ = 1;
    std::map<ServiceName, RetryBudget> budgets_;
    std::vector<PromptNotice> notices_;
    std::unordered_map<CallId, Call> calls_;
    /// By order of service.
    std::multimap<Time, CallId> queue_;
    std::unordered_map<CallId, std::multimap<Time, CallId>::iterator> queuePlaces_;
};

} // namespace LaburnumChute::Dispatch
