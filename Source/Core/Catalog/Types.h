#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Common/Common.h"
#include "Customers/Customers.h"

namespace LaburnumChute::Catalog {

using Common::Duration;
using Common::EndpointId;
using Common::FailureDomainName;
using Common::milliseconds;
using Common::RegionName;
using Common::ServiceName;
using Common::Time;

/// Whether a request may be executed more than once.
enum class RequestKind {
    /// May be executed any number of times.
    Idempotent,
    /// Executed at most once per request of the caller; a retry by the caller is a new request.
    AtMostOnce,
    /// Answered by a stream of events. Executed at most once, unless its route is resumable.
    Stream,
};

/// A service that handles a fraction of a route's requests.
struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 1;
};

/// Rules for the requests to one host whose path begins with a prefix.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::AtMostOnce;
    /// Maximum time until the response is complete.
    milliseconds timeout{0};
    /// Latency objective for the response, or for the first event of a stream.
    milliseconds objective{0};
    /// Maximum gap between two events of a stream; empty for other kinds.
    std::optional<milliseconds> gap;
    /// 0 is the highest priority.
    int priority = 0;
    std::vector<WeightedService> services;
    /// Maximum number of attempts per request, each at a different endpoint.
    int attempts = 1;
    /// An interrupted stream may be resumed at another endpoint after its last complete event.
    bool resumable = false;
    /// Regions that may serve the route; empty allows all.
    std::vector<RegionName> homes;
    /// Requests need no API key, even if there are customers.
    bool anonymous = false;

    /// Whether repeated execution is harmless.
    bool repeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable);
    }
};

/// Properties that all endpoints of a model engine's service share.
struct EngineTraits
{
    /// Maximum number of requests in a batch.
    int slots = 0;
    /// Capacity of an endpoint's KV cache, in tokens of prompts and output.
    std::int64_t cacheTokens = 0;
    /// KV cache entries can be copied from one endpoint to another.
    bool supportsCacheTransfer = false;
    /// Size of a token's KV cache entries; 0 if unknown.
    double cacheBytesPerToken = 0;
    /// Rate of an endpoint's link for transfers of KV cache entries; 0 if unknown.
    double linkBitsPerSecond = 0;
};

struct Service
{
    ServiceName name;
    std::string healthPath;
    /// Maximum number of connections that one endpoint accepts from all its clients together.
    int connectionLimit = 0;
    /// Warm-up time after the start, in which an endpoint accepts only few requests; zero for none.
    Duration coldTime{0};
    /// Requests per second that an endpoint accepts during the warm-up time.
    double coldRate = 0;
    std::optional<EngineTraits> engine;
};

/// Limits on callers' requests and connections.
struct CallerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

/// One version of the configuration that operators have published.
struct Configuration
{
    Common::ConfigurationNumber version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, Service> services;
    CallerLimits limits;
    /// Never null.
    std::shared_ptr<const Customers::CustomerTable> customers = Customers::CustomerTable::none();
};

/// The record that an endpoint publishes about itself in the platform's store.
struct EndpointRecord
{
    EndpointId id;
    ServiceName service;
    /// "ip:port".
    std::string address;
    FailureDomainName failureDomain;
    /// Number of requests that the endpoint serves concurrently.
    int slots = 1;
    /// The endpoint accepts no new requests.
    bool draining = false;
    /// Remaining warm-up time when the record was written.
    Duration coldLeft{0};
    /// Remaining time when the record was written; set if the endpoint will soon be terminated
    /// regardless of running requests.
    std::optional<Duration> endsIn;
    /// Start time in Unix milliseconds; a later start may reuse the id.
    std::int64_t startedAt = 0;
    /// Increases during the run that began at startedAt.
    std::int64_t sequence = 0;
};

/// No requests may be sent to endpoints of this failure domain.
struct Evacuation
{
    FailureDomainName failureDomain;
};

/// An item that is not used by this project.
struct Ignored
{
};

/// An item with the key of a known record type whose value cannot be decoded.
struct Undecodable
{
    std::string reason;
    /// Set if the key is that of an endpoint, whose record then no longer exists.
    std::optional<EndpointId> endpoint;
};

using Record = std::variant<Ignored, Undecodable, Configuration, Evacuation, EndpointRecord>;

} // namespace LaburnumChute::Catalog
