#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "Dispatch/Brittleness.h"
#include "Dispatch/ColdRateLimit.h"
#include "Dispatch/CrashAttribution.h"
#include "Dispatch/EndpointRest.h"
#include "Dispatch/EndpointSpeed.h"
#include "Dispatch/EngineModel.h"
#include "Dispatch/EventPace.h"
#include "Dispatch/LoadEstimate.h"
#include "Dispatch/LoadReports.h"
#include "Dispatch/Options.h"
#include "Dispatch/PauseModel.h"
#include "Dispatch/PrefillQueue.h"
#include "Dispatch/PrefixCache.h"
#include "Dispatch/RateLimit.h"
#include "Dispatch/TransferModel.h"
#include "Dispatch/TransferSchedule.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

/// Cost of one more request on an endpoint to the requests that follow it.
Milliseconds costOfRequest(const DispatchOptions &options, int slots);

/// State of an endpoint of this instance's region.
struct EndpointState
{
    Catalog::ListedEndpoint listed;
    RunId run = 0;
    /// It is no longer listed and is kept until its last request has ended.
    bool removed = false;
    /// Its failure domain is evacuated.
    bool evacuated = false;
    /// It said so in an answer; its record may not, or later.
    bool saidLeaving = false;
    Time coldUntil{};

    /// Requests of this instance on the endpoint: currently, and as of its last load report.
    int own = 0;
    int reportedOwn = 0;
    /// Expected requests of the region's other instances on the endpoint, and the part of them that
    /// is assumed because no load report locates it.
    double others = 0;
    double assumed = 0;
    PrefillQueue prefillQueue;
    EventPace pace;
    RecentPrompts prompts;
    /// Mean ratio of the actual to the expected time to the first event.
    double slowness = 1;
    /// Moving average of the fraction of answers that are errors of the endpoint.
    double errorRate = 0;
    /// Mean time that a request holds a slot; that of a short call until answers have ended.
    Duration holdTime = milliseconds(60);
    PrefixCache cache;
    ColdRateLimit coldRateLimit;
    RateLimit limit;
    EndpointRest rest;
    EndpointSpeed speed;
    /// Of its service.
    const SpeedModel *speedModel = nullptr;

    /// When an answer of it was last received, or a part of one.
    Time heardAt{};
    /// Since when requests have been waiting for it longer than expected and nothing was heard.
    std::optional<Time> silentSince;
    /// End of its last silence. A time that spans it does not show how fast the endpoint is.
    Time silentUntil{};

    /// Broken or silent attempts since the last successful answer.
    int consecutiveFailures = 0;
    /// No requests are sent until then; afterwards a single request probes the endpoint first.
    std::optional<Time> ejectedUntil;
    Time ejectedAt{};
    Duration ejectionTime{0};
    bool probing = false;
    /// Latest load that the endpoint stated.
    Dialect::LoadSample sample;
    Time sampledAt{};

    /// Time that work takes now relative to the endpoint's usual speed, as its figures state it; 1
    /// without any.
    double statedWorkFactor(Time now) const
    {
        return speedModel != nullptr ? speed.factor(*speedModel, now) : 1;
    }
    /// As above, for decisions: 1 while figures do not explain the measured times. Never 0.
    double workFactor(Time now) const
    {
        const bool used = speedModel != nullptr && speedModel->explainsTimes();
        return used ? speed.factor(*speedModel, now) : 1;
    }
    double load() const
    {
        return own + others;
    }
    bool idle() const
    {
        constexpr double IdleBelow = 0.5;
        return load() < IdleBelow;
    }
    /// Mean time that a request holds a slot, in seconds; always above 0.
    double holdSeconds() const
    {
        /// Bounds the request rate that is computed for an endpoint with very short calls.
        constexpr double Shortest = 0.005;
        return std::max(Shortest, Common::toSeconds(holdTime));
    }
    /// Caps a request rate at the endpoint's rate limit, if it has one.
    double cappedRate(double perSecond) const
    {
        return limit.limited() ? std::min(perSecond, limit.perSecond()) : perSecond;
    }
    bool cold(Time now) const
    {
        return now < coldUntil;
    }
    void heard(Time now)
    {
        heardAt = now;
        if (silentSince) {
            silentUntil = now;
            silentSince.reset();
        }
    }
    /// Time for which the endpoint has been silent; it may be expected to stay so for as long.
    Duration silence(Time now) const
    {
        return silentSince ? now - *silentSince : Duration(0);
    }
};

