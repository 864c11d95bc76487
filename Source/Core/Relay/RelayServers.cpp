#include "Relay/RelayGateway.h"

#include <algorithm>

#include "Peers/ValueCodec.h"
#include "Relay/DirectoryAnswer.h"
#include "Relay/Statuses.h"
#include "Relay/SteadyNow.h"
#include "platform/Platform.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;

/// Callers cache directory responses for this long, and some for three times as long. Short enough
/// for them to have left an instance before it stops.
constexpr milliseconds DirectoryLifetime{1000};
constexpr milliseconds CacheTimeout{1000};
/// Contents of an engine's prefix cache with some ten thousand parts.
constexpr std::uint64_t MaxCacheListBytes = 2u << 20;
constexpr std::string_view MetricsPath = "/metrics";
constexpr std::string_view DumpPath = "/dump";

} // namespace

// Handlers of the peer, readiness, directory and metrics servers.

void RelayGateway::servePeerQuery(const Connection &connection, const PeerTarget &target)
{
    if (target.receiver != roster_.self().incarnation) {
        connection->respond(Forbidden, {}, "the query is not from an instance");
        return;
    }
    if (target.itemsAfter) {
        serveItems(connection, *target.itemsAfter);
    } else {
        servePrefixCaches(connection);
    }
}

void RelayGateway::serveItems(const Connection &connection, Catalog::Revision known)
{
    const auto &items = catalog_.items();
    const auto body =
        items.needsCompleteSet(known) ? completeListing() : encodeItems(items.since(known));
    if (!itemTransfers_.admit(body.size(), steadyNow())) {
        connection->respond(ServiceUnavailable, {}, "serving other instances");
        return;
    }
    controlMetrics_.countItemsSent(body.size());
    connection->respond(Ok, {{"Content-Type", "application/octet-stream"}}, body);
}

/// After a restart of all instances, the same listing is asked for many times.
const std::string &RelayGateway::completeListing()
{
    const auto revision = catalog_.items().upTo();
    if (listing_.empty() || listingRevision_ != revision) {
        listing_ = encodeItems(catalog_.items().since(0));
        listingRevision_ = revision;
    }
    return listing_;
}

void RelayGateway::servePrefixCaches(const Connection &connection)
{
    connection->respond(Ok, {{"Content-Type", "application/octet-stream"}},
                        Peers::encodeValue(scheduler_.caches()));
}

void RelayGateway::queryPrefixCaches(Common::Time now)
{
    cachesQueried_ = true;
    for (const auto &record : scheduler_.enginesToPoll()) {
        fetch_.get(
            record.address, Platform::cacheListTarget(), CacheTimeout, MaxCacheListBytes,
            [this, id = record.id](unsigned status, const std::string &body) {
                const auto at = steadyNow();
                const auto parts = Platform::readCacheList(body);
                EventLine line("cache-list");
                line.add("endpoint", id).add("status", static_cast<std::int64_t>(status));
                if (status == Ok && parts) {
                    line.add("parts", static_cast<std::int64_t>(parts->size()));
                    scheduler_.setCache(id, *parts, at);
                } else {
                    // Without the list, prompts that the engine has cached may be processed
                    // again elsewhere.
                    line.add("reason", status == Ok ? parts.error().message : body);
                }
                log_.write(line, at);
            },
            now);
    }
    for (const auto &peer : knownPeers_) {
        const bool asked = peer.reachable && peer.record.region == settings_.region;
        if (!asked) {
            continue;
        }
        fetch_.get(
            peer.record.peerAddress, peerTarget({peer.record.incarnation, std::nullopt}),
            CacheTimeout, MaxPeerAnswerBytes,
            [this](unsigned status, const std::string &body) {
                const auto placements =
                    Peers::decodeValue<std::vector<Dispatch::PartPlacement>>(body);
                if (status == Ok && placements) {
                    scheduler_.learnCaches(*placements);
                }
            },
            now);
        break;
    }
}

void RelayGateway::serveReadiness(const Connection &connection, const InboundRequest &request)
{
    if (!Platform::isReadinessCall(request.method, request.target)) {
        connection->respond(NotFound, {}, "");
        return;
    }
    connection->respond(ready() ? Ok : ServiceUnavailable, {}, "");
}

void RelayGateway::serveDirectory(const Connection &connection, const InboundRequest &request)
{
    if (!Platform::isDirectoryCall(request.method, request.target)) {
        connection->respond(NotFound, {}, "");
        return;
    }
    const auto query = Platform::readDirectoryQuery(request.target);
    if (!query) {
        rejectRequest(connection, BadRequest, "", query.error().message, std::nullopt);
        return;
    }
    std::vector<DirectoryCandidate> candidates;
    if (ready() || (shutdown_ && !closingConnections_)) {
        const bool leaving = shutdown_.has_value();
        candidates.push_back({settings_.callerAddress, settings_.region, leaving});
    }
    for (const auto &peer : knownPeers_) {
        const auto &record = peer.record;
        if (peer.alive && (record.ready || record.leaving)) {
            candidates.push_back({record.callerAddress, record.region, record.leaving});
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), random_);
    std::vector<std::vector<Common::RegionName>> homes;
    if (const auto routes = catalog_.routes()) {
        for (const auto *route : routes->routesOf(query->host)) {
            if (!route->homes.empty()) {
                homes.push_back(route->homes);
            }
        }
    }
    const auto addresses =
        chooseAddresses(candidates, query->region, homes, Platform::DirectoryAddressLimit);
    if (addresses.empty()) {
        connection->respond(ServiceUnavailable, {}, "no instance is ready");
        return;
    }
    const auto lifetime = std::min(DirectoryLifetime, settings_.bounds.directoryLifetime);
    connection->respond(Ok, {{"Content-Type", "application/json"}},
                        Platform::directoryAnswer(addresses, lifetime));
}

nlohmann::json RelayGateway::dump(Common::Time now)
{
    auto peers = nlohmann::json::array();
    for (const auto &peer : knownPeers_) {
        peers.push_back({{"id", peer.record.id.text()},
                         {"region", peer.record.region.text()},
                         {"alive", peer.alive},
                         {"reachable", peer.reachable},
                         {"ready", peer.record.ready},
                         {"leaving", peer.record.leaving},
                         {"store_revision", peer.record.knownRevision}});
    }
    return {{"ready", ready()},
            {"configuration", catalog_.version()},
            {"store_revision", catalog_.items().upTo()},
            {"store_settled", store_.settled(now)},
            {"peers", peers},
            {"requests", calls_.size()},
            {"connections", callers_.connections()},
            {"customers", dumpCustomers(now)},
            {"scheduler", scheduler_.dump(now)}};
}

void RelayGateway::serveMetrics(const Connection &connection, const InboundRequest &request)
{
    const auto path = Catalog::pathOf(request.target);
    if (path == MetricsPath) {
        connection->respond(Ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                            registry_.prometheusText());
        return;
    }
    if (path == DumpPath) {
        connection->respond(Ok, {{"Content-Type", "application/json"}}, dump(steadyNow()).dump(2));
        return;
    }
    connection->respond(NotFound, {}, "");
}

} // namespace LaburnumChute::Relay
