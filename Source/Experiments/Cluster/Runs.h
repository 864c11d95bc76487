#pragma once

#include <cstddef>
#include <cstdint>

namespace LaburnumChute::Measure {

struct RunSize
{
    std::size_t instances = 4;
    std::size_t regions = 1;
    std::uint64_t seed = 1;
    /// Trials of each kind of event.
    int trials = 5;
    /// Seconds of the quiet part, in which bytes and false deaths are counted.
    int quietSeconds = 60;
};

/// Times and bytes under a virtual clock with 5% loss; prints one line for each figure.
void virtualRun(const RunSize &size);
/// Bytes, processor time and memory of instances that speak over UDP on the loopback, all in one
/// process and one thread.
void realRun(const RunSize &size);

} // namespace LaburnumChute::Measure
