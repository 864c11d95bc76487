#include "Dispatch/PrefillQueue.h"

#include <algorithm>
#include <utility>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Maximum number of prompts in the queue: an engine with this many is full.
constexpr std::size_t MaxPrompts = 128;
/// Prompts whose prefill should be complete are kept this long, in case their first event is late.
constexpr seconds PrefilledRetention{2};

} // namespace

void PrefillQueue::drain(Time now)
{
    auto elapsed = doneSince(now);
    drainedAt_ = std::max(drainedAt_, now);
    for (auto &prompt : prompts_) {
        const auto prefilled = std::min(elapsed, prompt.remaining);
        prompt.remaining -= prefilled;
        total_ -= prefilled;
        elapsed -= prefilled;
    }
    forgetOld(now);
}

void PrefillQueue::forgetOld(Time now)
{
    while (!prompts_.empty() && prompts_.front().remaining <= Duration(0)
           && now - prompts_.front().sentAt > PrefilledRetention) {
        prompts_.pop_front();
    }
}

void PrefillQueue::add(Time sentAt, Duration work)
{
    drain(sentAt);
    if (prompts_.size() >= MaxPrompts) {
        return;
    }
    prompts_.push_back({sentAt, work, work});
    total_ += work;
}

std::optional<BusyPeriod> PrefillQueue::prefilledUpTo(Time sentAt, Time now)
{
    drain(now);
    BusyPeriod period;
    while (!prompts_.empty() && prompts_.front().sentAt <= sentAt) {
        period.expected += prompts_.front().work;
        total_ -= prompts_.front().remaining;
        prompts_.pop_front();
    }
    const auto previous = std::exchange(lastPrefilledAt_, now);
    if (!previous || *previous <= sentAt) {
        return std::nullopt;
    }
    period.took = now - *previous;
    return period;
}

void PrefillQueue::remove(Time sentAt, Time now)
{
    drain(now);
    const auto found = std::find_if(prompts_.begin(), prompts_.end(),
                                    [&](const Prompt &prompt) { return prompt.sentAt == sentAt; });
    if (found != prompts_.end()) {
        total_ -= found->remaining;
        prompts_.erase(found);
    }
}

Duration PrefillQueue::wait(Time now) const
{
    return std::max(Duration(0), total_ - doneSince(now));
}

void PrefillQueue::setWorkFactor(double factor, Time now)
{
    drain(now);
    workFactor_ = factor;
}

Duration PrefillQueue::doneSince(Time now) const
{
    return scaled(std::max(Duration(0), now - drainedAt_), 1 / workFactor_);
}

} // namespace LaburnumChute::Dispatch
