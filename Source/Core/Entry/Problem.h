#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Entry {

/// An error document for callers (RFC 9457) that also says whether the request has run.
struct Problem
{
    unsigned status = 500;
    Common::ErrorCode code = Common::ErrorCode::Internal;
    std::string detail;
    Common::RunState run = Common::RunState::NotRun;
    /// When the caller may try again; sent as Retry-After, in whole seconds, at least 1.
    std::optional<Common::Duration> retryAfter;
    /// Further members of the document, such as a fresh idempotency key.
    nlohmann::json extra = nlohmann::json::object();
};

/// The document as JSON text.
std::string problemBody(const Problem &problem, const Common::RequestId &request);

/// The whole seconds of Retry-After, rounded up.
std::int64_t retryAfterSeconds(Common::Duration duration);

/// The HTTP status with which an error of this code is answered.
unsigned statusOf(Common::ErrorCode code);

/// A problem made from an error, with the status that belongs to its code.
Problem problemOf(const Common::Error &error, Common::RunState run);

} // namespace LaburnumChute::Entry
