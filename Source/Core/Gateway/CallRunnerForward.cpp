#include "Gateway/CallRunner.h"

#include <algorithm>
#include <random>

#include "Gateway/CallProblems.h"

// The part of CallRunner that sends requests to other instances.

namespace LaburnumChute::Gateway {

namespace {

namespace D = LaburnumChute::Decisions;
namespace L = LaburnumChute::Ledger;

/// One of the instances of the region; which one does not matter, since the region's endpoints are
/// the same for all of them.
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

Peers::ForwardedRequest CallRunner::makeForwarded(Peers::OnceRole once) const
{
    Peers::ForwardedRequest request;
    request.request = plan_.callerId;
    request.customer = plan_.customer;
    request.method = arrival_.method;
    request.target = arrival_.target;
    request.headers = arrival_.headers;
    request.body = arrival_.body;
    request.fromRegion = context_.home;
    if (arrival_.forwarded) {
        request.visited = arrival_.forwarded->visited;
    }
    request.visited.push_back(context_.self);
    const auto left = std::chrono::duration_cast<Common::milliseconds>(
        plan_.deadline - std::chrono::steady_clock::now());
    request.deadlineMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
    request.once = once;
    return request;
}

asio::awaitable<std::optional<Peers::AnswerFailure>> CallRunner::passFrom(const PeerEntry &peer,
                                                                          Peers::OnceRole once)
{
    outgoing_ = peer.channel->open(makeForwarded(once), co_await asio::this_coro::executor);
    Common::Headers headers;
    std::string wholeBody;
    std::optional<unsigned> wholeStatus;
    const bool toOwner = once == Peers::OnceRole::ToOwner;
    auto patience = toOwner ? plan_.deadline : Common::Time::max();
    while (true) {
        auto item = co_await outgoing_->next(patience);
        if (!item && !callerGone_ && toOwner && !responder_.started()) {
            co_return ownerSilent();
        }
        if (((callerGone_ || withdrawn_) && mayAbandon()) || !item) {
            co_return std::nullopt;
        }
        if (auto *failure = std::get_if<Peers::AnswerFailure>(&*item)) {
            co_return std::move(*failure);
        }
        if (auto *head = std::get_if<Peers::AnswerHead>(&*item)) {
            if (ticket_) {
                ticket_->firstToken({});
            }
            patience = Common::Time::max();
            const auto *type = Common::findHeader(head->headers, "Content-Type");
            kept_ = {static_cast<int>(head->status), type != nullptr ? *type : "", {}};
            context_.metrics.firstToken.record(std::chrono::steady_clock::now() - startedAt_);
            if (Common::findHeader(head->headers, "Content-Length") != nullptr) {
                wholeStatus = head->status;
                headers = std::move(head->headers);
                std::erase_if(headers, [](const Common::Header &header) {
                    return Common::sameHeaderName(header.name, "Content-Length");
                });
                continue;
            }
            co_await responder_.head(head->status, std::move(head->headers));
        } else if (auto *piece = std::get_if<Peers::AnswerPiece>(&*item)) {
            if (ledgerDispatch_) {
                kept_.body += piece->bytes;
            }
            if (wholeStatus) {
                wholeBody += piece->bytes;
            } else {
                co_await responder_.piece(std::move(piece->bytes));
            }
        } else {
            auto sending = wholeStatus
                               ? responder_.whole(*wholeStatus, headers, std::move(wholeBody))
                               : responder_.end();
            const bool sent = co_await std::move(sending);
            (sent ? context_.metrics.completed : context_.metrics.cancelled).add();
            co_return std::nullopt;
        }
    }
}

asio::awaitable<CallRunner::Step> CallRunner::runAtRegion(const D::Forward &forward)
{
    const auto table = context_.table.share();
    const auto *peer = pickPeer(*table, forward.region);
    if (peer == nullptr) {
        ticket_->finished({}, D::Outcome::NotStarted);
        co_return Step::Continue;
    }
    const bool permitted = co_await permitOnce({});
    if (!permitted) {
        co_return Step::Ended;
    }
    context_.metrics.away.add();
    Common::logRequest(Common::LogType::Gateway, Common::LogLevel::Debug, plan_.callerId,
                       "forwarded to {}", peer->id);
    const auto once = plan_.once ? Peers::OnceRole::HeldBySender : Peers::OnceRole::None;
    auto failure = co_await passFrom(*peer, once);
    if (failure) {
        co_await recordFailure(failure->run == Common::RunState::NotRun);
    } else if (ledgerDispatch_) {
        co_await context_.ledger.finished(*ledgerDispatch_, kept_);
    }
    if (withdrawn_ && !callerGone_) {
        co_return co_await answerWithdrawn();
    }
    if (!failure) {
        ticket_->finished({}, callerGone_ ? D::Outcome::Cancelled : D::Outcome::Completed);
        co_return Step::Ended;
    }
    if (responder_.started()) {
        ticket_->finished({}, D::Outcome::Failed);
        co_await answerProblem(problemOf(*failure));
        co_return Step::Ended;
    }
    const bool notRun = failure->run == Common::RunState::NotRun;
    ticket_->finished({}, notRun ? D::Outcome::NotStarted : D::Outcome::Failed);
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

asio::awaitable<std::optional<Entry::Problem>> CallRunner::askAnswerer(const PeerEntry *answerer,
                                                                       L::RejectionReason otherwise)
{
    Entry::Problem problem;
    problem.run = L::OwnerUnreachableRunState;
    if (answerer == nullptr || !answerer->channel || arrival_.forwarded) {
        L::Rejected refused;
        refused.run = L::OwnerUnreachableRunState;
        refused.reason = otherwise;
        co_return onceProblem(refused);
    }
    const auto &allowed = plan_.facts.allowedRegions;
    if (std::find(allowed.begin(), allowed.end(), answerer->region) == allowed.end()) {
        problem.status = 421;
        problem.code = Common::ErrorCode::ResidencyRefused;
        problem.detail =
            "Idempotency-Key: its owner is in a region that the residency rule forbids";
        problem.extra["entry"] = answerer->httpAddress;
        co_return problem;
    }
    const auto failure = co_await passFrom(*answerer, Peers::OnceRole::ToOwner);
    if (!failure) {
        co_return std::nullopt;
    }
    problem = problemOf(*failure);
    neverSent_ =
        failure->code == Common::ErrorCode::Unavailable && failure->run == Common::RunState::NotRun;
    if (neverSent_) {
        // This sending did not reach the owner, but an earlier one under the key may have.
        problem.run = L::OwnerUnreachableRunState;
    }
    co_return problem;
}

asio::awaitable<void> CallRunner::runAtOwner(L::OwnedElsewhere owned)
{
    // An instance that shuts down hands what became of its keys to a neighbour, which every other
    // one finds by the same rule. Without asking there, a caller whose order ran just before would
    // be told "unknown" although the answer is kept.
    const auto table = context_.table.share();
    const auto *owner = table->peer(owned.owner);
    const bool ended = owner == nullptr || owner->gone || owner->incarnation > owned.incarnation;
    const auto *answerer = ended ? successorOf(owned, *table) : owner;
    auto problem = co_await askAnswerer(answerer, ended ? L::RejectionReason::IncarnationGone
                                                        : L::RejectionReason::OwnerUnreachable);
    if (problem && neverSent_ && !ended) {
        problem =
            co_await askAnswerer(successorOf(owned, *table), L::RejectionReason::OwnerUnreachable);
    }
    if (problem) {
        co_await answerProblem(std::move(*problem));
    }
}

} // namespace LaburnumChute::Gateway
