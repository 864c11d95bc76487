#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Common.h"
#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Relay {

/// Builds one structured log line: a JSON object that contains the event name and further fields.
class EventLine
{
public:
    explicit EventLine(std::string_view event);

    EventLine &add(std::string_view name, std::string_view value);
    EventLine &add(std::string_view name, const char *value);
    EventLine &add(std::string_view name, std::int64_t value);
    EventLine &add(std::string_view name, bool value);
    /// Adds the duration in milliseconds as field NAME_ms.
    template <typename Rep, typename Period>
    EventLine &add(std::string_view name, std::chrono::duration<Rep, Period> value)
    {
        return addMilliseconds(name, std::chrono::duration_cast<Common::milliseconds>(value));
    }
    /// Adds the duration as above, or null if it is not set.
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

/// Fingerprint of a request as it appears in log lines.
std::string formatFingerprint(std::uint64_t fingerprint);
/// What crashes are put down to, as KIND:FINGERPRINT.
std::string formatSuspect(const Dispatch::SuspectKey &key);
/// The first ones, separated by spaces.
std::string formatSuspects(const std::vector<Dispatch::SuspectKey> &keys);

/// Writes structured log lines to a file descriptor.
///
/// Designed for ten times the usual request rate and for a log reader that has stopped reading.
/// Each event name has its own token bucket, so that a flood of one event does not displace the
/// others; dropped lines are counted and reported. Lines are kept in a bounded buffer and written
/// without blocking, because a blocking write would stall all requests of the process.
class EventLog
{
public:
    struct Options
    {
        /// Sustained rate and burst size in lines, for each event name. 100 lines of 200 bytes per
        /// second are 20 KB/s.
        double linesPerSecond = 100;
        double burst = 200;
        std::size_t bufferBytes = 256 * 1024;
    };

    EventLog(int descriptor, Options options, std::string instance);

    void write(const EventLine &line, Common::Time now);
    /// Writes as much of the buffer as the descriptor accepts. Must be called periodically.
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
