#include "Gateway/CallRunner.h"

#include <algorithm>
#include <random>

#include "Gateway/CallProblems.h"

// CallRunner: forwarding of requests to other instances.

namespace LaburnumChute::Gateway {

namespace {

namespace D = LaburnumChute::Decisions;
namespace L = LaburnumChute::Ledger;

/// Picks a random instance of the region. Any of them will do, since all instances of a region use
/// the same endpoints.
const PeerEntry *pickPeer(const RoutingTable &table, const Common::RegionName &region)
{
    std::vector<const PeerEntry *> candidates;
    for (const auto &entry : table.peers) {
        const auto &peer = entry.second;
        if (peer.region == region && peer.usable && peer.channel) {
            candidates.push_back(&peer);
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    thread_local std::mt19937_64 generator{std::random_device{}()};
    std::uniform_int_distribution<std::size_t> choice(0, candidates.size() - 1);
    return candidates[choice(generator)];
}

} // namespace

Peers::ForwardedRequest CallRunner::makeForwarded(Peers::OnceRole onceRole) const
{
    Peers::ForwardedRequest request;
    request.request = plan_.callerId;
    request.customer = plan_.customer;
    request.method = incoming_.method;
    request.target = incoming_.target;
    request.headers = incoming_.headers;
    request.body = incoming_.body;
    request.fromRegion = context_.home;
    if (incoming_.forwarded) {
        request.visited = incoming_.forwarded->visited;
    }
    request.visited.push_back(context_.self);
    const auto left = std::chrono::duration_cast<Common::milliseconds>(
        plan_.deadline - std::chrono::steady_clock::now());
    request.deadlineMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
    request.once = onceRole;
    return request;
}

/// Ends the wait for the owner of a key. Such a request is in no queue of this instance, so nothing
/// else times it out when the owner is dead, frozen or unreachable, and the caller would never get
/// a response.
Peers::AnswerFailure CallRunner::ownerTimeoutFailure()
{
    Peers::AnswerFailure failure;
    failure.status = 504;
    failure.code = Common::ErrorCode::DeadlineExceeded;
    failure.run = L::OwnerUnreachableRunState;
    failure.detail =
        "Idempotency-Key: " + std::string(L::toString(L::RejectionReason::OwnerUnreachable));
    return failure;
}

asio::awaitable<std::optional<Peers::AnswerFailure>>
CallRunner::relayFromPeer(const PeerEntry &peer, Peers::OnceRole onceRole)
{
    outgoingCall_ = peer.channel->open(makeForwarded(onceRole), co_await asio::this_coro::executor);
    Common::Headers headers;
    std::string wholeBody;
    std::optional<unsigned> wholeStatus;
    const bool toOwner = onceRole == Peers::OnceRole::ToOwner;
    auto deadline = toOwner ? plan_.deadline : Common::Time::max();
    while (true) {
        auto item = co_await outgoingCall_->next(deadline);
        if (!item && !callerDisconnected_ && toOwner && !responder_.started()) {
            co_return ownerTimeoutFailure();
        }
        if (((callerDisconnected_ || withdrawn_) && mayAbort()) || !item) {
            co_return std::nullopt;
        }
        if (auto *failure = std::get_if<Peers::AnswerFailure>(&*item)) {
            co_return std::move(*failure);
        }
        if (auto *head = std::get_if<Peers::AnswerHead>(&*item)) {
            if (registration_) {
                registration_->firstToken({});
            }
            deadline = Common::Time::max();
            const auto *type = Common::findHeader(head->headers, "Content-Type");
            recordedAnswer_ =
                L::KeptAnswer{static_cast<int>(head->status), type != nullptr ? *type : "", {}};
            context_.metrics.firstToken.record(std::chrono::steady_clock::now() - startedAt_);
            if (Common::findHeader(head->headers, "Content-Length") != nullptr) {
                wholeStatus = head->status;
                headers = std::move(head->headers);
                std::erase_if(headers, [](const Common::Header &header) {
                    return Common::sameHeaderName(header.name, "Content-Length");
                });
                continue;
            }
            co_await responder_.sendHead(head->status, std::move(head->headers));
        } else if (auto *piece = std::get_if<Peers::AnswerPiece>(&*item)) {
            record(piece->bytes);
            if (wholeStatus) {
                wholeBody += piece->bytes;
            } else {
                co_await responder_.sendPiece(std::move(piece->bytes));
            }
        } else {
            auto sending = wholeStatus
                               ? responder_.sendWhole(*wholeStatus, headers, std::move(wholeBody))
                               : responder_.sendEnd();
            const bool sent = co_await std::move(sending);
            (sent ? context_.metrics.completed : context_.metrics.cancelled).add();
            co_return std::nullopt;
        }
    }
}

asio::awaitable<CallRunner::Step> CallRunner::forwardToRegion(const D::Forward &forward)
{
    const auto table = context_.table.share();
    const auto *peer = pickPeer(*table, forward.region);
    if (peer == nullptr) {
        registration_->finished({}, D::Outcome::NotStarted);
        co_return Step::Continue;
    }
    const bool permitted = co_await permitDispatch({});
    if (!permitted) {
        co_return Step::Ended;
    }
    context_.metrics.forwardedToRegion.add();
    Common::logRequest(Common::LogType::Gateway, Common::LogLevel::Debug, plan_.callerId,
                       "forwarded to instance {}", peer->id);
    const auto onceRole = plan_.atMostOnce ? Peers::OnceRole::HeldBySender : Peers::OnceRole::None;
    auto failure = co_await relayFromPeer(*peer, onceRole);
    if (failure) {
        co_await recordFailure(failure->run == Common::RunState::NotRun);
    } else if (ledgerAttempt_) {
        co_await context_.ledger.finished(*ledgerAttempt_, recordedAnswer_);
    }
    if (withdrawn_ && !callerDisconnected_) {
        co_return co_await sendWithdrawnProblem();
    }
    if (!failure || callerDisconnected_) {
        // After a cancellation, the scheduler decides nothing more.
        registration_->finished({}, callerDisconnected_ ? D::Outcome::Cancelled
                                                        : D::Outcome::Completed);
        co_return Step::Ended;
    }
    if (responder_.started()) {
        registration_->finished({}, D::Outcome::Failed);
        co_await sendProblem(problemOf(*failure));
        co_return Step::Ended;
    }
    const bool notRun = failure->run == Common::RunState::NotRun;
    registration_->finished({}, notRun ? D::Outcome::NotStarted : D::Outcome::Failed);
    co_return Step::Continue;
}

const PeerEntry *CallRunner::successorOf(const L::OwnedElsewhere &owned,
                                         const RoutingTable &table) const
{
    const auto *owner = table.peer(owned.owner);
    if (owner == nullptr) {
        return nullptr;
    }
    std::vector<Common::InstanceId> candidates;
    for (const auto &entry : table.peers) {
        const auto &peer = entry.second;
        if (peer.usable && peer.region == owner->region && peer.id != owned.owner) {
            candidates.push_back(peer.id);
        }
    }
    const auto successor = L::successorOf(owned.owner, owned.incarnation, candidates);
    return successor ? table.peer(*successor) : nullptr;
}

asio::awaitable<std::optional<Entry::Problem>>
CallRunner::forwardToKeyHolder(const PeerEntry *keyHolder, L::RejectionReason reasonIfUnreachable)
{
    Entry::Problem problem;
    problem.run = L::OwnerUnreachableRunState;
    if (keyHolder == nullptr || !keyHolder->channel || incoming_.forwarded) {
        L::Rejected ledgerRejection;
        ledgerRejection.run = L::OwnerUnreachableRunState;
        ledgerRejection.reason = reasonIfUnreachable;
        co_return ledgerProblem(ledgerRejection);
    }
    const auto &allowed = plan_.facts.allowedRegions;
    if (std::find(allowed.begin(), allowed.end(), keyHolder->region) == allowed.end()) {
        problem.status = 421;
        problem.code = Common::ErrorCode::ResidencyRefused;
        problem.detail =
            "Idempotency-Key: its owner is in a region that the residency rule forbids";
        problem.extra["entry"] = keyHolder->httpAddress;
        co_return problem;
    }
    const auto failure = co_await relayFromPeer(*keyHolder, Peers::OnceRole::ToOwner);
    if (!failure) {
        co_return std::nullopt;
    }
    problem = problemOf(*failure);
    forwardNotSent_ =
        failure->code == Common::ErrorCode::Unavailable && failure->run == Common::RunState::NotRun;
    if (forwardNotSent_) {
        // This request did not reach the owner, but an earlier one with the same key may have.
        problem.run = L::OwnerUnreachableRunState;
    }
    co_return problem;
}

asio::awaitable<void> CallRunner::forwardToOwner(L::OwnedElsewhere owned)
{
    // An instance that shuts down hands its ledger over to a successor, which every other instance
    // computes by the same rule. Without asking the successor, a caller whose request ran just
    // before the shutdown would be told "unknown" although the response is stored.
    const auto table = context_.table.share();
    const auto *owner = table->peer(owned.owner);
    const bool ended = owner == nullptr || owner->dead || owner->incarnation > owned.incarnation;
    const auto *keyHolder = ended ? successorOf(owned, *table) : owner;
    auto problem =
        co_await forwardToKeyHolder(keyHolder, ended ? L::RejectionReason::IncarnationGone
                                                     : L::RejectionReason::OwnerUnreachable);
    if (problem && forwardNotSent_ && !ended) {
        problem = co_await forwardToKeyHolder(successorOf(owned, *table),
                                              L::RejectionReason::OwnerUnreachable);
    }
    if (problem) {
        co_await sendProblem(std::move(*problem));
    }
}

} // namespace LaburnumChute::Gateway
