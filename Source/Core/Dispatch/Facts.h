#pragma once

// What the scheduler of relayed requests is told and what it answers.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Catalog/Catalog.h"
#include "Dialect/Dialect.h"

namespace LaburnumChute::Dispatch {

using Catalog::RequestKind;
using Common::Duration;
using Common::EndpointId;
using Common::InstanceId;
using Common::milliseconds;
using Common::RegionName;
using Common::seconds;
using Common::ServiceName;
using Common::Time;

/// Names a request within this process.
using CallId = std::uint64_t;

/// One request as the decisions see it.
struct CallFacts
{
    CallId id = 0;
    ServiceName service;
    RequestKind kind = RequestKind::AtMostOnce;
    /// A second run does no harm.
    bool repeatable = false;
    /// 0 is the highest.
    int priority = 0;
    Time arrivedAt{};
    /// When the first byte of the answer should be there.
    Time objectiveAt{};
    /// When its caller gets an answer whatever has happened.
    Time deadline{};
    std::vector<Dialect::PromptPart> parts;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /// The only regions that may serve it; empty allows all.
    std::vector<RegionName> allowedRegions;
    /// It came from another region and is not forwarded again.
    bool forwarded = false;
    /// Endpoints on which it may run.
    int maxRuns = 1;
    /// Equal for requests of the same content from the same caller.
    std::uint64_t fingerprint = 0;
};

/// Why a try on an endpoint or in another region ended.
enum class AttemptOutcome {
    /// The whole answer came, whatever it says.
    Completed,
    /// Its caller has left.
    Cancelled,
    /// No connection came about, so nothing was sent.
    NotConnected,
    /// The endpoint said that it has not run it.
    NotRun,
    /// The endpoint answered with an error of its own, after running it.
    Error,
    /// The connection broke under it; it may have run.
    Broken,
    /// No answer came in time; it may have run.
    Silent,
};

std::string_view toString(AttemptOutcome outcome);

enum class RejectReason {
    /// It would not be served in the time its caller wants.
    Overloaded,
    /// No endpoint in any region that may serve it.
    NoEndpoint,
    /// It has taken down the endpoints that ran it.
    Quarantined,
    /// It was not run, and no further try is left.
    TriesUsed,
};

std::string_view toString(RejectReason reason);

/// Send the request to the endpoint now.
struct Send
{
    CallId call = 0;
    EndpointId endpoint;
    /// "ip:port".
    std::string address;
    /// "ip:port" of an endpoint that holds more of the prompt.
    std::optional<std::string> copyCacheFrom;
    /// Expected until the first byte of the answer.
    Duration expected{0};
    // What decided, for the log: tokens of the prompt that the endpoint has to read, and requests
    // that it had of this instance and, as they told it and as is assumed, of the region's others.
    std::int64_t prefillTokens = 0;
    int own = 0;
    double others = 0;
    double assumed = 0;
};

/// Send the request to an instance of the region now.
struct Forward
{
    CallId call = 0;
    RegionName region;
    /// Endpoints on which it may run there.
    int maxRuns = 1;
};

/// The request has not run; tell its caller when to come back.
struct Reject
{
    CallId call = 0;
    RejectReason reason = RejectReason::Overloaded;
    Duration retryAfter{0};
};

/// The request may have run and is not sent again; tell its caller what is known.
struct Fail
{
    CallId call = 0;
};

/// Take the request off its endpoint, which is silent, and report that try as Silent.
struct CancelAttempt
{
    CallId call = 0;
};

using Effect = std::variant<Send, Forward, Reject, Fail, CancelAttempt>;
using Effects = std::vector<Effect>;

} // namespace LaburnumChute::Dispatch