/// An endpoint of another region. It receives no requests from here, but its KV cache can be
/// copied.
struct RemoteEndpoint
{
    Catalog::ListedEndpoint listed;
    PrefixCache cache;
};

/// Changes of some endpoints of a region.
struct EndpointChanges
{
    std::vector<Catalog::ListedEndpoint> updated;
    std::vector<EndpointId> removed;

    bool empty() const
    {
        return updated.empty() && removed.empty();
    }
};

/// Endpoints of this instance's region by service, and what is known of those of other regions.
class EndpointTable
{
public:
    explicit EndpointTable(const DispatchOptions &options);

    void setServices(const std::map<ServiceName, Catalog::Service> &services);
    void setEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints,
                      const std::set<Common::FailureDomainName> &evacuated, Time now);
    void updateEndpoints(const EndpointChanges &changes, Time now);
    void setRemoteEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints);
    void updateRemoteEndpoints(const EndpointChanges &changes);
    /// Updates the prefix caches of other regions' endpoints from the placements in a load report.
    void setRemotePlacements(const std::vector<PartPlacement> &placements);
    /// Applies the load report of another instance of the region.
    void setLoadReport(const InstanceId &instance, const RegionLoadReport &report, Time now);
    /// Removes the load reports of instances that are not in the list.
    void keepReports(const std::vector<InstanceId> &instances);

    const Catalog::Service *service(const ServiceName &name) const;
    /// Endpoints of the service that accept new requests, including cold and ejected ones.
    const std::vector<EndpointState *> &usable(const ServiceName &name) const;
    /// Whether the service has endpoints and all of them are ejected.
    bool unreachable(const ServiceName &name) const;
    /// Whether a request is probing an ejected endpoint of the service.
    bool probing(const ServiceName &name) const;
    /// Endpoints whose KV cache can be read, including those that accept no new requests.
    const std::vector<EndpointState *> &running(const ServiceName &name) const;
    const std::vector<const RemoteEndpoint *> &remote(const ServiceName &name) const;
    EndpointState *find(const EndpointId &id);
    const EndpointState *find(const EndpointId &id) const;
    EngineModel &engine(const ServiceName &name);
    TransferModel &transferModel(const ServiceName &name);
    const std::map<ServiceName, TransferModel> &transferModels() const
    {
        return transferModels_;
    }
    TransferSchedule &transfers()
    {
        return transfers_;
    }
    const TransferSchedule &transfers() const
    {
        return transfers_;
    }
    /// Whether the run of an endpoint of any region is still there and has not been ejected since,
    /// so that a copy from it that began then could be completed.
    bool couldCopyFrom(const EndpointId &source, RunId run, Time since) const;
    /// Removes parts from the record of what an endpoint of any region has cached.
    void forgetParts(const EndpointId &id, const std::vector<Dialect::PromptPart> &parts);
    SpeedModel &speedModel(const ServiceName &name);
    std::vector<const EndpointState *> all() const;
    /// Endpoints of all regions that are listed and not known to have been replaced.
    std::set<RunId> listedRuns() const;
    const std::map<ServiceName, Catalog::Service> &services() const
    {
        return services_;
    }
    /// Queued work of the service at the region's other instances.
    WaitingWork waitingAtOthers(const ServiceName &name) const;
    const LoadEstimate &loadEstimate() const
    {
        return estimate_;
    }
    /// Recomputes the expected load of the endpoints according to the age of the load reports.
    void refreshLoad(Time now);
    /// Records that this instance sent a request to an endpoint of the service.
    void sent(const ServiceName &name, Time now);
    double sentPerSecond(const ServiceName &name, Time now) const;
    /// Records the rate limit that an answer of the endpoint stated, or that it stated none.
    /// @return the limit has changed
    bool limitSeen(const EndpointId &id, const LimitStatement &statement);
    /// Records that the endpoint said that it leaves.
    /// @return this was not known yet
    bool leavingSeen(const EndpointId &id);
    Brittleness &brittleness()
    {
        return brittleness_;
    }
    const Brittleness &brittleness() const
    {
        return brittleness_;
    }
    /// Recomputes this instance's fraction of the endpoints' rate limits.
    /// @param instances live instances of the own region, including this one
    void divideLimits(const InstanceId &self, const std::vector<InstanceId> &instances, Time now);
    /// Load report for the region's other instances.
    RegionLoadReport loadReport(Time now);
    std::vector<PartPlacement> placementsForOtherRegions(Time now) const;
    std::vector<PartPlacement> caches() const;
    void learn(const std::vector<PartPlacement> &placements);
    /// Applies a notice of a long prompt that another instance of the region has just sent.
    void learn(const InstanceId &sender, const PromptNotice &notice, Time now);
    /// Records large parts for the next load reports.
    /// @param noticed the region's other instances learn of them from a notice
    void placed(const EndpointState &endpoint, const std::vector<Dialect::PromptPart> &parts,
                bool noticed, Time now);

