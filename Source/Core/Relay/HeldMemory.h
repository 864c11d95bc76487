#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace LaburnumChute::Relay {

/// Bounds the memory of all holders together. The one that holds the most has to give up first, so
/// that a holder without end never displaces those that hold little.
///
/// Load pattern: several endpoints send bodies without end at the same time, and many callers do
/// not read large responses, in a process with a few hundred megabytes.
class HeldMemory
{
public:
    using Holder = std::uint64_t;

    explicit HeldMemory(std::size_t limit)
        : limit_(limit)
    {
    }
    void setLimit(std::size_t limit)
    {
        limit_ = limit;
    }
    /// Sets what the holder has; 0 removes it.
    void set(Holder holder, std::size_t bytes);
    /// The holder that has to give up, if the limit is exceeded.
    std::optional<Holder> excess() const;
    /// The holder that has the most.
    std::optional<Holder> largest() const;
    std::size_t total() const
    {
        return total_;
    }
    std::size_t limit() const
    {
        return limit_;
    }

private:
    std::size_t limit_;
    std::size_t total_ = 0;
    std::unordered_map<Holder, std::size_t> held_;
};

} // namespace LaburnumChute::Relay
