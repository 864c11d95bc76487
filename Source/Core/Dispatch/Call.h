#pragma once

#include <optional>
#include <vector>

#include "Dispatch/EndpointRuns.h"
#include "Dispatch/TransferModel.h"

namespace LaburnumChute::Dispatch {

enum class RetryCharge {
    /// It is the first one that may reach an endpoint.
    None,
    /// It has not been sent.
    Reserved,
    /// It was sent at Call::sentAt.
    Sent,
};

/// A copy whose time is expected from its size and the link rate.
struct MeasuredCopy
{
    EndpointId source;
    RunId sourceRun = 0;
    TransferPath path = TransferPath::WithinRegion;
    std::int64_t tokens = 0;
    /// Expected wait for links.
    Duration wait{0};
    /// Expected time to the first event without the transfer, and with a prefill instead of it.
    Duration others{0};
    Duration withoutCopy{0};
};

/// A request that was submitted to the scheduler and has not ended.
struct Call
{
    CallFacts facts;
    /// See suspectKeys().
    std::vector<SuspectKey> keys;
    bool queued = false;
    bool withdrawn = false;
    /// Where the current attempt runs; the endpoint is empty if the request was forwarded to a
    /// region.
    EndpointId endpoint;
    RunId run = 0;
    RegionName region;
    Time sentAt{};
    Duration expected{0};
    /// EndpointState::workFactor() and statedWorkFactor() when the request was sent.
    double workFactor = 1;
    double statedWorkFactor = 1;
    std::int64_t prefillTokens = 0;
    std::optional<MeasuredCopy> copy;
    bool answering = false;
    /// When the answer began.
    Time answeringSince{};
    /// When a part of its answer was last received.
    Time lastEventAt{};
    /// Longest pause between events of the current attempt, at the usual speed of the machine.
    Duration longestPause{0};
    /// When reading from the endpoint was last resumed.
    Time readingResumedAt{};
    /// It counts in StreamGrouping.
    bool shortStream = false;
    /// Nothing is read from the endpoint while the caller does not take what there is.
    bool readingPaused = false;
    /// When a replacement for the attempt was last looked for.
    Time examinedAt{};
    /// The answer has gone on for a while, so the endpoint does not crash as it begins it.
    bool answerGoesOn = false;
    /// The beginning of the answer ended the ejection of the endpoint.
    bool readmittedEndpoint = false;
    /// Events of its answer so far, over all attempts.
    int events = 0;
    bool attemptCancelled = false;
    /// Keys that were suspected when the current attempt began, see CrashAttribution::started().
    std::vector<SuspectKey> suspectedKeys;
    /// The endpoint had a free slot when the request was sent.
    bool slotFreeAtSend = false;
    /// The endpoint was idle when the request was sent, so that prefill started at once.
    bool idleAtSend = false;
    /// Attempts that may have run the request.
    int runs = 0;
    /// Attempts with any outcome.
    int attempts = 0;
    /// Those of them that ended before anything was sent.
    int unsentAttempts = 0;
    /// What it is rejected for, if endpoints crashed under it.
    std::optional<SuspectKey> rejectedFor;
    /// How the current or next attempt is charged to the retry budget.
    RetryCharge retryCharge = RetryCharge::None;
    std::vector<EndpointId> attemptedEndpoints;
    std::vector<RegionName> attemptedRegions;
    /// Instances of the own region that it was handed over to.
    std::vector<InstanceId> attemptedInstances;
};

} // namespace LaburnumChute::Dispatch
