#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "Common/Common.h"
#include "Decisions/Decisions.h"
#include "Endpoints/Endpoints.h"
#include "Entry/Entry.h"
#include "Gateway/CallPlan.h"
#include "Gateway/Dispatcher.h"
#include "Gateway/LedgerDesk.h"
#include "Gateway/Responder.h"
#include "Gateway/RoutingTable.h"

namespace LaburnumChute::Gateway {

/// Measures of the path of a request.
struct RequestMetrics
{
    explicit RequestMetrics(Common::MetricsRegistry &registry);

    Common::Counter &completed;
    Common::Counter &cancelled;
    Common::Counter &refused;
    Common::Counter &failed;
    Common::Counter &cancelsConfirmed;
    Common::Counter &cancelsUnconfirmed;
    Common::Counter &resumptions;
    Common::Counter &away;
    Common::DurationHistogram &firstToken;
};

/// What runners share.
struct RunnerContext
{
    Common::InstanceId self;
    Common::RegionName home;
    Dispatcher &dispatcher;
    LedgerDesk &ledger;
    const RoutingTableCell &table;
    RequestMetrics &metrics;
    Endpoints::EndpointStreamOptions streamOptions;
    Common::Duration cancelTimeout;
};

/// Carries one planned request through: waits for decisions, sends it to an endpoint or another
/// region, passes the answer back. Lives on the thread of its responder.
class CallRunner : public std::enable_shared_from_this<CallRunner>
{
public:
    CallRunner(const RunnerContext &context, std::shared_ptr<Endpoints::ConnectionPool> pool,
               Arrival arrival, CallPlan plan, Responder responder);

    asio::awaitable<void> run();

private:
    /// How an endpoint's or a region's try went on for the loop in run().
    enum class Step { Ended, Continue };

    asio::awaitable<bool> beginOnce();
    /// Another instance has minted the request's key and holds it while it runs here.
    bool heldBySender() const;
    /// Asks whether a request that must not run twice may leave now; answers its caller if not.
    asio::awaitable<bool> permitOnce(const Common::EndpointId &endpoint);
    /// Records for a key that a try has failed.
    asio::awaitable<void> recordFailure(bool notRun);
    asio::awaitable<Step> handle(const Decisions::Effect &effect);
    asio::awaitable<Step> runAtEndpoint(const Decisions::Dispatch &dispatch);
    asio::awaitable<Step> passAnswer(Endpoints::ResponseHead head,
                                     const Common::EndpointId &endpoint);
    asio::awaitable<Step> endpointFailed(Endpoints::EndpointFailure failure,
                                         const Common::EndpointId &endpoint);
    asio::awaitable<Step> completeAtEndpoint(const Common::EndpointId &endpoint);
    asio::awaitable<Common::Result<void>> passPiece(std::string bytes);
    /// Ends a call whose answer cannot be completed any more.
    asio::awaitable<Step> brokenOff(const Common::EndpointId &endpoint, const std::string &detail);
    asio::awaitable<bool> sendHead(const Endpoints::ResponseHead &head);
    asio::awaitable<bool> sendEnd();

    asio::awaitable<Step> runAtRegion(const Decisions::Forward &forward);
    asio::awaitable<void> runAtOwner(Ledger::OwnedElsewhere owned);
    /// The instance that keeps what an ended life of the owner handed over.
    const PeerEntry *successorOf(const Ledger::OwnedElsewhere &owned,
                                 const RoutingTable &table) const;
    /// Passes the answer of the instance that can speak for the key, or gives the problem to tell.
    asio::awaitable<std::optional<Entry::Problem>> askAnswerer(const PeerEntry *answerer,
                                                               Ledger::RefusalReason otherwise);
    asio::awaitable<void> releaseKey();
    static Peers::AnswerFailure ownerSilent();
    /// Forwards the request and passes the answer on; the failure when nothing was passed on.
    asio::awaitable<std::optional<Peers::AnswerFailure>> passFrom(const PeerEntry &peer,
                                                                  Peers::OnceRole once);
    Peers::ForwardedRequest makeForwarded(Peers::OnceRole once) const;

    asio::awaitable<void> refuse(const Decisions::Refuse &refusal);
    asio::awaitable<void> answerProblem(Entry::Problem problem);
    asio::awaitable<void> offerKey(std::string detail);

    void callerGone();
    /// The scheduler has given the request up: it was superseded, or its place is needed.
    void withdraw();
    /// Takes the request off its endpoint or region, unless it must not be stopped half-way.
    void abandon();
    /// Tells a caller who is still there that its request was withdrawn.
    asio::awaitable<Step> answerWithdrawn();
    void cancelRemotely();
    Endpoints::EndpointRequest endpointRequest(const EndpointEntry &endpoint) const;
    bool mayAbandon() const
    {
        return !runsOnce_;
    }

    const RunnerContext &context_;
    std::shared_ptr<Endpoints::ConnectionPool> pool_;
    Arrival arrival_;
    CallPlan plan_;
    Responder responder_;
    std::shared_ptr<const RoutingTable> table_;
    std::unique_ptr<Dispatcher::Ticket> ticket_;
    std::unique_ptr<Endpoints::EndpointStream> stream_;
    std::unique_ptr<Peers::OutgoingCall> outgoing_;
    std::optional<Ledger::Attempt> ledgerAttempt_;
    std::optional<Ledger::Dispatch> ledgerDispatch_;
    std::optional<Entry::CompletionAssembler> whole_;
    std::optional<Entry::StreamContinuation> continuation_;
    Ledger::KeptAnswer kept_;
    Common::Time startedAt_;
    bool firstTokenSeen_ = false;
    bool callerGone_ = false;
    bool withdrawn_ = false;
    /// A request that must not run twice has left and must not be stopped half-way.
    bool runsOnce_ = false;
    /// The last forward did not leave this instance.
    bool neverSent_ = false;
};

} // namespace LaburnumChute::Gateway