private:
    struct SendRate
    {
        double perSecond = 0;
        Time updatedAt{};

        double at(Time now) const;
    };
    struct RecentPlacement
    {
        Time at{};
        PartPlacement placement;
        /// The region's other instances know it.
        bool noticed = false;
    };

    void addPlacement(const RecentPlacement &placement, Time now);
    std::vector<PartPlacement> recentPlacements(Duration age, bool includeNoticed, Time now) const;
    void updateEndpoint(const Catalog::ListedEndpoint &endpoint, Time now);
    void dropRemoved();
    void rebuild();
    void updateRemoteEndpoint(const Catalog::ListedEndpoint &endpoint);
    void rebuildRemote();
    void noticeTransfer(const EndpointState &target, const PromptNotice &notice, Time now);
    void estimateLoad(const ServiceName &name, Time now);
    std::vector<LimitReport> limits(Time now) const;
    std::vector<SpeedReport> takeSpeeds(Time now);
    void learn(const std::vector<SpeedReport> &speeds, Time now);
    std::int64_t cacheCapacity(const ServiceName &name) const;

    const DispatchOptions *options_;
    std::map<ServiceName, Catalog::Service> services_;
    std::map<EndpointId, std::unique_ptr<EndpointState>> endpoints_;
    std::set<Common::FailureDomainName> evacuated_;
    std::map<ServiceName, std::vector<EndpointState *>> usable_;
    std::map<ServiceName, std::vector<EndpointState *>> running_;
    std::map<ServiceName, EngineModel> engines_;
    std::map<ServiceName, TransferModel> transferModels_;
    TransferSchedule transfers_;
    /// Their addresses are in the endpoints' states.
    std::map<ServiceName, SpeedModel> speedModels_;
    std::unordered_map<std::uint32_t, EndpointState *> byShortId_;
    std::map<EndpointId, RemoteEndpoint> remote_;
    std::map<ServiceName, std::vector<const RemoteEndpoint *>> remoteByService_;
    std::unordered_map<std::uint32_t, RemoteEndpoint *> remoteByShortId_;
    std::map<ServiceName, SendRate> sendRates_;
    Brittleness brittleness_;
    bool limitsChanged_ = false;
    Time limitsDividedAt_{};
    LoadEstimate estimate_;
    Time loadAt_{};
    bool loadIsStale_ = false;
    std::deque<RecentPlacement> placements_;
};

} // namespace LaburnumChute::Dispatch
