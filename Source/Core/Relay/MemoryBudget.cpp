#include "Relay/MemoryBudget.h"

#include <numeric>

namespace LaburnumChute::Relay {

namespace {

/// Shares of the machine's memory, in the order of MemoryUses.
constexpr std::array<double, MemoryUses.size()> Shares = {0.2, 0.35, 0.12, 0.12};
/// Share that all uses may have together.
constexpr double TotalShare = 0.5;

std::size_t indexOf(MemoryUse use)
{
    return static_cast<std::size_t>(use);
}

std::size_t shareOf(std::size_t machineBytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(machineBytes) * share);
}

} // namespace

MemoryBudget::MemoryBudget(std::size_t machineBytes)
    : uses_{HeldMemory(0), HeldMemory(0), HeldMemory(0), HeldMemory(0)}
{
    setMachineBytes(machineBytes);
}

void MemoryBudget::setMachineBytes(std::size_t bytes)
{
    totalLimit_ = shareOf(bytes, TotalShare);
    for (const auto use : MemoryUses) {
        uses_[indexOf(use)].setLimit(shareOf(bytes, Shares[indexOf(use)]));
    }
}

void MemoryBudget::set(MemoryUse use, HeldMemory::Holder holder, std::size_t bytes)
{
    uses_[indexOf(use)].set(holder, bytes);
}

bool MemoryBudget::admits(MemoryUse use, std::size_t bytes) const
{
    return held(use) + bytes <= limit(use) && total() + bytes <= totalLimit_;
}

std::size_t MemoryBudget::held(MemoryUse use) const
{
    return uses_[indexOf(use)].total();
}

std::size_t MemoryBudget::limit(MemoryUse use) const
{
    return uses_[indexOf(use)].limit();
}

std::size_t MemoryBudget::total() const
{
    return std::accumulate(
        uses_.begin(), uses_.end(), std::size_t(0),
        [](std::size_t sum, const HeldMemory &memory) { return sum + memory.total(); });
}

std::optional<MemoryBudget::Excess> MemoryBudget::excess() const
{
    const bool allTooMuch = total() > totalLimit_;
    std::optional<Excess> found;
    double worst = 0;
    for (const auto use : {MemoryUse::Receiving, MemoryUse::Answers}) {
        const auto &memory = uses_[indexOf(use)];
        const auto fill =
            static_cast<double>(memory.total()) / static_cast<double>(memory.limit() + 1);
        const bool tooMuch = allTooMuch || memory.total() > memory.limit();
        if (!tooMuch || fill <= worst) {
            continue;
        }
        if (const auto holder = memory.largest()) {
            worst = fill;
            found = Excess{use, *holder};
        }
    }
    return found;
}

} // namespace LaburnumChute::Relay
