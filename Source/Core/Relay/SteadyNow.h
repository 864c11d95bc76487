#pragma once

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// Clock of this library. Monotonic, so that it is not affected by changes of the system time.
inline Common::Time steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace LaburnumChute::Relay
