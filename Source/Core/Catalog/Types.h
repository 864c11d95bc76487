#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Catalog {

using Common::Duration;
using Common::EndpointId;
using Common::FailureDomainName;
using Common::milliseconds;
using Common::RegionName;
using Common::ServiceName;
using Common::Time;

/// What may be repeated of a request.
enum class RequestKind {
    /// Runs any number of times.
    Idempotent,
    /// Runs at most once for each attempt of its caller.
    AtMostOnce,
    /// Answered by a stream of events. Runs at most once, unless its route is resumable.
    Stream,
};

/// A service that takes a share of a route's requests.
struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 1;
};

/// Requests of one host whose path begins with a prefix.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::AtMostOnce;
    /// Longest time that a caller is kept waiting for the whole answer.
    milliseconds timeout{0};
    /// Time within which callers want the answer, or the first event of a stream.
    milliseconds objective{0};
    /// Longest pause between two events of a stream; none for other kinds.
    std::optional<milliseconds> gap;
    /// 0 is the highest.
    int priority = 0;
    std::vector<WeightedService> services;
    /// Endpoints to which one request may be sent.
    int attempts = 1;
    /// A broken stream may go on at another endpoint after its last whole event.
    bool resumable = false;
    /// The only regions that may serve it; empty allows all.
    std::vector<RegionName> homes;

    /// True when a second run does no harm.
    bool repeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable);
    }
};

/// What a model engine's service says of all its endpoints.
struct EngineTraits
{
    /// Requests in a batch.
    int slots = 0;
    /// Tokens of prompts and answers that an endpoint's memory holds.
    std::int64_t cacheTokens = 0;
    /// Cache entries may be copied from one endpoint to another.
    bool transfers = false;
};

struct Service
{
    ServiceName name;
    std::string healthPath;
    /// Connections of all callers together that one endpoint takes.
    int connectionLimit = 0;
    /// Time after its start during which an endpoint takes only few requests; zero for none.
    Duration coldTime{0};
    /// Requests a second that an endpoint takes in that time.
    double coldRate = 0;
    std::optional<EngineTraits> engine;
};

/// Bounds on what callers send.
struct CallerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

/// One version of what operators have published.
struct Configuration
{
    Common::ConfigurationNumber version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, Service> services;
    CallerLimits limits;
};

/// What an endpoint says of itself in the platform's store.
struct EndpointRecord
{
    EndpointId id;
    ServiceName service;
    /// "ip:port".
    std::string address;
    FailureDomainName failureDomain;
    /// Requests that it serves at once.
    int slots = 1;
    /// It takes no new work.
    bool draining = false;
    /// How much longer it stays cold, as of the writing of the record.
    Duration coldLeft{0};
    /// Set when it ends soon whatever it runs.
    std::optional<Duration> endsIn;
    /// Unix milliseconds of its start; an id may be used again by a later start.
    std::int64_t startedAt = 0;
    /// Grows within one life.
    std::int64_t sequence = 0;
};

/// Nothing is to be sent to the endpoints of this failure domain.
struct Evacuation
{
    FailureDomainName failureDomain;
};

/// An item that this project has no use for.
struct Ignored
{
};

/// An item that should be one of the others and cannot be read.
struct Undecodable
{
    std::string reason;
    /// Set when the item stands for an endpoint: nothing names that endpoint any more.
    std::optional<EndpointId> endpoint;
};

using Record = std::variant<Ignored, Undecodable, Configuration, Evacuation, EndpointRecord>;

} // namespace LaburnumChute::Catalog
