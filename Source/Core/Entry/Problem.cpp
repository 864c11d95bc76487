#include "Entry/Problem.h"

#include <algorithm>
#include <cmath>

namespace LaburnumChute::Entry {

namespace {

constexpr std::string_view TypePrefix = "urn:laburnumchute:problem:";

std::string titleOf(Common::ErrorCode code)
{
    std::string text(Common::toString(code));
    std::replace(text.begin(), text.end(), '-', ' ');
    return text;
}

} // namespace

std::int64_t retryAfterSeconds(Common::Duration duration)
{
    return std::max<std::int64_t>(1, std::llround(std::ceil(Common::toSeconds(duration))));
}

std::string problemBody(const Problem &problem, const Common::RequestId &request)
{
    nlohmann::json document = problem.extra;
    document["type"] = std::string(TypePrefix) + std::string(Common::toString(problem.code));
    document["title"] = titleOf(problem.code);
    document["status"] = problem.status;
    document["detail"] = problem.detail;
    document["request_id"] = request.text();
    document["run"] = Common::toString(problem.run);
    if (problem.retryAfter) {
        document["retry_after_s"] = retryAfterSeconds(*problem.retryAfter);
    }
    // OpenAI client libraries report errors in this format to their users.
    document["error"] = {{"message", problem.detail},
                         {"type", Common::toString(problem.code)},
                         {"code", Common::toString(problem.code)}};
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

unsigned statusOf(Common::ErrorCode code)
{
    switch (code) {
    case Common::ErrorCode::InvalidArgument:
        return 400;
    case Common::ErrorCode::NotFound:
        return 404;
    case Common::ErrorCode::Conflict:
        return 409;
    case Common::ErrorCode::TooLarge:
        return 413;
    case Common::ErrorCode::ResidencyRefused:
        return 403;
    case Common::ErrorCode::Overloaded:
    case Common::ErrorCode::Unavailable:
        return 503;
    case Common::ErrorCode::DeadlineExceeded:
        return 504;
    case Common::ErrorCode::Cancelled:
        return 499;
    case Common::ErrorCode::ProtocolViolation:
        return 502;
    case Common::ErrorCode::Internal:
        return 500;
    }
    return 500;
}

Problem problemOf(const Common::Error &error, Common::RunState run)
{
    Problem problem;
    problem.status = statusOf(error.code);
    problem.code = error.code;
    problem.detail = error.message;
    problem.run = run;
    return problem;
}

} // namespace LaburnumChute::Entry
