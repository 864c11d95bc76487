#pragma once

#include <atomic>
#include <memory>
#include <utility>

#include <urcu-bp.h>

namespace LaburnumChute::Common {

/// A value that many threads read without a lock and that is occasionally replaced as a whole.
/// Readers access it within one short call and must not block: a writer that publishes meanwhile
/// waits for them before it frees the old value.
template <typename T>
class RcuCell
{
public:
    explicit RcuCell(std::shared_ptr<const T> initial)
        : current_(new std::shared_ptr<const T>(std::move(initial)))
    {
    }
    ~RcuCell()
    {
        delete current_.load();
    }
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    /// Calls function(const T &) on the current value.
    template <typename Function>
    auto read(Function &&function) const
    {
        const ReadSection section;
        return std::forward<Function>(function)(**current_.load(std::memory_order_acquire));
    }

    /// Shared ownership of the current value, for callers that keep it across a suspension.
    std::shared_ptr<const T> share() const
    {
        const ReadSection section;
        return *current_.load(std::memory_order_acquire);
    }

    /// Replaces the current value. Several threads may publish; the last value remains.
    void publish(std::shared_ptr<const T> value)
    {
        auto *next = new std::shared_ptr<const T>(std::move(value));
        const auto *previous = current_.exchange(next, std::memory_order_acq_rel);
        urcu_bp_synchronize_rcu();
        delete previous;
    }

private:
    class ReadSection
    {
    public:
        ReadSection()
        {
            urcu_bp_read_lock();
        }
        ~ReadSection()
        {
            urcu_bp_read_unlock();
        }
        ReadSection(const ReadSection &) = delete;
        ReadSection &operator=(const ReadSection &) = delete;
    };

    std::atomic<std::shared_ptr<const T> *> current_;
};

} // namespace LaburnumChute::Common
