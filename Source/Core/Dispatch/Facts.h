#pragma once

// Inputs and outputs of the scheduler of relayed requests.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Catalog/Catalog.h"
#include "Dialect/Dialect.h"
#include "Dispatch/SuspectKey.h"

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

/// Identifies a request within this process.
using CallId = std::uint64_t;

/// Properties of a request that the decisions depend on.
struct CallFacts
{
    CallId id = 0;
    ServiceName service;
    RequestKind kind = RequestKind::AtMostOnce;
    /// Running it twice is harmless.
    bool repeatable = false;
    /// 0 is the highest.
    int priority = 0;
    Time arrivedAt{};
    /// Target time of the first byte of the answer.
    Time objectiveAt{};
    /// Time at which the caller gets an answer in any case.
    Time deadline{};
    /// Pause after which the caller of a stream leaves.
    Duration patience = seconds(2);
    std::vector<Dialect::PromptPart> parts;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /// Regions that may serve it; empty allows all regions.
    std::vector<RegionName> allowedRegions;
    /// Another instance forwarded it, so it must not be forwarded to another region.
    bool forwarded = false;
    /// An instance of this region that reaches no endpoint forwarded it, so it must not be
    /// forwarded at all.
    bool handedOver = false;
    /// Number of endpoints that may run it.
    int maxRuns = 1;
    /// Equal for requests with the same content from the same customer.
    std::uint64_t fingerprint = 0;
    /// As above, whatever the method and the query of the target.
    std::uint64_t contentFingerprint = 0;
};

/// Why an attempt on an endpoint or in another region ended.
enum class AttemptOutcome {
    /// The whole answer was received.
    Completed,
    /// As above, but it does not show that the endpoint served the request: it is an error of the
    /// caller, or only the close of its connection ended it, and the endpoint could not be asked.
    Answered,
    /// The caller disconnected.
    Cancelled,
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The connection was refused: nothing listens at the address. Nothing was sent.
    Refused,
    /// A connection was established, but by then the endpoint had begun to leave. Nothing was sent.
    Withheld,
    /// The endpoint reported that it did not run the request.
    NotRun,
    /// Another endpoint has the address and reported that it did not run the request.
    Replaced,
    /// The endpoint ran the request and answered with an error of its own.
    Error,
    /// The connection broke during the attempt; the request may have run.
    Broken,
    /// The endpoint sent bytes that are no valid answer, so it had not ended. The request may have
    /// run.
    Invalid,
    /// No answer arrived in time; the request may have run.
    Silent,
};

std::string_view toString(AttemptOutcome outcome);
/// Whether a whole answer was received.
bool isWhole(AttemptOutcome outcome);
/// Whether the request is known not to have been sent.
bool isUnsent(AttemptOutcome outcome);
/// Whether the request is known not to have run.
bool isNotRun(AttemptOutcome outcome);
Common::RunState runStateAfter(AttemptOutcome outcome);

enum class RejectReason {
    /// It could not be answered in the time that its caller allows.
    Overloaded,
    /// No region that may serve it has an endpoint.
    NoEndpoint,
    /// Endpoints that ran it crashed.
    Quarantined,
    /// It was not run, and no attempts are left.
    AttemptsUsed,
};

std::string_view toString(RejectReason reason);

/// Path of a transfer between endpoints, the shortest first. Their rates differ by factors of two
/// to ten.
enum class TransferPath : std::uint8_t {
    WithinDomain,
    BetweenDomains,
    BetweenRegions,
};

inline constexpr std::array TransferPaths = {
    TransferPath::WithinDomain, TransferPath::BetweenDomains, TransferPath::BetweenRegions};

std::string_view toString(TransferPath path);

/// Copy of cached parts of a prompt that an endpoint makes before it prefills the rest.
struct CacheCopy
{
    EndpointId source;
    std::int64_t tokens = 0;
    double bytes = 0;
    /// Expected time until the links of both endpoints are free, and of the transfer itself.
    Duration wait{0};
    Duration time{0};
    TransferPath path = TransferPath::WithinDomain;
};

/// A copy whose answer has begun.
struct MeasuredTransfer
{
    TransferPath path = TransferPath::WithinDomain;
    /// Ratio of the measured to the expected time of the copy.
    double ratio = 1;
};

