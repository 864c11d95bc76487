#pragma once

#include <atomic>
#include <memory>
#include <utility>

#include <urcu-bp.h>

namespace LaburnumChute::Common {

/// A value that many threads read without a lock and that is replaced as a whole now and then.
/// Readers hold the value for one short call and must not wait inside it: a writer that publishes
/// meanwhile waits for them before it frees the old value.
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

    /// A share of the current value, for callers that keep it over a suspension.
    std::shared_ptr<const T> share() const
    {
        const ReadSection section;
        return *current_.load(std::memory_order_acquire);
    }

    /// Makes the value the current one. Several threads may publish; the last one stays.
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
