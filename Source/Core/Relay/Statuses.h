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

} // namespace LaburnumChute::Relay
