#pragma once

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// The clock of everything in this library: it goes on evenly when the time of day jumps.
inline Common::Time steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace LaburnumChute::Relay
