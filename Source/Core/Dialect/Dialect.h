#pragma once

// Public header of the library Dialect: metadata of callers' requests, of requests to endpoints and
// of endpoints' responses beyond plain HTTP. The adapters map it to concrete headers.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Dialect {

/// A part of a prompt that several requests may have in common.
struct PromptPart
{
    /// Identifies the content of the part.
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

/// Metadata of a caller's request.
struct CallerMetadata
{
    /// Unique per request; a retry by the caller has a different id.
    std::string requestId;
    /// Time that the caller is willing to wait.
    std::optional<Common::milliseconds> deadline;
    /// Zero for requests that are not for a model.
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    /// The request states the numbers of prompt and output tokens.
    bool statesTokens = false;
    /// The caller's estimate of the output length; accurate only in the median.
    std::optional<std::int64_t> expectedOutputTokens;
    /// Parts in prompt order; the last one is specific to this request.
    std::vector<PromptPart> promptParts;
    /// The caller resumes a stream after this event.
    std::optional<std::string> lastEventId;
};

/// Metadata that is added to a request to an endpoint.
struct EndpointRequestMetadata
{
    std::string requestId;
    /// Remaining time of the caller's deadline.
    Common::milliseconds deadline{0};
    /// Expected receiver; any other endpoint rejects the request, since addresses are reused.
    Common::EndpointId endpoint;
    /// Customer that the request is served for; empty if there is none.
    std::optional<Common::CustomerName> customer;
    /// 0 is the most urgent; if empty, the endpoint's default applies.
    std::optional<int> urgency;
    /// "ip:port" of an endpoint from which cached prompt parts are copied before execution.
    std::optional<std::string> copyCacheFrom;
    /// The stream is to be resumed after this event.
    std::optional<std::string> lastEventId;
};

/// An endpoint's load at the time of its response.
struct LoadSample
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// How long work currently takes on the endpoint's machine; 100 is usual. Empty if not stated.
    std::optional<int> workPercent = {};
    /// It was stated, but not as a number in the valid range.
    bool invalidWorkPercent = false;
};

/// Metadata of an endpoint's response.
struct EndpointResponseMetadata
{
    /// Id of the request that was answered; empty if not stated.
    std::string requestId;
    /// The response carries the endpoint's signature, its seal.
    bool sealed = false;
    /// The endpoint has not executed the request and will not do so.
    bool notRun = false;
    /// The address now belongs to an endpoint other than the expected one.
    bool wrongEndpoint = false;
    std::optional<LoadSample> load;
    /// Rate limit in requests per second that applies to all instances together; empty if the
    /// endpoint announces none.
    std::optional<double> limitPerSecond;
    /// The endpoint ends if it has to reject more requests within a second for want of room; empty
    /// if it states no such number.
    std::optional<std::int64_t> toleratedRejections;
    /// Remaining warm-up time of the endpoint.
    std::optional<Common::Duration> coldLeft;
    /// The endpoint rejects requests and wants none from this instance for this long.
    std::optional<Common::Duration> restFor;
    /// The endpoint is leaving and accepts no new requests.
    bool leaving = false;
};

} // namespace LaburnumChute::Dialect
