#pragma once

#include <cstddef>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Thresholds of all decisions on relayed requests.
struct DispatchOptions
{
    // Prompts.

    /// Prompt tokens that an engine prefills per millisecond, until answers have been measured.
    double prefillRate = 40;
    /// Time from sending a request with a cached prompt to its first event, on an idle engine.
    milliseconds firstEventFloor{25};
    /// Fraction of an engine's time that prefill gets while the engine generates tokens for other
    /// requests, until answers have been measured.
    double prefillFraction = 0.8;
    /// Prompts with at least this many uncached tokens are announced to the region's other
    /// instances at once. Shorter ones come several times between two heartbeats and average out.
    std::int64_t noticeTokens = 1000;
    /// Weights of the generation time of an answer, and of the time by which its prefill delays
    /// answers that the engine already generates. Both are scaled by the ratio of the objective to
    /// the deadline. Above 1, since an answer that misses its deadline is lost, while one whose
    /// first event is late is not.
    double generationWeight = 8;
    double disturbanceWeight = 1.5;
    /// Delay of a request's first event by each other request on the endpoint.
    Duration delayPerRunning = std::chrono::microseconds(1500);
    /// Smallest part of a prompt that is copied between endpoints: prefilling less takes no longer
    /// than setting up a copy.
    std::int64_t copyMinimumTokens = 512;
    /// Time that a copy adds to the wait.
    milliseconds copyTime{15};
    /// Time that a copy from an endpoint of another region adds to the wait.
    milliseconds copyTimeBetweenRegions{130};
    /// Cost of a copy in addition to its time: it evicts another part from the prefix cache of the
    /// receiving engine, which has to prefill that part again later if cache space is short.
    milliseconds copyCost{150};
    /// Cost of a full endpoint compared to an empty one: each request slows down all others on the
    /// endpoint.
    milliseconds loadCost{60};
    /// Cost of an endpoint whose record has expired: it is used only if the others are slower by
    /// more than this.
    milliseconds missingCost{80};
    /// A prompt of which no endpoint of the region is known to have a large part cached goes to the
    /// endpoint that rendezvous hashing selects for its first large part, which is the same on all
    /// instances, unless the best endpoint's cost is lower by more than this.
    milliseconds preferredTolerance{120};
    /// Fraction of an endpoint's KV cache that is expected to hold cached parts; running requests
    /// use the rest.
    double cacheFraction = 0.7;

    // Slots.

    /// While a smaller fraction of an engine's slots is in use, instances take any slot; above it
    /// each instance keeps to its quota. The same for all instances, so that together they fill a
    /// quarter of the slots before they know of each other's requests.
    double quotaThreshold = 0.25;
    /// Limits of the number of requests that wait in the queue of a plain endpoint with no free
    /// slot: the wait as a fraction of the objective, and the number per slot.
    double plainQueueFraction = 0.4;
    double plainQueuePerSlot = 2;

    // Queueing.

    /// A request is sent if its first event is expected before the objective and within this
    /// fraction of it. A request that is held back here instead costs nothing if its caller leaves,
    /// and it goes to the engine or region that is free first.
    double objectiveFraction = 0.45;
    /// A prompt that would miss the objective even on an idle engine is judged by its wait for
    /// other requests, as a fraction of the objective; otherwise the largest prompts would never be
    /// sent.
    double waitFraction = 0.1;
    /// A request is admitted to the queue if its expected wait is within this fraction of the time
    /// that it may wait. The rest is a margin for estimation errors: a request admitted without it
    /// may be rejected or late in the end.
    double admissionFraction = 0.8;
    /// Time by which one step of priority moves a request in the queue. Strict priority order would
    /// starve the lower priorities under overload.
    milliseconds priorityStep{200};
    /// After this many requests of a service have not been sent in one pass, no endpoint is sought
    /// for the rest.
    std::size_t lookAhead = 8;
    /// Maximum number of queued requests over all services; bounds memory use.
    std::size_t queueLimit = 2000;
    /// Bounds of the retry delay of rejected requests. The load of an endpoint changes within the
    /// lower bound; callers with a few seconds left can still wait for the upper one.
    milliseconds retryAfterMin{300};
    milliseconds retryAfterMax{2000};
    /// Random fraction by which retry delays vary, so that rejected callers do not return together.
    double retryAfterJitter = 0.3;

    /// Random fraction by which the rest that an endpoint asks for is extended, so that instances
    /// that were asked together do not return together.
    double restJitter = 0.1;

    // Failing endpoints.

    /// Ejection time of an endpoint that refused a connection; doubled up to the maximum.
    milliseconds firstEjection{250};
    milliseconds maxEjection{2000};
    /// Consecutive broken or silent attempts after which an endpoint is ejected.
    int consecutiveFailures = 3;
    /// Weight of one answer in an endpoint's error rate.
    double errorWeight = 0.08;
    /// An endpoint is taken for silent if a request waits for it for this multiple of the expected
    /// time, and at least for the floor. The slowest plain calls take five times the mean.
    double silenceFactor = 5;
    milliseconds silenceFloor{700};

    // Limits shared by all instances.

    /// Fraction that all instances together use of a limit that applies to all of them: their
    /// information about each other may be a heartbeat or two old.
    double sharedBoundFraction = 0.7;
    /// Time after which a newly started process knows its peers: they answer its first heartbeat
    /// within milliseconds, and peers that start at the same time follow within a few heartbeat
    /// intervals.
    milliseconds peersKnownAfter{1500};

    // Other regions.

    /// Round trip time to an instance of another region, without the wait there.
    milliseconds regionRoundTrip{120};
    /// Time for which another region's report of its spare capacity is valid.
    milliseconds spareCapacityLifetime{1500};
    /// Fraction of another region's spare request rate that the instances of this region use, and
    /// the time for which they may accumulate it, which is about the report interval.
    double spillFraction = 0.5;
    milliseconds spillBurst{500};
    /// Averaging time of the rate at which an instance sends to another region: the age of the
    /// reports. A shorter time would make the rate oscillate; with a longer one, a peak of a few
    /// seconds would be over before the rate has adapted.
    milliseconds spillAveragingTime{500};
};

} // namespace LaburnumChute::Dispatch
