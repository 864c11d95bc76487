#pragma once

#include <cstddef>
#include <cstdint>
#include <variant>

#include "Common/Common.h"

namespace LaburnumChute::Decisions {

using Common::Duration;
using Common::milliseconds;
using Common::seconds;

// All thresholds of the decisions.

/// Endpoint by expected time to first token; the default.
struct ExpectedCostPolicy
{
    /// Random candidates compared, besides those known to hold the prompt's prefix. Mitzenmacher
    /// (2001): two random choices remove most of the imbalance, and few choices avoid herding.
    int choices = 3;
    /// With at most this many candidates all are compared.
    int compareAllUpTo = 16;
    /// What a second of prefill costs beside a second until the first token: prefill also delays
    /// everything else on that endpoint. 0 looks at this request's own wait alone.
    double prefillWeight = 10.0;
    /// What a second of an engine's steps costs that would not run without this request. A step of
    /// an empty engine costs nearly as much as one of a full batch, so this gathers work on engines
    /// that run anyway and lets others stand idle at a
    /// low load. Larger values save more and cost tail.
    double packWeight = 0.1;
    /// A request rather waits this long at most for a better endpoint, which is full now, than
    /// takes a place behind a long prefill or far from its prefix.
    Duration holdForBetter = seconds(1);
};
/// The built-in baselines send at once and look at nothing else.
struct RoundRobinPolicy
{
};
struct LeastInFlightPolicy
{
};
struct RandomOfTwoPolicy
{
};
using RoutingPolicy =
    std::variant<ExpectedCostPolicy, RoundRobinPolicy, LeastInFlightPolicy, RandomOfTwoPolicy>;

struct RoutingOptions
{
    RoutingPolicy policy = ExpectedCostPolicy{};
    /// Endpoints of one target that an instance uses; a fleet of 94 instances before 323 endpoints
    /// of a region then has 19 instances on each endpoint.
    std::size_t subsetSize = 64;
    /// Share of this instance's own sends since a report that each other instance is taken to have
    /// sent as well.
    double othersSendShare = 0.5;
    /// A report older than this counts for nothing.
    Duration reportStaleAfter = seconds(5);
    /// What loading an adapter that the endpoint lacks adds to the expected wait.
    Duration adapterLoadTime = seconds(2);
    /// An endpoint that appears later than the others takes its full share after this long.
    Duration endpointSlowStart = seconds(10);
    /// Known (block, endpoint) pairs kept; about 100 bytes each.
    std::size_t prefixEntries = 131072;
};

struct ConcurrencyOptions
{
    /// Limit before an endpoint has reported a batch limit.
    double assumedLimit = 8;
    /// Waiting requests allowed on an endpoint beyond its batch limit: they keep places from
    /// standing empty until the next send.
    double slack = 4;
    /// Delay may grow to this many times its usual value before the limit shrinks.
    double tolerance = 2.0;
    /// Weight of one sample in the short-term delay.
    double smoothing = 0.1;
    double minimum = 1;
    /// The limit keeps this share of a stated batch limit: below it an engine loses throughput
    /// whatever its delays, and the lost throughput would show as further delay.
    double floorShare = 0.25;
};

/// In the order of arrival.
struct FifoOrder
{
};
/// The newest first while the queue is overloaded, else in the order of arrival.
struct AdaptiveLifoOrder
{
};
/// By arrival plus a multiple of the work until the first token.
struct AgedWorkOrder
{
    /// Seconds of later arrival that one second of work weighs.
    double workWeight = 4;
};
using QueueOrder = std::variant<FifoOrder, AdaptiveLifoOrder, AgedWorkOrder>;

struct QueueOptions
{
    QueueOrder order = AgedWorkOrder{};
    /// Requests kept waiting at most, over all targets: bounds memory.
    std::size_t limit = 4096;
    /// The queue counts as overloaded when the oldest has waited this long: about the aim. CoDel
    /// (RFC 8289) looks at the least wait over an interval in the same way, which newest-first
    /// order would hide.
    Duration overloadInterval = milliseconds(800);
    /// Each such turn goes to the one of its priority who has waited longest.
    int oldestEvery = 4;
    /// The lowest waiting priority gets a turn when the others got this many times its work.
    double lowerPriorityRatio = 10;
};

struct AdmissionOptions
{
    /// Off: everything is let in, as the baselines do.
    bool enabled = true;
    /// Longest wait before the first token that is let in, by patience. Much shorter bounds would
    /// refuse callers who come back and have lost their place.
    Duration maxWaitShort = seconds(5);
    Duration maxWaitNormal = seconds(10);
    Duration maxWaitLong = seconds(30);
    /// A prompt token's work in decode tokens, until reports say more.
    double prefillTokenWeight = 0.1;
    /// Share of what may wait that one fingerprint gets.
    double hotKeyShare = 0.25;
    /// Share that a lone customer leaves for those that may come.
    double reserveShare = 0.1;
    /// Time over which usage and drain rates are averaged.
    Duration averagingTime = seconds(5);
    /// retryAfter is spread by up to this share, so that the refused do not come back at once.
    double retryAfterJitter = 0.25;
};

struct RetryOptions
{
    /// Tries of one request in all.
    int maxAttempts = 3;
    /// Retries and hedges as a share of first tries (Google SRE book, "Handling Overload": 10%).
    double budgetShare = 0.1;
    /// Retries saved up at most, and at the start: the loss of an endpoint fails a whole batch at
    /// once, and two such losses should not turn callers away.
    double budgetMaximum = 32;
    Duration backoff = milliseconds(50);
    Duration maxBackoff = seconds(2);
    /// No retries when this share of the target's endpoints fails: then all suffer.
    double sufferingShare = 0.5;
    /// A repeatable request without first token after this many times its expected wait is hedged;
    /// 0 turns hedging off.
    double hedgeAfter = 4;
    Duration hedgeMinimum = milliseconds(500);
};

struct EjectionOptions
{
    int consecutiveFailures = 4;
    /// Slow: time to first token this many times that of the median endpoint.
    double slowRatio = 4;
    int slowSamples = 8;
    Duration firstEjection = seconds(5);
    Duration maxEjection = seconds(120);
    /// Share of a target's endpoints that may be out. Beyond it, the panic rule: all are used,
    /// since a fault that shows everywhere is not the endpoints'.
    double maxEjectedShare = 0.34;
};

struct QuarantineOptions
{
    /// Distinct endpoints that one fingerprint may take down.
    std::size_t maxDeaths = 2;
    /// Without a further death the fingerprint may be tried again after this long; doubles.
    Duration firstQuarantine = seconds(300);
    Duration maxQuarantine = seconds(3600);
    /// A suspect that did nothing more is forgotten after this long.
    Duration suspectLifetime = seconds(600);
    std::size_t maxSuspects = 4096;
};

struct SpillOptions
{
    bool enabled = true;
    /// Home must be slower by this much before work leaves, and by less than half of it before it
    /// stops leaving.
    Duration threshold = milliseconds(100);
    /// Share of a region's free capacity that all instances of this region may use together.
    double freeShare = 0.5;
    /// The same while home has no endpoint for the target: callers there have no other place.
    double freeShareWithoutHome = 0.9;
    /// Rate at which forwarding to a region starts, as a share of its bound, and the time in which
    /// it doubles.
    double startShare = 0.2;
    Duration doubling = seconds(2);
    /// Share of the link for forwarded prompts and answers.
    double linkShare = 0.25;
    /// Bytes of a token on the link: 4 of text and the frame of an event.
    double bytesPerPromptToken = 4;
    double bytesPerOutputToken = 60;
    Duration summaryStaleAfter = seconds(5);
};

struct TraceOptions
{
    std::size_t requests = 512;
    std::size_t linesPerRequest = 16;
};

/// All thresholds of the scheduler.
struct SchedulerOptions
{
    RoutingOptions routing;
    ConcurrencyOptions concurrency;
    QueueOptions queue;
    AdmissionOptions admission;
    RetryOptions retry;
    EjectionOptions ejection;
    QuarantineOptions quarantine;
    SpillOptions spill;
    TraceOptions trace;
};

/// A baseline: one of the simple policies, everything let in and sent at once.
SchedulerOptions baselineOptions(RoutingPolicy policy);

} // namespace LaburnumChute::Decisions
