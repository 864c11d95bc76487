#include "Gateway/CallProblems.h"

namespace LaburnumChute::Gateway {

namespace D = LaburnumChute::Decisions;
namespace L = LaburnumChute::Ledger;

namespace {

unsigned statusOf(D::RejectReason reason)
{
    switch (reason) {
    case D::RejectReason::CustomerShare:
        return 429;
    case D::RejectReason::Residency:
        return 403;
    case D::RejectReason::Quarantined:
        return 422;
    case D::RejectReason::Failed:
        return 502;
    case D::RejectReason::TimedOut:
        return 504;
    case D::RejectReason::Overloaded:
    case D::RejectReason::DeadlineTooClose:
    case D::RejectReason::NoEndpoint:
        return 503;
    }
    return 503;
}

Common::ErrorCode codeOf(D::RejectReason reason)
{
    switch (reason) {
    case D::RejectReason::Residency:
        return Common::ErrorCode::ResidencyRefused;
    case D::RejectReason::Quarantined:
        return Common::ErrorCode::Conflict;
    case D::RejectReason::TimedOut:
        return Common::ErrorCode::DeadlineExceeded;
    case D::RejectReason::Failed:
    case D::RejectReason::NoEndpoint:
        return Common::ErrorCode::Unavailable;
    case D::RejectReason::Overloaded:
    case D::RejectReason::CustomerShare:
    case D::RejectReason::DeadlineTooClose:
        return Common::ErrorCode::Overloaded;
    }
    return Common::ErrorCode::Unavailable;
}

unsigned statusOf(L::RejectionReason reason)
{
    switch (reason) {
    case L::RejectionReason::OtherBody:
        return 422;
    case L::RejectionReason::LedgerFull:
    case L::RejectionReason::Closing:
        return 503;
    case L::RejectionReason::OwnerUnreachable:
        return 503;
    default:
        return 409;
    }
}

} // namespace

Entry::Problem unknownOutcomeProblem(std::string detail)
{
    Entry::Problem problem;
    problem.status = 502;
    problem.code = Common::ErrorCode::Unavailable;
    problem.detail = std::move(detail);
    problem.run = Common::RunState::Unknown;
    return problem;
}

Entry::Problem problemOf(const Peers::AnswerFailure &failure)
{
    Entry::Problem problem;
    problem.status = failure.status;
    problem.code = failure.code;
    problem.detail = failure.detail;
    problem.run = failure.run;
    if (failure.retryAfterMs > 0) {
        problem.retryAfter = Common::milliseconds(failure.retryAfterMs);
    }
    auto extra = nlohmann::json::parse(failure.extra, nullptr, false);
    if (extra.is_object()) {
        problem.extra = std::move(extra);
    }
    return problem;
}

Entry::Problem ledgerProblem(const L::Rejected &rejection)
{
    Entry::Problem problem;
    problem.status = statusOf(rejection.reason);
    problem.code = Common::ErrorCode::Conflict;
    problem.detail = "Idempotency-Key: " + std::string(L::toString(rejection.reason));
    problem.run = rejection.run;
    if (rejection.earlierKey) {
        problem.extra["earlier_idempotency_key"] = rejection.earlierKey->text();
    }
    if (problem.status == 503) {
        problem.retryAfter = Common::seconds(1);
    }
    return problem;
}

Entry::Problem rejectionProblem(const D::Reject &rejection)
{
    Entry::Problem problem;
    problem.status = statusOf(rejection.reason);
    problem.code = codeOf(rejection.reason);
    problem.detail = std::string(D::toString(rejection.reason));
    problem.run = rejection.run;
    if (rejection.retryAfter > Common::Duration::zero()) {
        problem.retryAfter = rejection.retryAfter;
    }
    return problem;
}

} // namespace LaburnumChute::Gateway
