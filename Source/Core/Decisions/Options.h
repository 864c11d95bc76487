#pragma once

#include <cstddef>
#include <cstdint>
#include <variant>

#include "Common/Common.h"

namespace LaburnumChute::Decisions {

using Common::Duration;
using Common::milliseconds;
using Common::seconds;

/// Chooses the endpoint with the lowest expected time to first token. The default.
struct ExpectedCostPolicy
{
    /// Number of random candidates to compare, besides those known to hold the prompt's prefix. Two
    /// random choices remove most of the imbalance, and few choices avoid herding.
    int choices = 3;
    /// All candidates are compared if there are at most this many.
    int compareAllUpTo = 16;
    /// Cost of a second of prefill relative to a second of waiting for the first token: prefill
    /// also delays all other requests on the endpoint. With 0 only this request's own wait counts.
    double prefillWeight = 10.0;
    /// Cost of a second of decode steps that the engine would not run without this request. A step
    /// of an empty engine costs nearly as much as one of a full batch, so this packs work onto
    /// engines that are already running and leaves others idle at low load. Larger values save more
    /// engine time and increase tail latency.
    double packWeight = 0.1;
    /// Longest time that a request waits for a better endpoint that is full now, instead of taking
    /// a slot behind a long prefill or on an endpoint without its prefix.
    Duration maxWaitForBetter = seconds(1);
};
/// The baseline policies dispatch immediately and ignore all other signals.
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
    /// Endpoints of one target that an instance uses; bounds its load polls and the candidates of a
    /// decision.
    std::size_t subsetSize = 64;
    /// Each peer is assumed to have sent this fraction of what this instance sent since the last
    /// load report.
    double peerSendRatio = 0.5;
    /// Older reports are ignored.
    Duration reportStaleAfter = seconds(5);
    /// Added to the expected wait on an endpoint that has to load the adapter.
    Duration adapterLoadTime = seconds(2);
    /// An endpoint that is added later reaches its full limit after this time.
    Duration endpointSlowStart = seconds(10);
    /// Maximum number of (block, endpoint) pairs in the prefix index; about 100 bytes each.
    std::size_t prefixEntries = 131072;
};

struct ConcurrencyOptions
{
    /// Limit until an endpoint reports its batch limit.
    double initialLimit = 8;
    /// Requests that may queue on an endpoint beyond its batch limit, so that no slot is empty
    /// until the next request is sent.
    double slack = 4;
    /// The limit shrinks when the delay exceeds its baseline by this factor.
    double tolerance = 2.0;
    /// Weight of one sample in the moving average of the delay.
    double smoothing = 0.1;
    double minimum = 1;
    /// Minimum limit as a fraction of the reported batch limit. Below it an engine loses throughput
    /// whatever its delays, and the lost throughput would show up as further delay.
    double minimumBatchRatio = 0.25;
};

/// First in, first out.
struct FifoOrder
{
};
/// Newest first while the queue is overloaded, otherwise first in, first out.
struct AdaptiveLifoOrder
{
};
/// By arrival time plus a multiple of the work until the first token.
struct AgedWorkOrder
{
    /// Seconds of later arrival that count as much as one second of work.
    double workWeight = 4;
};
using QueueOrder = std::variant<FifoOrder, AdaptiveLifoOrder, AgedWorkOrder>;

struct QueueOptions
{
    QueueOrder order = AgedWorkOrder{};
    /// Maximum number of queued requests over all targets; bounds memory.
    std::size_t limit = 4096;
    /// The queue is overloaded when its oldest request has waited this long, which is about the
    /// latency objective. CoDel (RFC 8289) uses the minimum wait over an interval for the same
    /// purpose, but newest-first order would hide overload from that.
    Duration overloadInterval = milliseconds(800);
    /// Every Nth turn goes to the oldest request of the priority that is served.
    int oldestTurnInterval = 4;
    /// The lowest queued priority is served once the others got this many times its work.
    double lowerPriorityRatio = 10;
};

