#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace LaburnumChute::Relay {

/// Cuts a stream of server-sent events into whole ones and passes them on byte by byte as they
/// came, so that a stream that breaks inside an event can go on elsewhere without half of it having
/// been passed on.
class EventCutter
{
public:
    /// Takes bytes and returns all events that they complete.
    std::string feed(std::string_view bytes);
    /// Whole events that were passed on.
    int events() const
    {
        return eventCount_;
    }
    /// What is left of an event that has not ended.
    std::string takeRemainder();
    /// Another connection goes on with the stream: the half event comes again, and whole events up
    /// to the last id that was passed on are left out should they come again, too.
    void restart();

    /// The id of the last whole event that had one.
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
