#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Entry {

/// A problem document (RFC 9457) that also tells the caller whether the request has run.
struct Problem
{
    unsigned status = 500;
    Common::ErrorCode code = Common::ErrorCode::Internal;
    std::string detail;
    Common::RunState run = Common::RunState::NotRun;
    /// Delay before the caller may retry; sent as Retry-After in whole seconds, at least 1.
    std::optional<Common::Duration> retryAfter;
    /// Additional members of the document, such as a new idempotency key.
    nlohmann::json extra = nlohmann::json::object();
};

/// Serializes the problem document as JSON.
std::string problemBody(const Problem &problem, const Common::RequestId &request);

/// Converts a duration to whole seconds for Retry-After: rounded up, at least 1.
std::int64_t retryAfterSeconds(Common::Duration duration);

/// The HTTP status for an error code.
unsigned statusOf(Common::ErrorCode code);

/// Creates a problem from an error, with the HTTP status for its code.
Problem problemOf(const Common::Error &error, Common::RunState run);

} // namespace LaburnumChute::Entry
