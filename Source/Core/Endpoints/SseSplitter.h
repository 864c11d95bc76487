#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace LaburnumChute::Endpoints {

/// Splits a byte stream of server-sent events (WHATWG HTML, "Server-sent events") into whole
/// events, so that a stream that breaks inside an event can be resumed without having forwarded
/// part of that event. Comments, which engines send as keep-alives, are discarded.
class SseSplitter
{
public:
    /// Appends bytes to the stream and returns all events completed by them, each with its blank
    /// line.
    std::string feed(std::string_view bytes);

    /// The `id:` of the last complete event, or 0 before the first one.
    std::uint64_t lastEventId() const
    {
        return lastEventId_;
    }
    /// Number of complete events with data.
    std::uint64_t events() const
    {
        return events_;
    }
    /// True once the event `data: [DONE]` has been received.
    bool done() const
    {
        return done_;
    }
    /// Size of the incomplete event.
    std::size_t pendingBytes() const
    {
        return pending_.size();
    }
    /// Discards an incomplete event. Must be called before the stream continues on a new
    /// connection.
    void discardPartialEvent()
    {
        pending_.clear();
    }

private:
    void parseEvent(std::string_view event, std::string &completeEvents);

    std::string pending_;
    std::uint64_t lastEventId_ = 0;
    std::uint64_t events_ = 0;
    bool done_ = false;
};

} // namespace LaburnumChute::Endpoints
