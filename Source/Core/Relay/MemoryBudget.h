#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "Relay/HeldMemory.h"

namespace LaburnumChute::Relay {

/// What memory is held for.
enum class MemoryUse {
    /// Requests that are being received.
    Receiving,
    /// Bodies of requests that wait or run.
    Requests,
    /// Answers that are incomplete.
    Answers,
    /// Bytes that callers and peers have not read.
    Unsent,
};

inline constexpr std::array<MemoryUse, 4> MemoryUses = {MemoryUse::Receiving, MemoryUse::Requests,
                                                        MemoryUse::Answers, MemoryUse::Unsent};

/// Bounds the memory that a process holds for all those it serves. Each use has a share of the
/// machine, and all of them together have less than the sum of the shares: the process itself,
/// copies of buffers that grow and the kernel need the rest.
///
/// Load pattern: hundreds of clients that send bodies up to the limits at once and do not end them,
/// beside ordinary ones, in a process with a few hundred megabytes.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::size_t machineBytes);

    void setMachineBytes(std::size_t bytes);
    /// Sets what the holder has of the use; 0 removes it.
    void set(MemoryUse use, HeldMemory::Holder holder, std::size_t bytes);
    /// Whether further bytes of the use fit.
    bool admits(MemoryUse use, std::size_t bytes) const;
    std::size_t held(MemoryUse use) const;
    std::size_t limit(MemoryUse use) const;

    struct Excess
    {
        MemoryUse use;
        HeldMemory::Holder holder;
    };
    /// The holder that has to give up its memory, if a limit is exceeded: the largest one of the
    /// use that has most of its share. Requests are admitted only while they fit, and unsent bytes
    /// are limited by their connections, so neither gives up anything here.
    std::optional<Excess> excess() const;

private:
    std::size_t total() const;

    std::size_t totalLimit_ = 0;
    std::array<HeldMemory, MemoryUses.size()> uses_;
};

} // namespace LaburnumChute::Relay
