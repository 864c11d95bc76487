#pragma once

// Inputs and outputs of the scheduler. The gateway converts its configuration, its requests and the
// reports of endpoints and regions into these structs.

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

/// The model, optionally with an adapter, or the plain service that a request asks for.
struct Target
{
    TargetKind kind = TargetKind::Model;
    std::string name;
    /// Empty without an adapter; always empty for a service.
    AdapterName adapter;

    static Target model(const ModelName &model, AdapterName adapter = {});
    static Target service(const ServiceName &service);
    /// The target without its adapter, as endpoints list it.
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

/// How long a caller is expected to wait for the first token.
enum class Patience {
    /// Interactive: most callers leave within seconds.
    Short,
    Normal,
    /// Background work, such as condensing a history or a batch.
    Long,
};

/// The properties of a request that decisions depend on.
struct RequestFacts
{
    RequestId id;
    CustomerName customer;
    Target target;
    /// 0 is the highest.
    int priority = 0;
    /// Regions that may process its data; empty allows none.
    std::vector<RegionName> allowedRegions;
    /// The region that forwarded the request; empty if it comes from a caller. A forwarded request
    /// is never forwarded again.
    RegionName forwardedFrom;
    std::int64_t promptTokens = 0;
    /// At most the caller's max_tokens.
    std::int64_t expectedOutputTokens = 0;
    /// Hashes of the prompt's blocks from its start, as docs/PROTOCOLS.md defines them.
    std::vector<std::uint64_t> prefixBlocks;
    /// Time until which the caller waits for the first byte.
    std::optional<Time> deadline;
    Patience patience = Patience::Normal;
    /// An earlier request of the caller that this one replaces.
    std::optional<RequestId> supersedes;
    /// The request may run again when the outcome of an attempt is unknown.
    bool repeatable = false;
    /// May be attempted again after its first token: output that the new attempt repeats is
    /// compared with what the caller already has and dropped.
    bool continuable = false;
    /// Equal for requests with the same content, whatever their id and idempotency key.
    std::uint64_t fingerprint = 0;
    /// Number of earlier attempts, as stated by the caller or another instance; 0 for the first.
    int attempt = 0;
    /// The gateway must not retry the request on its own, for example while another holder has its
    /// only permission to run.
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

/// Load as reported by an endpoint. Plain services leave the KV cache and rate fields 0.
struct LoadReport
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t batchLimit = 0;
    std::int64_t kvUsedTokens = 0;
    std::int64_t kvLimitTokens = 0;
    /// Duration of one decode step at the current batch size.
    Duration stepTime{0};
    double prefillTokensPerSecond = 0;
    /// Age of the values when the report arrived.
    Duration age{0};
};

enum class CacheOperation { Stored, Evicted };

/// How an attempt on an endpoint, or a forward to a region, ended.
enum class Outcome {
    /// The response was complete.
    Completed,
    /// Cancelled; the endpoint confirmed it or the stream is closed.
    Cancelled,
    /// The endpoint reported that it did not start the request, or the request was never sent.
    NotStarted,
    /// Failed during the run, or with an error that does not tell whether it ran.
    Failed,
    /// The endpoint died while it had the request.
    EndpointDied,
    /// No response within the timeout; whether it ran is unknown.
    TimedOut,
};

/// Capacity and load of one target in one region, as sent to other regions.
/// Scheduler::regionSummary() gives one instance's view of its whole region; receivers use the mean
/// over the instances of a region.
struct RegionSummary
{
    RegionName region;
    Target target;
    /// Additional work that the region can take, in tokens per second.
    double freeTokensPerSecond = 0;
    /// Expected time in the region's queues before a request starts.
    Duration expectedWait{0};
    /// One-way delay between the two gateways.
    Duration linkDelay{0};
    double linkMegabitsPerSecond = 0;
    /// From 0 to 1; above 1 when overloaded.
    double utilisation = 0;
    double prefillTokensPerSecond = 0;
    bool reachable = true;
    /// Age of the summary when it arrived.
    Duration age{0};
};

/// A customer's weight in weighted fair sharing of the capacity, and its priority limit.
struct CustomerLimit
{
    CustomerName customer;
    /// Relative to the other customers' weights.
    double weight = 1;
    /// The highest priority (lowest number) that the customer may request.
    int highestPriority = 0;
};

/// Quarantine state of a fingerprint, sent between instances by gossip.
struct SuspectNotice
{
    std::uint64_t fingerprint = 0;
    /// Distinct endpoints that died while running this request; merging takes the union.
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
    /// Rejected by admission control or a full queue: more work than the endpoints can take.
    Overloaded,
    /// The customer exceeds its fair share while others wait.
    CustomerShare,
    /// The request would not start before its deadline.
    DeadlineTooClose,
    /// No endpoint serves the target in a region that may process the request.
    NoEndpoint,
    /// No region that the residency rule allows can take the request.
    Residency,
    /// Endpoints died while running requests with this fingerprint.
    Quarantined,
    /// An attempt failed and may not be retried.
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
    /// Number of this attempt of the request, from 1.
    int attempt = 1;
    /// A second attempt in parallel to a running one; the first token of either is used.
    bool hedge = false;
};

/// Send the request to a gateway of the region now.
struct Forward
{
    RequestId request;
    RegionName region;
};

/// Return an error to the caller now. The scheduler no longer tracks the request.
struct Reject
{
    RequestId request;
    RejectReason reason = RejectReason::Overloaded;
    RunState run = RunState::NotRun;
    /// Earliest time at which a retry is likely to be admitted; zero when waiting does not help.
    Duration retryAfter{0};
};

/// The request was cancelled or superseded while it was queued here. Nothing needs to be cancelled
/// elsewhere, and the scheduler no longer tracks it.
struct Drop
{
    RequestId request;
};

/// Cancel the request on the endpoint, or in the region if the endpoint is empty. finished()
/// follows with Outcome::Cancelled, or with the outcome that came first.
struct CancelOnEndpoint
{
    RequestId request;
    EndpointId endpoint;
};

using Effect = std::variant<Dispatch, Forward, Reject, Drop, CancelOnEndpoint>;
using Effects = std::vector<Effect>;

/// Demand for one target as measured by this instance, for placement.
struct TargetDemand
{
    Target target;
    /// Mean and standard deviation of the work over the kept windows, in tokens per second.
    double mean = 0;
    double deviation = 0;
};

} // namespace LaburnumChute::Decisions
