#pragma once

namespace LaburnumChute::Relay {

// HTTP statuses of answers that an instance gives by itself.

inline constexpr unsigned Ok = 200;
inline constexpr unsigned BadRequest = 400;
inline constexpr unsigned NotFound = 404;
inline constexpr unsigned BadGateway = 502;
inline constexpr unsigned ServiceUnavailable = 503;
inline constexpr unsigned GatewayTimeout = 504;

} // namespace LaburnumChute::Relay