struct AdmissionOptions
{
    /// If false, every request is admitted, as for the baselines.
    bool enabled = true;
    /// Longest expected wait for the first token at which a request is still admitted, by patience.
    /// Much shorter limits would reject callers who come back and have lost their position in the
    /// queue.
    Duration maxWaitShort = seconds(5);
    Duration maxWaitNormal = seconds(10);
    Duration maxWaitLong = seconds(30);
    /// Work of a prompt token in decode tokens, until load reports give the rates.
    double prefillTokenWeight = 0.1;
    /// Fraction of the admissible backlog that one fingerprint may fill.
    double hotKeyFraction = 0.25;
    /// Fraction of the admissible backlog that a customer leaves for others when no other customer
    /// waits.
    double reserveFraction = 0.1;
    /// Averaging time of usage and drain rates.
    Duration averagingTime = seconds(5);
    /// retryAfter is extended by a random fraction of up to this, so that rejected callers do not
    /// come back all at once.
    double retryAfterJitter = 0.25;
};

struct RetryOptions
{
    /// Maximum number of attempts of one request.
    int maxAttempts = 3;
    /// Retries and hedges as a fraction of first attempts.
    double budgetRatio = 0.1;
    /// Maximum and initial balance of the retry budget. The loss of an endpoint fails a whole batch
    /// at once, and two such losses should not cause rejections.
    double budgetMaximum = 32;
    Duration backoff = milliseconds(50);
    Duration maxBackoff = seconds(2);
    /// No retries while at least this fraction of the target's endpoints is failing: retries only
    /// add load then.
    double maxFailingFraction = 0.5;
    /// A repeatable request is hedged when its first token takes this many times the expected wait;
    /// 0 disables hedging.
    double hedgeAfter = 4;
    Duration hedgeMinimum = milliseconds(500);
};

struct EjectionOptions
{
    int consecutiveFailures = 4;
    /// An endpoint is slow if its delay ratio is this many times the median's.
    double slowRatio = 4;
    int slowSamples = 8;
    Duration firstEjection = seconds(5);
    Duration maxEjection = seconds(120);
    /// Maximum fraction of a target's endpoints that may be ejected. If more qualify, the panic
    /// rule keeps all in use, since a fault that shows on most endpoints is not theirs.
    double maxEjectedFraction = 0.34;
};

struct QuarantineOptions
{
    /// A fingerprint is quarantined once this many distinct endpoints died while running it.
    std::size_t maxDeaths = 2;
    /// The fingerprint may run again if no further endpoint died for this long; doubles each time.
    Duration firstQuarantine = seconds(300);
    Duration maxQuarantine = seconds(3600);
    /// A suspect is removed after this long without a further death.
    Duration suspectLifetime = seconds(600);
    std::size_t maxSuspects = 4096;
};

struct SpillOptions
{
    bool enabled = true;
    /// Requests are forwarded when home is slower by more than this, and until it is slower by less
    /// than half of this.
    Duration threshold = milliseconds(100);
    /// Fraction of another region's free capacity that all instances of this region together may
    /// use.
    double freeCapacityFraction = 0.5;
    /// The same while home has no endpoint for the target and callers have no alternative.
    double freeCapacityFractionWithoutHome = 0.9;
    /// Initial forwarding rate to a region as a fraction of its maximum, and the time in which the
    /// rate doubles.
    double startFraction = 0.2;
    Duration doublingTime = seconds(2);
    /// Fraction of the link's bandwidth for forwarded prompts and responses.
    double linkFraction = 0.25;
    /// Bytes of a token on the link: 4 of text, and for output the framing of an event.
    double bytesPerPromptToken = 4;
    double bytesPerOutputToken = 60;
    Duration summaryStaleAfter = seconds(5);
};

struct TraceOptions
{
    std::size_t requests = 512;
    std::size_t linesPerRequest = 16;
};

/// All settings of the scheduler.
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

/// Settings of a baseline: the given routing policy, with admission control, forwarding, hedging
/// and ejection disabled.
SchedulerOptions baselineOptions(RoutingPolicy policy);

} // namespace LaburnumChute::Decisions
