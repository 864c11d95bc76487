#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Catalog/Catalog.h"
#include "Common/Common.h"
#include "Customers/Customers.h"
#include "Dispatch/Dispatch.h"
#include "Fleet/Fleet.h"
#include "Relay/AttemptTimes.h"
#include "Relay/CallerAccess.h"
#include "Relay/ControlMetrics.h"
#include "Relay/CustomerMetrics.h"
#include "Relay/DeliveryLog.h"
#include "Relay/EventLog.h"
#include "Relay/InboundServer.h"
#include "Relay/MemoryBudget.h"
#include "Relay/OutboundPool.h"
#include "Relay/PeerSync.h"
#include "Relay/RelayOptions.h"
#include "Relay/RelayedCall.h"
#include "Relay/ShutdownPlan.h"
#include "Relay/SimpleFetch.h"
#include "Relay/StartupQueue.h"
#include "Relay/StoreWatcher.h"
#include "Relay/TransferBudget.h"
#include "Relay/UdpSocket.h"

namespace LaburnumChute::Relay {

/// A counter for each kind of what crashes are put down to.
class SuspectCounters
{
public:
    SuspectCounters(Common::MetricsRegistry &registry, const std::string &name,
                    const std::string &help);
    void count(const Dispatch::SuspectKey &key);

private:
    std::map<Dispatch::SuspectKind, Common::Counter *> counters_;
};

/// Counters and histograms of relayed requests.
struct RelayMetrics
{
    explicit RelayMetrics(Common::MetricsRegistry &registry);

    Common::Counter &requests;
    Common::Counter &forwardedIn;
    Common::Counter &sends;
    Common::Counter &sendsToSlowMachines;
    Common::Counter &machineFigures;
    Common::Counter &machineFiguresIgnored;
    Common::Counter &forwards;
    Common::Counter &yieldForwards;
    Common::Counter &handedOver;
    Common::Counter &completed;
    Common::Counter &rejected;
    Common::Counter &failed;
    Common::Counter &timedOut;
    Common::Counter &abandoned;
    Common::Counter &resumed;
    Common::Counter &crashes;
    SuspectCounters holds;
    SuspectCounters quarantines;
    Common::Counter &evidenceLost;
    Common::Counter &retries;
    Common::Counter &retriesDenied;
    std::map<Dispatch::TransferPath, Common::Counter *> copies;
    Common::Counter &copiedBytes;
    Common::Counter &copiesNotChosen;
    Common::Counter &answersGivenUp;
    Common::Counter &unnamedAnswers;
    Common::Counter &unnamedAnswersOnUsedConnections;
    Common::Counter &sendsWithheld;
    /// Answers without a length, by what showed or did not show their end.
    std::map<EndCheckResult, Common::Counter *> endChecks;
    Common::Gauge &receivedBytes;
    Common::Gauge &requestBytes;
    Common::Counter &requestsGivenUp;
    Common::Gauge &heldAnswerBytes;
    Common::Gauge &unsentBytes;
    Common::DurationHistogram &firstEvent;
    Common::DurationHistogram &queueTime;
    Common::DurationHistogram &copyWait;
    std::map<Dispatch::TransferPath, Common::DurationHistogram *> copyTimeRatio;
};

/// One instance that relays requests by host and path to the endpoints of its region, or to an
/// instance in another region. Everything runs on one thread: an instance has only a fraction of a
/// core, and passing a request between threads would cost more than serving it.
class RelayGateway
{
public:
    RelayGateway(RelayOptions options, Catalog::InstanceSettings settings);
    ~RelayGateway();
    RelayGateway(const RelayGateway &) = delete;
    RelayGateway &operator=(const RelayGateway &) = delete;

    Common::Result<void> start();
    /// Serves until SIGTERM or SIGINT, then shuts down gracefully, within the shutdown time limit.
    void run();

    // Used by running requests.

