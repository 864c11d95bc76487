#include "Gateway/CallRunner.h"

#include "Gateway/CallProblems.h"

// CallRunner: the right to run a request, and the key of one that may run only once.

namespace LaburnumChute::Gateway {

namespace {

namespace D = LaburnumChute::Decisions;
namespace L = LaburnumChute::Ledger;

constexpr std::string_view KeysPath = "/v1/idempotency-keys";

} // namespace

asio::awaitable<bool> CallRunner::claimKey()
{
    const auto key = L::IdempotencyKey::parse(plan_.atMostOnce->key);
    if (!key) {
        co_await sendKeyRequired(
            "the request is not repeatable and needs a key that this system issued");
        co_return false;
    }
    L::Submission submission;
    submission.key = *key;
    submission.customer = plan_.customer;
    submission.bodyFingerprint = plan_.atMostOnce->bodyFingerprint;
    submission.orderFingerprint = plan_.atMostOnce->orderFingerprint;
    submission.duplicateIntended = plan_.atMostOnce->duplicateIntended;
    submission.deadline = plan_.deadline;
    const auto outcome = co_await context_.ledger.begin(submission);
    if (const auto *proceed = std::get_if<L::Proceed>(&outcome)) {
        ledgerReservation_ = proceed->reservation;
        co_return true;
    }
    if (const auto *replay = std::get_if<L::ReplayAnswer>(&outcome)) {
        Common::Headers headers = {{"Content-Type", replay->answer->contentType},
                                   {"Laburnumchute-Replayed", "true"}};
        co_await responder_.sendWhole(static_cast<unsigned>(replay->answer->status),
                                      std::move(headers), replay->answer->body);
    } else if (std::holds_alternative<L::StillRunning>(outcome)) {
        Entry::Problem problem;
        problem.status = 409;
        problem.code = Common::ErrorCode::Conflict;
        problem.detail = "a request with this key is still running";
        problem.run = Common::RunState::Unknown;
        problem.retryAfter = Common::seconds(1);
        co_await sendProblem(std::move(problem));
    } else if (const auto *ledgerRejection = std::get_if<L::Rejected>(&outcome)) {
        co_await sendProblem(ledgerProblem(*ledgerRejection));
    } else {
        co_await forwardToOwner(std::get<L::OwnedElsewhere>(outcome));
    }
    co_return false;
}

asio::awaitable<void> CallRunner::sendKeyRequired(std::string detail)
{
    const auto minted = co_await context_.ledger.mint(plan_.customer);
    Entry::Problem problem;
    problem.status = 428;
    problem.code = Common::ErrorCode::InvalidArgument;
    problem.detail = "Idempotency-Key: " + std::move(detail) + "; see " + std::string(KeysPath);
    if (minted.key) {
        problem.extra["idempotency_key"] = minted.key->text();
    }
    co_await sendProblem(std::move(problem));
}

/// Runs before the caller is told "not run". Otherwise an immediate resubmission by the caller
/// would find the key still held by its first attempt and be answered "unknown".
asio::awaitable<void> CallRunner::releaseKey()
{
    if (ledgerReservation_ && !ledgerAttempt_) {
        co_await context_.ledger.abandonedBeforeDispatch(*ledgerReservation_);
        ledgerReservation_.reset();
    }
}

bool CallRunner::keyHeldBySender() const
{
    return incoming_.forwarded && incoming_.forwarded->once == Peers::OnceRole::HeldBySender;
}

asio::awaitable<bool> CallRunner::permitDispatch(const Common::EndpointId &endpoint)
{
    if (!permit_.take()) {
        co_await withhold(endpoint);
        co_return false;
    }
    Common::Result<void> permitted;
    if (ledgerReservation_) {
        const auto attempt = co_await context_.ledger.dispatched(*ledgerReservation_);
        if (attempt) {
            ledgerAttempt_ = *attempt;
        } else {
            ledgerReservation_.reset();
            permitted = tl::unexpected(attempt.error());
        }
    } else if (keyHeldBySender() && std::chrono::steady_clock::now() > plan_.deadline) {
        // This process was paused while the request waited; the sender has already told the caller
        // that the outcome is unknown.
        permitted = Common::makeError(Common::ErrorCode::DeadlineExceeded,
                                      "the deadline passed before the request began");
    }
    if (!permitted) {
        permit_.end(Common::RunState::NotRun);
        registration_->finished(endpoint, D::Outcome::Cancelled);
        co_await sendProblem(Entry::problemOf(permitted.error(), Common::RunState::NotRun));
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> CallRunner::withhold(const Common::EndpointId &endpoint)
{
    context_.metrics.sendsWithheld.add();
    registration_->finished(endpoint, D::Outcome::Cancelled);
    co_await sendProblem(unknownOutcomeProblem("an earlier attempt may have run"));
}

asio::awaitable<void> CallRunner::recordFailure(bool notRun)
{
    permit_.end(notRun ? Common::RunState::NotRun : Common::RunState::Unknown);
    if (!ledgerAttempt_) {
        co_return;
    }
    auto recording = notRun ? context_.ledger.notStarted(*ledgerAttempt_)
                            : context_.ledger.lost(*ledgerAttempt_);
    co_await std::move(recording);
    if (notRun) {
        ledgerAttempt_.reset();
    }
}

} // namespace LaburnumChute::Gateway
