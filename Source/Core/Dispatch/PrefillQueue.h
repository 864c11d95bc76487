#pragma once

#include <deque>
#include <optional>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// A period in which an engine prefilled prompts without a pause.
struct BusyPeriod
{
    Duration expected{0};
    Duration took{0};
};

/// Prompts waiting for prefill on one engine, from this instance and the region's other instances.
///
/// Load pattern: long prompts among many short ones, sent by many instances. An engine prefills
/// prompts one after the other, so the prompts of all instances determine when the next one starts.
/// If the instances instead reported their sums at intervals, the total wait would be too short
/// when several of them have prompts there (each sum would be counted down at the engine's full
/// speed) and too long when the sums are old.
class PrefillQueue
{
public:
    /// @param work time that the prefill takes on an engine that also generates tokens
    void add(Time sentAt, Duration work);
    /// Records the first event of the prompt that was sent at sentAt: all prompts before it have
    /// been prefilled.
    ///
    /// @returns if the prompt had to wait for another prefill: expected and actual duration of the
    ///        prefills since that one
    std::optional<BusyPeriod> prefilledUpTo(Time sentAt, Time now);
    /// Removes the prompt that was sent at sentAt, because it was cancelled or prefilled out of
    /// order.
    void remove(Time sentAt, Time now);
    /// Time until all prompts are prefilled, at the engine's usual speed.
    Duration wait(Time now) const;
    /// Sets how long work takes on the engine from now on, relative to its usual speed.
    void setWorkFactor(double factor, Time now);

private:
    struct Prompt
    {
        Time sentAt{};
        Duration remaining{0};
        Duration work{0};
    };

    /// Work that the engine has done since the queue was last drained.
    Duration doneSince(Time now) const;
    /// Accounts for the time that has passed.
    void drain(Time now);

    void forgetOld(Time now);

    /// In the order in which they were sent. Some may already be prefilled without a known first
    /// event.
    std::deque<Prompt> prompts_;
    /// Work of the prompts that are not prefilled yet.
    Duration total_{0};
    Time drainedAt_{};
    double workFactor_ = 1;
    /// When the last prompt is known to have been prefilled.
    std::optional<Time> lastPrefilledAt_;
};

} // namespace LaburnumChute::Dispatch
