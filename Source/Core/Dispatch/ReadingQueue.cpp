#include "Dispatch/ReadingQueue.h"

#include <algorithm>

namespace LaburnumChute::Dispatch {

namespace {

/// Prompts remembered at most: an engine that has so many is full.
constexpr std::size_t MaxPrompts = 128;

} // namespace

void ReadingQueue::drain(Time now)
{
    auto passed = std::max(Duration(0), now - drainedAt_);
    drainedAt_ = std::max(drainedAt_, now);
    while (passed > Duration(0) && !prompts_.empty()) {
        auto &first = prompts_.front();
        const auto read = std::min(passed, first.left);
        first.left -= read;
        total_ -= read;
        passed -= read;
        if (first.left <= Duration(0)) {
            prompts_.pop_front();
        }
    }
}

void ReadingQueue::add(Time sentAt, Duration work)
{
    drain(sentAt);
    if (prompts_.size() >= MaxPrompts) {
        return;
    }
    prompts_.push_back({sentAt, work});
    total_ += work;
}

void ReadingQueue::readUpTo(Time sentAt, Time now)
{
    drain(now);
    while (!prompts_.empty() && prompts_.front().sentAt <= sentAt) {
        total_ -= prompts_.front().left;
        prompts_.pop_front();
    }
}

void ReadingQueue::remove(Time sentAt, Time now)
{
    drain(now);
    const auto found = std::find_if(prompts_.begin(), prompts_.end(),
                                    [&](const Prompt &prompt) { return prompt.sentAt == sentAt; });
    if (found != prompts_.end()) {
        total_ -= found->left;
        prompts_.erase(found);
    }
}

Duration ReadingQueue::wait(Time now) const
{
    const auto passed = std::max(Duration(0), now - drainedAt_);
    return std::max(Duration(0), total_ - passed);
}

} // namespace LaburnumChute::Dispatch
