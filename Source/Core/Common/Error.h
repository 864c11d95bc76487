#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace LaburnumChute::Common {

/// What the system may say about a request that it did not answer.
enum class RunState {
    /// The endpoint has not begun it and, under this key, will not without a new submission.
    NotRun,
    /// It ran to its end.
    Ran,
    /// It may have run, or may be running. The system never retries it by itself.
    Unknown,
};

enum class ErrorCode {
    InvalidArgument,
    NotFound,
    Conflict,
    TooLarge,
    Overloaded,
    DeadlineExceeded,
    Cancelled,
    Unavailable,
    ResidencyRefused,
    ProtocolViolation,
    Internal,
};

/// The value that a function returns instead of a result.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// "not run", "ran" or "unknown": the wording of problem documents and dumps.
std::string_view toString(RunState state);
/// The kebab-case name that ends the type URI of a problem document.
std::string_view toString(ErrorCode code);

inline tl::unexpected<Error> makeError(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error{code, std::move(message)});
}

} // namespace LaburnumChute::Common
