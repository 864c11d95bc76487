#pragma once

#include <chrono>
#include <cstdint>

namespace LaburnumChute::Common {

/// Monotonic time. Only valid within this process and never sent to another one.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
/// Calendar time, for log lines and for numbers that must increase across replaced instances.
using WallTime = std::chrono::system_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Milliseconds since 1970, the format of wall time in messages.
inline std::uint64_t toUnixMilliseconds(WallTime time)
{
    const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
    return static_cast<std::uint64_t>(sinceEpoch.count());
}

/// Converts a duration to seconds.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace LaburnumChute::Common