/// Send the request to the endpoint now.
struct Send
{
    CallId call = 0;
    EndpointId endpoint;
    /// "ip:port".
    std::string address;
    /// "ip:port" of an endpoint that has more of the prompt in its prefix cache.
    std::optional<std::string> copyCacheFrom;
    std::optional<CacheCopy> copy;
    /// Another endpoint has more of the prompt, but prefilling it again is sooner than a copy.
    bool prefillsSooner = false;
    /// The endpoint has failed, and an idle connection to it may hang: nothing is sent unless a new
    /// connection is established.
    bool newConnection = false;
    /// Expected time until the first byte of the answer.
    Duration expected{0};
    // Inputs of the decision, for the log: prompt tokens that are not cached on the endpoint, and
    // the endpoint's requests: those of this instance, those that the region's other instances
    // reported, and those that they are assumed to have sent since.
    std::int64_t prefillTokens = 0;
    int own = 0;
    double others = 0;
    double assumed = 0;
    /// Last figure of how long work takes on the endpoint's machine, with its age, and the expected
    /// factor that follows from it.
    std::optional<int> machinePercent;
    Duration machineAge{0};
    double statedWorkFactor = 1;
};

/// Why a request is forwarded.
enum class ForwardReason {
    /// It leaves the endpoints of this region to requests that are restricted to some regions.
    Yield,
    /// It would wait here for longer than in the other region.
    NoCapacity,
    /// This instance reaches no endpoint that accepts it.
    Unreachable,
    /// It must not be served in this region.
    NotAllowedHere,
};

std::string_view toString(ForwardReason reason);

/// Forward the request to an instance of the region now.
struct Forward
{
    CallId call = 0;
    RegionName region;
    /// Instance of the own region that it is handed over to; empty to choose any of the region.
    InstanceId instance;
    /// Number of endpoints that may run it there.
    int maxRuns = 1;
    ForwardReason reason = ForwardReason::NoCapacity;
};

/// Whole seconds in which the region yielded for a service, see RegionYield.
struct YieldTime
{
    ServiceName service;
    std::uint64_t seconds = 0;
};

/// The request has not run; tell its caller when to retry.
struct Reject
{
    CallId call = 0;
    RejectReason reason = RejectReason::Overloaded;
    Duration retryAfter{0};
    /// What endpoints crashed under.
    std::optional<SuspectKey> suspect;
};

/// The request may have run and is not sent again; tell its caller what is known.
struct Fail
{
    CallId call = 0;
};

/// Cancel the attempt on an endpoint that has been silent for too long, and report its outcome as
/// Silent.
struct CancelAttempt
{
    CallId call = 0;
};

/// An endpoint crashed while it ran requests.
struct EndpointCrash
{
    EndpointId endpoint;
    /// Keys of the requests that broke off there and that count.
    std::vector<SuspectKey> suspects;
};

/// Requests with the key are rejected until it is known whether the endpoints on which they broke
/// off have ended.
struct SuspectHold
{
    SuspectKey key;
    /// Endpoints that may have ended, and that have ended, under the key alone.
    std::size_t open = 0;
    std::size_t ended = 0;
    /// The last evidence was reported by another instance.
    bool reportedByPeer = false;
};

/// Requests with the key are rejected from now on.
struct SuspectQuarantine
{
    SuspectKey key;
    std::size_t ended = 0;
    /// The last evidence was reported by another instance.
    bool reportedByPeer = false;
};

/// Why evidence that requests crash endpoints does not count, or not any more.
enum class EvidenceLoss {
    /// The request completed here.
    Completed,
    /// The request completed at another instance.
    CompletedAtPeer,
    /// The request had completed shortly before the attempt broke off.
    CompletedBefore,
    /// The endpoint answered a later request.
    EndpointAnswered,
    /// Nothing showed in time whether the endpoint has ended.
    Unconfirmed,
    /// The crash was put down to another request.
    PutDownToOther,
    /// The endpoint was leaving, and may have ended on purpose.
    EndpointLeft,
    /// This instance may have lost its paths to the endpoints.
    PathsDoubtful,
    /// No memory was left for it.
    NoMemory,
};

std::string_view toString(EvidenceLoss reason);

/// Evidence that does not count.
struct EvidenceLost
{
    EvidenceLoss reason = EvidenceLoss::Completed;
    std::vector<SuspectKey> keys;
};

/// Whether the budget allowed another attempt of a request, for the log.
struct SilenceChange
{
    EndpointId endpoint;
    bool silent = false;
    /// Time for which it has been or was silent.
    Duration silence{0};
};

struct RetryDecision
{
    CallId call = 0;
    ServiceName service;
    bool allowed = false;
    /// Requests and retries of this instance in the window of the budget. A forwarded request
    /// counts as one half at each instance.
    double requests = 0;
    std::size_t retries = 0;
    /// Retries that this instance may make in the window.
    double limit = 0;
    /// Instances among which the fixed part of the budget is divided; zero while their number is
    /// not known.
    std::size_t instances = 0;
};

/// What became known of crashes, for the log.
using CrashEvent = std::variant<EndpointCrash, SuspectHold, SuspectQuarantine, EvidenceLost>;

using Effect = std::variant<Send, Forward, Reject, Fail, CancelAttempt>;
using Effects = std::vector<Effect>;

} // namespace LaburnumChute::Dispatch
