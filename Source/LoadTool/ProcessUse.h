#pragma once

#include <cstdint>

#include "Common/Common.h"

namespace LaburnumChute::LoadTool {

/// What the kernel says of another process.
struct ProcessUse
{
    /// User and system time so far, in steps of 10 ms.
    Common::Duration processorTime{};
    std::uint64_t residentBytes = 0;
};

ProcessUse processUse(int pid);

} // namespace LaburnumChute::LoadTool
