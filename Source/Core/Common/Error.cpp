#include "Common/Error.h"

namespace LaburnumChute::Common {

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid-argument";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::TooLarge:
        return "too-large";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::ResidencyRefused:
        return "residency-refused";
    case ErrorCode::ProtocolViolation:
        return "protocol-violation";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace LaburnumChute::Common
