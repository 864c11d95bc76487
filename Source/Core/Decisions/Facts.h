#pragma once

// What the scheduler is told and what it answers. The gateway translates its configuration,
// its requests and the reports of endpoints and regions into these structs.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Decisions {

using Common::AdapterName;
using Common::CustomerName;
using Common::Duration;
using Common::EndpointId;
using Common::FailureDomainName;
using Common::InstanceId;
using Common::ModelName;
using Common::RegionName;
using Common::RequestId;
using Common::RunState;
using Common::ServiceName;
using Common::Time;

enum class TargetKind { Model, Service };

/// What a request asks for: a model, perhaps with an adapter, or a plain service.
struct Target
{
    TargetKind kind = TargetKind::Model;
    std::string name;
    /// Empty when no adapter is asked for; always empty for a service.
    AdapterName adapter;

    static Target model(const ModelName &model, AdapterName adapter = {});
    static Target service(const ServiceName &service);
    /// The same target without its adapter: what an endpoint serves.
    Target base() const;

    bool operator==(const Target &) const = default;
    friend bool operator<(const Target &one, const Target &other)
    {
        return std::tie(one.kind, one.name, one.adapter)
               < std::tie(other.kind, other.name, other.adapter);
    }
};

/// "model/NAME", "model/NAME+ADAPTER" or "service/NAME", for dumps and traces.
std::string toString(const Target &target);

/// How long callers of a kind tend to wait for the first token.
enum class Patience {
    /// A caller on the line or retyping a draft: most leave within seconds.
    Short,
    Normal,
    /// Nobody is watching: a condensed history, a batch.
    Long,
};

/// One request as the decisions see it.
struct RequestFacts
{
    RequestId id;
    CustomerName customer;
    Target target;
    /// 0 is the highest.
    int priority = 0;
    /// The only regions that may see its data; empty allows none.
    std::vector<RegionName> allowedRegions;
    /// The region that forwarded it; empty when it comes from a caller. A forwarded request is
    /// never forwarded again.
    RegionName forwardedFrom;
    std::int64_t promptTokens = 0;
    /// Bounded by the caller's max_tokens.
    std::int64_t expectedOutputTokens = 0;
    /// Hashes of the prompt's blocks from its start, as docs/PROTOCOLS.md defines them.
    std::vector<std::uint64_t> prefixBlocks;
    /// When the caller stops waiting for the first byte.
    std::optional<Time> deadline;
    Patience patience = Patience::Normal;
    /// The caller's earlier request that this one replaces.
    std::optional<RequestId> supersedes;
    /// May run again after an unknown outcome.
    bool repeatable = false;
    /// A try may follow one that has given its first token: what the second one repeats is compared
    /// with what the caller has, and dropped.
    bool continuable = false;
    /// Same for requests with the same content, whatever their id and key.
    std::uint64_t fingerprint = 0;
    /// How often a caller or an earlier instance says it has tried before; 0 for a first try.
    int attempt = 0;
    /// The gateway must not retry this request by itself (for example while its single permission
    /// to run is held elsewhere).
    bool noRetry = false;
};

struct EndpointFacts
{
    EndpointId id;
    /// Without adapters.
    std::vector<Target> targets;
    std::vector<AdapterName> adapters;
    RegionName region;
    FailureDomainName failureDomain;
    bool leaving = false;
};

/// An endpoint's own report. Plain services leave the KV cache and rate fields 0.
struct LoadReport
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t batchLimit = 0;
    std::int64_t kvUsedTokens = 0;
    std::int64_t kvLimitTokens = 0;
    /// Time of one decode step at the present batch.
    Duration stepTime{0};
    double prefillTokensPerSecond = 0;
    /// How old the figures were when the report arrived.
    Duration age{0};
};

enum class CacheOperation { Stored, Evicted };

