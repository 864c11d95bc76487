#pragma once

#include <chrono>
#include <cstdint>

namespace LaburnumChute::Common {

/// Time of this process only; it stands still for nobody and is never sent to another process.
using Time = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
/// Calendar time, for what people read and for numbers that must grow across replaced instances.
using WallTime = std::chrono::system_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Milliseconds since 1970, the form in which wall time travels between processes.
inline std::uint64_t toUnixMilliseconds(WallTime time)
{
    const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
    return static_cast<std::uint64_t>(sinceEpoch.count());
}

/// A duration in seconds as a floating point number, for rates and reports.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace LaburnumChute::Common
