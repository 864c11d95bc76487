#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// One structured line in the making: a JSON object with the event's name first.
class EventLine
{
public:
    explicit EventLine(std::string_view event);

    EventLine &add(std::string_view name, std::string_view value);
    EventLine &add(std::string_view name, const char *value);
    EventLine &add(std::string_view name, std::int64_t value);
    EventLine &add(std::string_view name, bool value);
    /// In milliseconds, under NAME_ms.
    template <typename Rep, typename Period>
    EventLine &add(std::string_view name, std::chrono::duration<Rep, Period> value)
    {
        return addMilliseconds(name, std::chrono::duration_cast<Common::milliseconds>(value));
    }
    /// As above; null says that there is no such time.
    EventLine &add(std::string_view name, std::optional<Common::Duration> value);
    template <typename Tag>
    EventLine &add(std::string_view name, const Common::Name<Tag> &value)
    {
        return add(name, std::string_view(value.text()));
    }

    const std::string &event() const
    {
        return event_;
    }
    const std::string &text() const
    {
        return text_;
    }

private:
    EventLine &addMilliseconds(std::string_view name, Common::milliseconds value);
    void appendKey(std::string_view name);

    std::string event_;
    std::string text_;
};

/// Writes structured lines to a descriptor.
///
/// Load pattern: ten times the usual requests, or a reader of the log that has stopped reading.
/// Each kind of line has a bucket of its own, so that a flood of one kind does not hide the others;
/// what is left out is counted and told. Lines wait in a bounded buffer and are written without
/// waiting: a write that blocks would stop every request of the process.
class EventLog
{
public:
    struct Options
    {
        /// Lines of one kind a second, and at once. A hundred lines of 200 bytes are 20 KB/s.
        double linesPerSecond = 100;
        double burst = 200;
        std::size_t bufferBytes = 256 * 1024;
    };

    EventLog(int descriptor, Options options, std::string instance);

    void write(const EventLine &line, Common::Time now);
    /// Writes what waits, as far as the descriptor takes it; to be called now and then.
    void flush(Common::Time now);

private:
    struct Bucket
    {
        double tokens = 0;
        Common::Time refilledAt{};
        std::uint64_t dropped = 0;
    };

    void append(const std::string &text);
    void reportDroppedLines(Common::Time now);

    int descriptor_;
    Options options_;
    std::string instance_;
    std::map<std::string, Bucket> buckets_;
    std::string buffer_;
    std::uint64_t overflowedLines_ = 0;
    Common::Time dropsReportedAt_{};
};

} // namespace LaburnumChute::Relay