/// Why a try on an endpoint, or a forward to a region, ended.
enum class Outcome {
    /// The whole answer came.
    Completed,
    /// Ended by a cancellation; the endpoint confirmed it or the stream is closed.
    Cancelled,
    /// The endpoint said that it had not begun, or the bytes never left.
    NotStarted,
    /// An error after which the run is unknown, or a definite failure of the run.
    Failed,
    /// The endpoint died while the request was on it.
    EndpointDied,
    /// No answer within the time allowed; the run is unknown.
    TimedOut,
};

/// What a region tells the others about what it serves of one target. Scheduler::regionSummary()
/// gives one instance's view of its whole region; over the instances of a region the mean counts.
struct RegionSummary
{
    RegionName region;
    Target target;
    /// Tokens of work a second that could be taken in addition.
    double freeTokensPerSecond = 0;
    /// Wait in its queues before a request would begin.
    Duration expectedWait{0};
    /// One way, between the two gateways.
    Duration linkDelay{0};
    double linkMegabitsPerSecond = 0;
    /// 0 to 1 and above when overloaded.
    double utilisation = 0;
    double prefillTokensPerSecond = 0;
    bool reachable = true;
    /// How old the summary was when it arrived.
    Duration age{0};
};

/// The share of the capacity that a customer may claim when all want more than there is.
struct CustomerLimit
{
    CustomerName customer;
    /// Relative to the other customers' weights.
    double weight = 1;
    /// The highest priority (lowest number) that the customer may use.
    int highestPriority = 0;
};

/// What quarantine has learned of a fingerprint; gossip carries it between instances.
struct SuspectNotice
{
    std::uint64_t fingerprint = 0;
    /// Deaths of distinct endpoints with this request on them; merging takes the union.
    std::vector<EndpointId> deaths;
    /// Time since the last death.
    Duration age{0};

    template <typename Archive>
    void serialize(Archive &archive)
    {
        auto milliseconds = static_cast<std::int64_t>(
            std::chrono::duration_cast<Common::milliseconds>(age).count());
        archive(fingerprint, deaths, milliseconds);
        age = Common::milliseconds(milliseconds);
    }
};

enum class RejectReason {
    /// Admission or queue: more work than the endpoints can take.
    Overloaded,
    /// The customer has used its share and others wait.
    CustomerShare,
    /// It would not begin before its deadline.
    DeadlineTooClose,
    /// No endpoint for the target in a region that may serve it.
    NoEndpoint,
    /// No region that the residency rule allows can take it.
    Residency,
    /// Its fingerprint has taken down endpoints.
    Quarantined,
    /// A try failed and no retry is permitted.
    Failed,
    TimedOut,
};

std::string_view toString(RejectReason reason);
std::string_view toString(Outcome outcome);

/// Send the request to the endpoint now.
struct Dispatch
{
    RequestId request;
    EndpointId endpoint;
    /// Counts this request's tries from 1.
    int attempt = 1;
    /// A second try beside a running one: the first token of either wins.
    bool hedge = false;
};

/// Send the request to a gateway of the region now.
struct Forward
{
    RequestId request;
    RegionName region;
};

/// Tell the caller at once; the scheduler has forgotten the request.
struct Reject
{
    RequestId request;
    RejectReason reason = RejectReason::Overloaded;
    RunState run = RunState::NotRun;
    /// When a new try has a fair chance; zero when waiting does not help.
    Duration retryAfter{0};
};

/// Cancelled or superseded while it waited in this instance: it costs nothing from here on, the
/// scheduler has forgotten it.
struct Drop
{
    RequestId request;
};

/// Cancel on the endpoint, or in the region when the endpoint is empty; finished() with
/// Outcome::Cancelled (or what came first) follows.
struct CancelOnEndpoint
{
    RequestId request;
    EndpointId endpoint;
};

using Effect = std::variant<Dispatch, Forward, Reject, Drop, CancelOnEndpoint>;
using Effects = std::vector<Effect>;

/// Demand for one target as measured here, for placement.
struct TargetDemand
{
    Target target;
    /// Tokens of work a second, mean and standard deviation over the windows kept.
    double mean = 0;
    double deviation = 0;
};

} // namespace LaburnumChute::Decisions