    Dispatch::Scheduler &scheduler()
    {
        return scheduler_;
    }
    const std::shared_ptr<OutboundPool> &pool() const
    {
        return pool_;
    }
    EventLog &log()
    {
        return log_;
    }
    RelayMetrics &metrics()
    {
        return relayMetrics_;
    }
    const Catalog::InstanceSettings &settings() const
    {
        return settings_;
    }
    void applyEffects(const Dispatch::Effects &effects, Common::Time now);
    /// Returns a random instance in the region that is reachable and ready, if there is one.
    std::optional<Fleet::InstanceRecord> findPeerIn(const Common::RegionName &region);
    /// Returns the instance if it is reachable and ready.
    std::optional<Fleet::InstanceRecord> findPeer(const Common::InstanceId &instance) const;
    void removeCall(Dispatch::CallId call);
    /// Records how many bytes of answers the request holds. Ends the one that holds the most if all
    /// of them together hold too many.
    void holdAnswer(Dispatch::CallId call, std::size_t bytes);
    /// A health call to the endpoint, or nothing if its service has none or is unknown.
    std::optional<OutboundRequest> healthCall(const Common::ServiceName &service,
                                              const Common::EndpointId &endpoint,
                                              const std::string &address) const;
    /// This process did not run for a while just before, so that what it reads may be old.
    bool stoodStillRecently(Common::Time now) const;
    /// Returns the usage of a request that was admitted here and has not run.
    void refundUsage(const RelayPlan &plan, Common::Time now);
    /// Whether this process stops and a request that was sent now would be cut off if it ended at
    /// the given time.
    bool exitsBefore(Common::Time end, Common::Time now) const;
    AttemptTimes &attemptTimes()
    {
        return attemptTimes_;
    }

private:
    using Connection = std::shared_ptr<InboundConnection>;

    /// @param receivedAt when the request was read; it may have waited for the configuration since
    void serveCaller(const Connection &connection, InboundRequest request, Common::Time receivedAt);
    void waitForConfiguration(const Connection &connection, InboundRequest request,
                              const std::string &requestId, Common::Time receivedAt);
    /// Serves the requests that waited for the first configuration.
    void serveEarlyRequests();
    void rejectExpiredEarlyRequests(Common::Time now);
    void servePeer(const Connection &connection, InboundRequest request);
    void serveReadiness(const Connection &connection, const InboundRequest &request);
    void serveDirectory(const Connection &connection, const InboundRequest &request);
    void serveMetrics(const Connection &connection, const InboundRequest &request);
    void servePrefixCaches(const Connection &connection);
    /// Queries the prefix cache contents after startup, from the region's engines and from a peer
    /// in the region.
    void queryPrefixCaches(Common::Time now);
    void servePeerQuery(const Connection &connection, const PeerTarget &target);
    void rejectForwarded(const Connection &connection, const InboundRequest &request,
                         const std::string &reason, Common::Time now);
    void serveItems(const Connection &connection, Catalog::Revision known);
    const std::string &completeListing();
    void rejectRequest(const Connection &connection, unsigned status, const std::string &requestId,
                       const std::string &detail, std::optional<Common::milliseconds> retryAfter);
    void beginCall(RelayPlan plan, const Connection &connection);
    Common::Result<RelayPlan> parseForwarded(const InboundRequest &request,
                                             const std::string &metadata, Common::Time now) const;
    bool exceedsBodyMemory(const InboundRequest &request) const;
    /// Records how many bytes of an incomplete request the connection holds.
    void holdReceived(const Connection &connection, std::size_t bytes);
    /// Lets the largest holders give up their memory while a limit is exceeded.
    void releaseExcess();
    /// Limits of requests on listeners that take no bodies.
    static Catalog::CallerLimits controlLimits();
    Catalog::CallerLimits callerLimits() const;
    Catalog::CallerLimits peerLimits() const;
    /// Time since the catalog was known to match the store, or nothing if it never was.
    std::optional<Common::Duration> catalogAge(Common::Time now) const;
    /// Returns true if the catalog matched the store recently, directly or through a peer.
    bool isCatalogFresh(Common::Time now) const;
    std::optional<Common::Duration> storeFailureAge(Common::Time now) const;
    bool storeSettled(Common::Time now) const;

    /// Returns true if the configuration matched the store recently and no peer has a newer one.
    bool isConfigurationCurrent(Common::Time now) const;
    /// Returns true if removals of keys may have gone unnoticed for longer than allowed.
    bool keysOutdated(Common::Time now) const;
    void refuseAccess(const Connection &connection, const std::string &requestId,
                      const AccessRefusal &refusal, Common::Time now);
    /// Counts the request as usage of the customer, or rejects it if the limit is exceeded.
    bool admitUsage(const Connection &connection, const std::string &requestId,
                    const Customers::Customer &customer, double usage, Common::Time now);
    bool hasCustomers() const;
    void applyLimits(Common::Time now);
    void updateCustomerUsage(Common::Time now);
    void sendUsageNotices(Common::Time now);

