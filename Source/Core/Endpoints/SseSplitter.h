#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace LaburnumChute::Endpoints {

/// Cuts a byte stream of server-sent events (WHATWG HTML, "Server-sent events") into whole events,
/// so that a stream that breaks inside an event can be resumed without half of it having been
/// passed on. Comments, which engines send as signs of life, are dropped.
class SseSplitter
{
public:
    /// Takes bytes and returns all events that they complete, each with its blank line.
    std::string feed(std::string_view bytes);

    /// The `id:` of the last complete event; 0 before the first.
    std::uint64_t lastEventId() const
    {
        return lastEventId_;
    }
    /// Complete events seen that carry data.
    std::uint64_t events() const
    {
        return events_;
    }
    /// True once the event `data: [DONE]` has been seen.
    bool done() const
    {
        return done_;
    }
    /// Forgets a half event; to be called before another connection continues the stream.
    void dropPartial()
    {
        pending_.clear();
    }

private:
    void take(std::string_view event, std::string &out);

    std::string pending_;
    std::uint64_t lastEventId_ = 0;
    std::uint64_t events_ = 0;
    bool done_ = false;
};

} // namespace LaburnumChute::Endpoints
