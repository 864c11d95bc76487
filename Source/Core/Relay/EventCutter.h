#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace LaburnumChute::Relay {

/// Splits a stream of server-sent events (SSE) into complete events without changing their bytes.
///
/// Partial events are held back, so that a stream that breaks inside an event can be resumed at
/// another endpoint without the caller having received part of that event.
class EventCutter
{
public:
    /// Appends bytes and returns the events that they complete.
    std::string feed(std::string_view bytes);
    /// Number of complete events returned so far.
    int events() const
    {
        return eventCount_;
    }
    /// Bytes of the event that has begun and not ended; 0 between two events, where line breaks may
    /// be pending.
    std::size_t incompleteEventBytes() const;
    /// Bytes that are held back.
    std::size_t pendingBytes() const
    {
        return pending_.size();
    }
    /// Removes and returns the bytes of the incomplete event.
    std::string takeRemainder();
    /// Prepares for a stream that is resumed on another connection. Discards the incomplete event,
    /// which is sent again, and skips leading events up to the last returned id if they are
    /// repeated.
    void restart();

    /// Id of the last complete event that had one.
    const std::optional<std::string> &lastId() const
    {
        return lastId_;
    }

private:
    void emitEvent(std::string_view event, std::string &out);

    std::string pending_;
    std::size_t scanOffset_ = 0;
    std::optional<std::string> lastId_;
    bool skippingDuplicates_ = false;
    int eventCount_ = 0;
};

} // namespace LaburnumChute::Relay