    void applyChanges(const Catalog::ItemChanges &changes, const std::string &source);
    void storeStateChanged(StoreState state, const std::string &reason);
    bool isInOwnRegion(const Catalog::EndpointRecord &endpoint) const;
    void setAllEndpoints(Common::Time now);
    void endpointsChanged(const std::vector<Common::EndpointId> &changed, Common::Time now);
    void handleDatagram(std::string_view datagram);
    void synchronize(Common::Time now);
    void handleHeartbeat(const Fleet::Heartbeat &heartbeat, Common::Time now);
    void handleDigest(const Fleet::RegionDigest &digest, Common::Time now);
    void applyReports(const Fleet::Heartbeat &heartbeat, Common::Time now);
    /// Logs crashes of endpoints and quarantines of requests that became known.
    void logCrashEvents(Common::Time now);
    void logSilenceChanges(Common::Time now);
    void countTransfers();
    void logRetryDecisions(Common::Time now);
    void countYieldTimes();
    /// Sends the pending prompt notices to the peers in the region.
    void sendPromptNotices();
    /// Sends the pending notices of suspected requests to the peers in the region and to one
    /// instance of each other region.
    void sendSuspectNotices(Common::Time now);
    void handleSuspectNotices(Dispatch::SuspectNotices notices, Common::Time now);
    void sendAll(const Fleet::Sends &sends);
    void sendToOwnRegion(const GossipMessage &message);
    void fleetChanged(Common::Time now);
    /// Returns true if peers may still provide the first listing of the store.
    bool awaitsPeers(Common::Time now) const;
    Fleet::WatchDuty chooseWatchDuty(Common::Time now);
    void updateWatchDuty(Common::Time now);

    void scheduleTick();
    void tick(Common::Time now);
    void limitMemory(Common::Time now);
    void heartbeat(Common::Time now);
    /// Logs services whose endpoints are not reached any more, or are again.
    void logReachability(Common::Time now);
    void reloadSettings(bool bySignal, Common::Time now);
    void applySettings(Common::Time now);
    void waitForSignal();
    void waitForReload();
    void beginShutdown(Common::Time now);
    void continueShutdown(Common::Time now);
    void endWaitingRequests(Common::Time now);
    void endAllRequests(Common::Time now);
    std::vector<std::shared_ptr<RelayedCall>> runningCalls() const;
    ShutdownStep shutdownStep(Common::Time now) const;
    bool rejectsRequests(Common::Time now) const;
    bool ready() const;
    nlohmann::json dump(Common::Time now);
    nlohmann::json dumpCustomers(Common::Time now) const;

    RelayOptions options_;
    Catalog::InstanceSettings settings_;
    std::string settingsText_;
    asio::io_context context_;
    std::mt19937_64 random_;
    Common::MetricsRegistry registry_;
    RelayMetrics relayMetrics_;
    CustomerMetrics customerMetrics_;
    ControlMetrics controlMetrics_;
    EventLog log_;
    DeliveryLog deliveryLog_;
    Catalog::Catalog catalog_;
    Fleet::Roster roster_;
    Dispatch::Scheduler scheduler_;
    Customers::UsageLimiter limiter_;
    StartupQueue startupQueue_;
    std::shared_ptr<OutboundPool> pool_;
    StoreWatcher store_;
    PeerSync peerSync_;
    TransferBudget itemTransfers_;
    /// Encoded complete listing, for instances that have just started.
    std::string listing_;
    Catalog::Revision listingRevision_ = 0;
    SimpleFetch fetch_;
    UdpSocket gossip_;
    InboundServer callers_;
    InboundServer peers_;
    InboundServer readiness_;
    InboundServer directory_;
    InboundServer metricsServer_;
    asio::steady_timer tickTimer_;
    asio::signal_set stopSignals_;
    asio::signal_set reloadSignals_;
    std::unordered_map<Dispatch::CallId, std::shared_ptr<RelayedCall>> calls_;
    Dispatch::CallId nextCallId_ = 1;
    MemoryBudget memory_;
    /// Connections that receive large requests.
    std::unordered_map<HeldMemory::Holder, std::weak_ptr<InboundConnection>> receiving_;
    std::vector<Fleet::Peer> knownPeers_;
    Fleet::WatchDuty duty_ = Fleet::WatchDuty::Watches;
    Common::Time looksUntil_{};
    Common::Time startedAt_{};
    Common::Time tickedAt_{};
    Common::Time stoodStillAt_{};
    bool skipsTick_ = false;
    AttemptTimes attemptTimes_;
    std::map<Common::InstanceId, bool> peerAlive_;
    std::vector<Common::ServiceName> unreachableServices_;
    /// Updated once per tick rather than on each response, so that it predates the changes being
    /// applied.
    std::optional<Common::Time> catalogCompleteAt_;
    Common::Time heartbeatAt_{};
    std::optional<Common::Time> queryCachesAt_;
    bool cachesQueried_ = false;
    Common::Time settingsAt_{};
    Common::Time housekeepingAt_{};
    std::optional<ShutdownPlan> shutdown_;
    Common::Time stoppingSince_{};
    bool closingConnections_ = false;
};

} // namespace LaburnumChute::Relay
