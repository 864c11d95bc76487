#pragma once

namespace LaburnumChute::Relay {

// HTTP statuses of responses that an instance generates itself.

inline constexpr unsigned Ok = 200;
inline constexpr unsigned BadRequest = 400;
inline constexpr unsigned Unauthorized = 401;
inline constexpr unsigned Forbidden = 403;
inline constexpr unsigned NotFound = 404;
inline constexpr unsigned TooManyRequests = 429;
inline constexpr unsigned BadGateway = 502;
inline constexpr unsigned ServiceUnavailable = 503;
inline constexpr unsigned GatewayTimeout = 504;

/// Returns true for statuses that guarantee that the request has not run.
inline bool meansNotRun(unsigned status)
{
    constexpr unsigned RequestTimeout = 408;
    constexpr unsigned MisdirectedRequest = 421;
    return status == RequestTimeout || status == MisdirectedRequest || status == TooManyRequests
           || status == ServiceUnavailable;
}

} // namespace LaburnumChute::Relay
