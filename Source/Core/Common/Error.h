#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace LaburnumChute::Common {

/// What is known about the execution of a request that was not answered.
enum class RunState {
    /// No endpoint has started it, and none will without a new submission of its key.
    NotRun,
    /// It ran to completion.
    Ran,
    /// It may have run or may be running. It is never retried automatically.
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

/// Returned by a function in place of a result.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

/// "not run", "ran" or "unknown", as used in problem documents and dumps.
std::string_view toString(RunState state);
/// Last segment of the type URI of a problem document, in kebab case.
std::string_view toString(ErrorCode code);

inline tl::unexpected<Error> makeError(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error{code, std::move(message)});
}

} // namespace LaburnumChute::Common
