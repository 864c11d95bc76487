#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "Common/Common.h"
#include "Common/RunPermit.h"
#include "Decisions/Decisions.h"
#include "Endpoints/Endpoints.h"
#include "Entry/Entry.h"
#include "Gateway/AsyncLedger.h"
#include "Gateway/CallPlan.h"
#include "Gateway/Dispatcher.h"
#include "Gateway/Responder.h"
#include "Gateway/RoutingTable.h"

namespace LaburnumChute::Gateway {

/// Metrics of request processing.
struct RequestMetrics
{
    explicit RequestMetrics(Common::MetricsRegistry &registry);

    Common::Counter &completed;
    Common::Counter &cancelled;
    Common::Counter &rejected;
    Common::Counter &failed;
    Common::Counter &cancelsConfirmed;
    Common::Counter &cancelsUnconfirmed;
    Common::Counter &resumptions;
    Common::Counter &sendsWithheld;
    Common::Counter &forwardedToRegion;
    Common::DurationHistogram &firstToken;
};

/// Dependencies and settings that all runners share.
struct RunnerContext
{
    Common::InstanceId self;
    Common::RegionName home;
    Dispatcher &dispatcher;
    AsyncLedger &ledger;
    const RoutingTableCell &table;
    RequestMetrics &metrics;
    /// Memory for parts of answers that cannot be relayed as they come.
    Async::ByteBudget &budget;
    Endpoints::EndpointStreamOptions streamOptions;
    Common::Duration cancelTimeout;
};

/// Processes one planned request: waits for the scheduler's decisions, sends the request to an
/// endpoint or another region, and relays the response. Runs on the thread of its responder.
class CallRunner : public std::enable_shared_from_this<CallRunner>
{
public:
    CallRunner(const RunnerContext &context, std::shared_ptr<Endpoints::ConnectionPool> pool,
               IncomingRequest incoming, CallPlan plan, Responder responder);

    asio::awaitable<void> run();

private:
    /// Whether the loop in run() waits for another decision after an attempt.
    enum class Step { Ended, Continue };

    /// Claims the idempotency key in the ledger; otherwise answers the caller and returns false.
    asio::awaitable<bool> claimKey();
    /// Another instance issued the request's idempotency key and holds it while the request runs
    /// here.
    bool keyHeldBySender() const;
    /// Takes the permit, and asks the ledger about an at-most-once request, immediately before the
    /// request is sent; answers the caller if it may not be sent.
    asio::awaitable<bool> permitDispatch(const Common::EndpointId &endpoint);
    /// Records in the ledger that an attempt failed.
    asio::awaitable<void> recordFailure(bool notRun);
    /// Ends a request that was to be sent although an earlier attempt may have run it.
    asio::awaitable<void> withhold(const Common::EndpointId &endpoint);
    asio::awaitable<Step> handle(const Decisions::Effect &effect);
    asio::awaitable<Step> runAtEndpoint(const Decisions::Dispatch &dispatch);
    asio::awaitable<Step> relayResponse(Endpoints::ResponseHead head,
                                        const Common::EndpointId &endpoint);
    asio::awaitable<Step> endpointFailed(Endpoints::EndpointFailure failure,
                                         const Common::EndpointId &endpoint);
    asio::awaitable<Step> completeAtEndpoint(const Common::EndpointId &endpoint);
    asio::awaitable<Common::Result<void>> relayPiece(std::string bytes);
    /// Reserves the memory for what is kept of the answer. Returns false if it is too large.
    bool reserveMemory();
    /// Adds bytes to the answer for repetitions, or gives it up if it is too large.
    void record(std::string_view bytes);
    /// Ends a call whose response can no longer be completed.
    asio::awaitable<Step> failIncompleteResponse(const Common::EndpointId &endpoint,
                                                 const std::string &detail);
    asio::awaitable<bool> relayHead(const Endpoints::ResponseHead &head);
    asio::awaitable<bool> relayEnd();

    asio::awaitable<Step> forwardToRegion(const Decisions::Forward &forward);
    asio::awaitable<void> forwardToOwner(Ledger::OwnedElsewhere owned);
    /// The instance that received the ledger handover of an ended incarnation of the owner.
    const PeerEntry *successorOf(const Ledger::OwnedElsewhere &owned,
                                 const RoutingTable &table) const;
    /// Relays the response of the instance that holds the key's record, or returns the problem to
    /// report to the caller.
    asio::awaitable<std::optional<Entry::Problem>>
    forwardToKeyHolder(const PeerEntry *keyHolder, Ledger::RejectionReason reasonIfUnreachable);
    asio::awaitable<void> releaseKey();
    static Peers::AnswerFailure ownerTimeoutFailure();
    /// Forwards the request and relays the response; returns the failure of the peer, if any.
    asio::awaitable<std::optional<Peers::AnswerFailure>> relayFromPeer(const PeerEntry &peer,
                                                                       Peers::OnceRole onceRole);
    Peers::ForwardedRequest makeForwarded(Peers::OnceRole onceRole) const;

    asio::awaitable<void> reject(const Decisions::Reject &rejection);
    asio::awaitable<void> sendProblem(Entry::Problem problem);
    asio::awaitable<void> sendKeyRequired(std::string detail);

    void onCallerDisconnected();
    /// Called when the caller of the instance that forwarded the request has left. That instance
    /// still waits for the outcome.
    void onSenderWithdrew();
    void cancelOutgoingCall();
    /// Called when the scheduler withdraws the request: it was superseded, or its slot is needed.
    void withdraw();
    /// Aborts the attempt at an endpoint, unless it must run to completion.
    void abortAttempt();
    /// Reports to a caller that is still connected that its request was withdrawn.
    asio::awaitable<Step> sendWithdrawnProblem();
    void cancelGeneration();
    /// Waits until an endpoint whose attempt failed confirms that it generates no more, if it may.
    asio::awaitable<void> endGeneration(const Endpoints::EndpointFailure &failure);
    Endpoints::EndpointRequest endpointRequest(const EndpointEntry &endpoint) const;
    /// An at-most-once request that was sent must run to completion.
    bool mayAbort() const
    {
        return !plan_.atMostOnce || !permit_.mayHaveRun();
    }

    const RunnerContext &context_;
    std::shared_ptr<Endpoints::ConnectionPool> pool_;
    IncomingRequest incoming_;
    CallPlan plan_;
    Responder responder_;
    std::shared_ptr<const RoutingTable> table_;
    std::unique_ptr<Dispatcher::Registration> registration_;
    std::unique_ptr<Endpoints::EndpointStream> stream_;
    std::unique_ptr<Peers::OutgoingCall> outgoingCall_;
    Common::RunPermit permit_;
    std::optional<Ledger::Reservation> ledgerReservation_;
    std::optional<Ledger::Attempt> ledgerAttempt_;
    std::optional<Entry::CompletionAssembler> wholeAnswer_;
    std::optional<Entry::StreamContinuation> continuation_;
    /// The answer for repetitions of an at-most-once request; empty if it is too large.
    std::optional<Ledger::KeptAnswer> recordedAnswer_;
    /// Memory of `wholeAnswer_`, `recordedAnswer_` and `continuation_`.
    Async::ByteReservation reservation_;
    Common::Time startedAt_;
    bool firstTokenSeen_ = false;
    bool callerDisconnected_ = false;
    bool senderWithdrew_ = false;
    bool withdrawn_ = false;
    /// The last forwarded request never left this instance.
    bool forwardNotSent_ = false;
};

} // namespace LaburnumChute::Gateway
