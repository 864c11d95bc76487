#pragma once

#include <atomic>
#include <cstddef>

namespace LaburnumChute::Async {

/// Limits the memory that all calls together use for data of unknown size. Thread-safe.
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit)
        : limit_(limit)
    {
    }

    bool take(std::size_t bytes)
    {
        if (used_.fetch_add(bytes, std::memory_order_relaxed) + bytes <= limit_) {
            return true;
        }
        giveBack(bytes);
        return false;
    }
    void giveBack(std::size_t bytes)
    {
        used_.fetch_sub(bytes, std::memory_order_relaxed);
    }
    std::size_t used() const
    {
        return used_.load(std::memory_order_relaxed);
    }

private:
    std::size_t limit_;
    std::atomic<std::size_t> used_{0};
};

/// The share of one call in a budget. The first bytes of each call are not counted, so that a call
/// with small data is served while others have used up the budget.
class ByteReservation
{
public:
    static constexpr std::size_t UncountedBytes = 16 * 1024;

    explicit ByteReservation(ByteBudget &budget)
        : budget_(budget)
    {
    }
    ~ByteReservation()
    {
        budget_.giveBack(counted_);
    }
    ByteReservation(const ByteReservation &) = delete;
    ByteReservation &operator=(const ByteReservation &) = delete;

    /// Sets the size of the call's data. Returns false, and changes nothing, if the budget lacks
    /// the bytes.
    bool resize(std::size_t bytes)
    {
        const auto counted = bytes > UncountedBytes ? bytes - UncountedBytes : 0;
        if (counted > counted_ && !budget_.take(counted - counted_)) {
            return false;
        }
        if (counted < counted_) {
            budget_.giveBack(counted_ - counted);
        }
        counted_ = counted;
        return true;
    }

private:
    ByteBudget &budget_;
    std::size_t counted_ = 0;
};

} // namespace LaburnumChute::Async
