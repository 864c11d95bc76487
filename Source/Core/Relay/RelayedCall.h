#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Catalog/Catalog.h"
#include "Common/RunPermit.h"
#include "Dialect/Dialect.h"
#include "Dispatch/Dispatch.h"
#include "Relay/EndCheck.h"
#include "Relay/EventCutter.h"
#include "Relay/ForwardMetadata.h"
#include "Relay/InboundConnection.h"
#include "Relay/OutboundCall.h"
#include "Relay/SecondAnswer.h"

namespace LaburnumChute::Relay {

class RelayGateway;

/// The properties of a request that are fixed when it is accepted.
struct RelayPlan
{
    Dispatch::CallFacts facts;
    Dialect::CallerMetadata head;
    /// Headers of the caller without the hop-by-hop ones.
    Common::Headers headers;
    std::string method;
    std::string target;
    std::shared_ptr<const std::string> body;
    bool resumable = false;
    std::optional<Common::milliseconds> gap;
    /// Customer that the request is served for, empty if there is none, and the usage that was
    /// counted for it.
    Common::CustomerName customer;
    double usage = 0;
    /// The request was forwarded by a peer, which passes the outcome on to the caller.
    bool fromPeer = false;
};

/// A running request. Executes the scheduler's decisions and passes the response back to the
/// caller, or generates an error response if there is none.
class RelayedCall : public std::enable_shared_from_this<RelayedCall>
{
public:
    RelayedCall(RelayGateway &gateway, RelayPlan plan,
                std::shared_ptr<InboundConnection> connection);
    ~RelayedCall();

    void start(Common::Time now);
    void tick(Common::Time now);

    // Decisions of the scheduler.

    void send(const Dispatch::Send &effect, Common::Time now);
    void forward(const Dispatch::Forward &effect, Common::Time now);
    void reject(const Dispatch::Reject &effect, Common::Time now);
    void fail(Common::Time now);
    void abandonSilentAttempt(Common::Time now);
    /// Ends the request, since the process exits.
    void endForExit(Common::Time now);

    /// The answers in memory are too large, and this is the largest.
    void releaseAnswer();

    const RelayPlan &plan() const
    {
        return plan_;
    }
    bool finished() const
    {
        return finished_;
    }
    /// Nothing of it is under way at an endpoint or peer.
    bool waiting() const
    {
        return !call_;
    }
    bool callerStalled(Common::Time now) const
    {
        return connection_->stalled(now);
    }

private:
    /// How the current response is handled.
    enum class ResponseMode {
        None,
        /// Passed on event by event as it arrives.
        Streamed,
        /// Buffered until it is complete.
        Buffered,
        /// The endpoint or peer states that it has not run the request.
        NotRun,
        /// Another endpoint has the address.
        Replaced,
        /// The peer does not know whether the request has run.
        Unknown,
    };
    struct KeptResponse
    {
        unsigned status = 0;
        Common::Headers headers;
        std::string body;
    };

    OutboundRequest outboundRequest(const std::string &address, const Common::Headers &headers,
                                    Common::Time now) const;
    Common::Duration maxConnectionIdle() const;
    /// Asked immediately before the request is written to a connection.
    bool maySend();
    void startCall(OutboundRequest request, Common::Time now);
    bool handleHead(const ResponseHead &head);
    /// Whether the answer states the id of this request, or cannot be that to another one: the
    /// first answer of a connection is that to its first request.
    bool answersThisRequest(const Dialect::EndpointResponseMetadata &facts) const;
    void readPeerState(const ResponseHead &head);
    /// Logs what shows that the endpoint has not run the request.
    void logNotRun(const Dialect::EndpointResponseMetadata &facts, Common::Time now);
    /// Records what the endpoint says about itself in its answer.
    void recordEndpointState(const Dialect::EndpointResponseMetadata &facts, Common::Time now);
    void recordLimit(const Dialect::EndpointResponseMetadata &facts, Common::Time now);
    void recordBrittleness(const Dialect::EndpointResponseMetadata &facts, Common::Time now);
    void handleBody(const std::string &bytes);
    void passOnEvents(const std::string &events);
    std::size_t heldBytes() const;
    void discardResponse();
    /// Ends the attempt, whose response cannot be used.
    void failInvalid(const std::string &reason);
    void pauseReading(bool paused);
    void handleEnd(ResponseEnd end);
    /// Begins to check the process that sends a response without a length.
    void beginEndCheck(Common::Time now);
    void handleEndCheck(EndCheckResult result);
    void completeResponse(Common::Time now);
    /// What a whole answer shows.
    Dispatch::AttemptOutcome wholeOutcome() const;
    void handleFailure(CallFailure failure, const std::string &reason);
    void endAttempt(Dispatch::AttemptOutcome outcome, bool mayRetry, Common::Time now);
    bool isSuccess() const;
    void sendKeptResponse();
    void sendOwnResponse(unsigned status, const std::string &detail,
                         std::optional<Common::milliseconds> retryAfter, bool notRun);
    void handleCallerDisconnect();
    /// Ends the request instead of sending it if its caller has disconnected. Returns true if so.
    bool abandonIfCallerLeft(Common::Time now);
    /// Ends the request instead of sending it if this process is expected to exit before its
    /// answer. Returns true if so.
    bool endIfExitIsSooner(Common::Time now);
    void timeOut(Common::Time now);
    /// Ends the request without an answer from an endpoint.
    void endUnanswered(const std::string &detail, const char *outcome,
                       Dispatch::AttemptOutcome attemptOutcome, Common::Time now);
    /// Ends what is under way at the endpoint or peer.
    void cancelCall();
    void finish(const char *outcome);
    Common::milliseconds timeLeft(Common::Time now) const;

    RelayGateway &gateway_;
    RelayPlan plan_;
    std::shared_ptr<InboundConnection> connection_;
    std::shared_ptr<OutboundCall> call_;
    Common::RunPermit permit_;
    /// Address of the current call.
    std::string address_;
    std::shared_ptr<EndCheck> endCheck_;
    ResponseMode responseMode_ = ResponseMode::None;
    KeptResponse response_;
    /// Last error response of an endpoint. Passed on if no later attempt succeeds.
    std::optional<KeptResponse> lastErrorResponse_;
    EventCutter cutter_;
    SecondAnswer secondAnswer_;
    Common::EndpointId endpoint_;
    Common::InstanceId peer_;
    Common::Time sentAt_{};
    Common::Time lastEventAt_{};
    /// Time from the arrival of the request to the first event passed on, and the longest pause
    /// after that.
    std::optional<Common::Duration> firstEventAfter_;
    Common::Duration longestPause_{0};
    int eventsPassedOn_ = 0;
    /// What showed the end of the last response.
    std::optional<ResponseEnd> responseEnd_;
    std::optional<EndCheckResult> endCheckResult_;
    std::size_t incompleteEventBytes_ = 0;
    /// Rate limit stated in the last response of an endpoint.
    std::optional<double> limitPerSecond_;
    Common::Duration expected_{0};
    std::string lastReason_;
    bool streamStarted_ = false;
    bool responding_ = false;
    bool everSent_ = false;
    /// The caller was told that the request has not run.
    bool toldNotRun_ = false;
    bool callerDisconnected_ = false;
    bool finished_ = false;
};

} // namespace LaburnumChute::Relay
