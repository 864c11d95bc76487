#include "Gateway/CallProblems.h"

namespace LaburnumChute::Gateway {

namespace D = LaburnumChute::Decisions;
namespace L = LaburnumChute::Ledger;

namespace {

unsigned statusOf(D::RefusalReason reason)
{
    switch (reason) {
    case D::RefusalReason::CustomerShare:
        return 429;
    case D::RefusalReason::Residency:
        return 403;
    case D::RefusalReason::Quarantined:
        return 422;
    case D::RefusalReason::Failed:
        return 502;
    case D::RefusalReason::TimedOut:
        return 504;
    case D::RefusalReason::Overloaded:
    case D::RefusalReason::DeadlineTooClose:
    case D::RefusalReason::NoEndpoint:
        return 503;
    }
    return 503;
}

Common::ErrorCode codeOf(D::RefusalReason reason)
{
    switch (reason) {
    case D::RefusalReason::Residency:
        return Common::ErrorCode::ResidencyRefused;
    case D::RefusalReason::Quarantined:
        return Common::ErrorCode::Conflict;
    case D::RefusalReason::TimedOut:
        return Common::ErrorCode::DeadlineExceeded;
    case D::RefusalReason::Failed:
    case D::RefusalReason::NoEndpoint:
        return Common::ErrorCode::Unavailable;
    case D::RefusalReason::Overloaded:
    case D::RefusalReason::CustomerShare:
    case D::RefusalReason::DeadlineTooClose:
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

Entry::Problem onceProblem(const L::Rejected &refused)
{
    Entry::Problem problem;
    problem.status = statusOf(refused.reason);
    problem.code = Common::ErrorCode::Conflict;
    problem.detail = "Idempotency-Key: " + std::string(L::toString(refused.reason));
    problem.run = refused.run;
    if (refused.earlierKey) {
        problem.extra["earlier_idempotency_key"] = refused.earlierKey->text();
    }
    if (problem.status == 503) {
        problem.retryAfter = Common::seconds(1);
    }
    return problem;
}

Entry::Problem refusalProblem(const D::Refuse &refusal)
{
    Entry::Problem problem;
    problem.status = statusOf(refusal.reason);
    problem.code = codeOf(refusal.reason);
    problem.detail = std::string(D::toString(refusal.reason));
    problem.run = refusal.run;
    if (refusal.retryAfter > Common::Duration::zero()) {
        problem.retryAfter = refusal.retryAfter;
    }
    return problem;
}

} // namespace LaburnumChute::Gateway
