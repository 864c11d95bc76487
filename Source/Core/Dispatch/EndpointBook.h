#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "Dispatch/ColdGate.h"
#include "Dispatch/EngineModel.h"
#include "Dispatch/EventPace.h"
#include "Dispatch/LoadEstimate.h"
#include "Dispatch/Options.h"
#include "Dispatch/PartCache.h"
#include "Dispatch/RateLimit.h"
#include "Dispatch/ReadingQueue.h"
#include "Dispatch/Shares.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

/// What one more request on an endpoint costs those that come after it.
Milliseconds costOfRequest(const DispatchOptions &options, int slots);

/// One endpoint of the own region.
struct EndpointState
{
    Catalog::ListedEndpoint listed;
    /// Its failure domain is evacuated.
    bool evacuated = false;
    Time coldUntil{};

    /// Requests of this instance on it: now, and as it last told the others.
    int own = 0;
    int toldOwn = 0;
    /// Requests of the region's other instances that are expected on it, and the part of them that
    /// is assumed since nobody has told where they are.
    double others = 0;
    double assumed = 0;
    ReadingQueue reading;
    EventPace pace;
    /// The time to the first event as a multiple of what was expected, averaged.
    double slowness = 1;
    /// Share of answers that are errors of its own, averaged.
    double errorShare = 0;
    /// Mean time that a request holds a place; until some have ended, that of plain calls in use.
    Duration hold = milliseconds(60);
    PartCache cache;
    ColdGate coldGate;
    RateLimit limit;

    /// Broken or silent tries since the last good answer.
    int failures = 0;
    /// It rests until then; afterwards one request goes first.
    std::optional<Time> restsUntil;
    Duration rest{0};
    bool trial = false;
    /// Its last word on its load.
    Dialect::LoadSample sample;
    Time sampledAt{};
    /// Fingerprints of requests whose connection broke here lately.
    std::deque<std::pair<Time, std::uint64_t>> lost;

    double load() const
    {
        return own + others;
    }
    bool idle() const
    {
        constexpr double IdleBelow = 0.5;
        return load() < IdleBelow;
    }
    /// Mean time that a request holds a place, in seconds and above 0.
    double holdSeconds() const
    {
        /// Bounds what an endpoint of very quick calls is said to take.
        constexpr double Shortest = 0.005;
        return std::max(Shortest, Common::toSeconds(hold));
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
};

/// An endpoint of another region: it gets no requests from here, but its memory may be copied.
struct RemoteEndpoint
{
    Catalog::ListedEndpoint listed;
    PartCache cache;
};

/// All endpoints of the own region, by service, and what is known of those of other regions.
class EndpointBook
{
public:
    explicit EndpointBook(const DispatchOptions &options);

    void setServices(const std::map<ServiceName, Catalog::Service> &services);
    void setEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints,
                      const std::set<Common::FailureDomainName> &evacuated, Time now);
    void setRemoteEndpoints(const std::vector<Catalog::ListedEndpoint> &endpoints);
    /// What endpoints of other regions were sent lately.
    void setRemotePlacements(const std::vector<PartPlacement> &placements);
    /// What another instance of the region has on the endpoints.
    void setShare(const InstanceId &instance, const RegionLoadReport &share, Time now);
    /// Forgets the shares of instances that are not in the list.
    void keepShares(const std::vector<InstanceId> &instances);

    const Catalog::Service *service(const ServiceName &name) const;
    /// Endpoints of the service that may get new work, cold and resting ones among them.
    const std::vector<EndpointState *> &usable(const ServiceName &name) const;
    /// Those whose memory may be read, though they get no new work.
    const std::vector<EndpointState *> &running(const ServiceName &name) const;
    const std::vector<const RemoteEndpoint *> &remote(const ServiceName &name) const;
    EndpointState *find(const EndpointId &id);
    const EndpointState *find(const EndpointId &id) const;
    EngineModel &engine(const ServiceName &name);
    std::vector<const EndpointState *> all() const;
    const std::map<ServiceName, Catalog::Service> &services() const
    {
        return services_;
    }
    /// Work of the service that waits at the region's other instances.
    WaitingWork waitingAtOthers(const ServiceName &name) const;
    /// Brings the expected load of the endpoints up to date with the age of what was told of it.
    void refreshLoad(Time now);
    /// This instance has sent a request to an endpoint of the service.
    void sent(const ServiceName &name, Time now);
    double sentPerSecond(const ServiceName &name, Time now) const;
    /// Records the limit that an answer of the endpoint stated, or that it stated none.
    /// @return the limit has changed
    bool limitSeen(const EndpointId &id, const LimitStatement &statement);
    /// Recomputes this instance's fraction of the endpoints' rate limits.
    /// @param instances live instances of the own region, including this one
    void divideLimits(const InstanceId &self, const std::vector<InstanceId> &instances, Time now);
    /// What is told to the region's other instances now.
    RegionLoadReport share(Time now);
    std::vector<PartPlacement> placementsForElsewhere(Time now) const;
    std::vector<PartPlacement> caches() const;
    void learn(const std::vector<PartPlacement> &placements);
    /// What another instance of the region has just sent.
    void learn(const InstanceId &sender, const PromptNotice &notice, Time now);
    /// Remembers large parts for the next shares.
    void placed(const EndpointState &endpoint, const std::vector<Dialect::PromptPart> &parts,
                Time now);

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
    };

    std::vector<PartPlacement> recentPlacements(Duration age, Time now) const;
    void rebuild();
    void estimateLoad(const ServiceName &name, Time now);
    std::vector<LimitShare> limits(Time now) const;
    std::int64_t cacheCapacity(const ServiceName &name) const;

    const DispatchOptions *options_;
    std::map<ServiceName, Catalog::Service> services_;
    std::map<EndpointId, std::unique_ptr<EndpointState>> endpoints_;
    std::map<ServiceName, std::vector<EndpointState *>> usable_;
    std::map<ServiceName, std::vector<EndpointState *>> running_;
    std::map<ServiceName, EngineModel> engines_;
    std::map<std::uint32_t, EndpointState *> byShortId_;
    std::map<EndpointId, RemoteEndpoint> remote_;
    std::map<ServiceName, std::vector<const RemoteEndpoint *>> remoteByService_;
    std::map<std::uint32_t, RemoteEndpoint *> remoteByShortId_;
    std::map<ServiceName, SendRate> sendRates_;
    bool limitsChanged_ = false;
    Time limitsDividedAt_{};
    LoadEstimate estimate_;
    Time loadAt_{};
    bool loadIsOld_ = false;
    std::deque<RecentPlacement> placements_;
};

} // namespace LaburnumChute::Dispatch
