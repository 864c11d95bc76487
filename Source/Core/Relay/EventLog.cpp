#include "Relay/EventLog.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace LaburnumChute::Relay {

namespace {

constexpr Common::milliseconds DropReportInterval{1000};
/// A larger buffer is written immediately; a smaller one is written at the next tick.
constexpr std::size_t FlushBytes = 16 * 1024;

std::string formatTime()
{
    const auto now = Common::toUnixMilliseconds(std::chrono::system_clock::now());
    return fmt::format("{}.{:03}", now / 1000, now % 1000);
}

void appendEscaped(std::string &text, std::string_view value)
{
    constexpr unsigned char FirstPrintable = 0x20;
    for (const auto character : value) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            text += '\\';
            text += character;
        } else if (code < FirstPrintable) {
            text += fmt::format("\\u{:04x}", code);
        } else {
            text += character;
        }
    }
}

} // namespace

std::string formatFingerprint(std::uint64_t fingerprint)
{
    return fmt::format("{:016x}", fingerprint);
}

std::string formatSuspect(const Dispatch::SuspectKey &key)
{
    return fmt::format("{}:{}", Dispatch::toString(key.kind), formatFingerprint(key.value));
}

std::string formatSuspects(const std::vector<Dispatch::SuspectKey> &keys)
{
    constexpr std::size_t MaxKeys = 32;
    std::string text;
    for (std::size_t index = 0; index < std::min(keys.size(), MaxKeys); ++index) {
        text += (index > 0 ? " " : "") + formatSuspect(keys[index]);
    }
    return text;
}

EventLine::EventLine(std::string_view event)
    : event_(event)
{
}

void EventLine::appendKey(std::string_view name)
{
    text_ += ",\"";
    text_ += name;
    text_ += "\":";
}

EventLine &EventLine::add(std::string_view name, std::string_view value)
{
    appendKey(name);
    text_ += '"';
    appendEscaped(text_, value);
    text_ += '"';
    return *this;
}

EventLine &EventLine::add(std::string_view name, const char *value)
{
    return add(name, std::string_view(value));
}

EventLine &EventLine::add(std::string_view name, std::int64_t value)
{
    appendKey(name);
    text_ += std::to_string(value);
    return *this;
}

EventLine &EventLine::add(std::string_view name, bool value)
{
    appendKey(name);
    text_ += value ? "true" : "false";
    return *this;
}

EventLine &EventLine::addMilliseconds(std::string_view name, Common::milliseconds value)
{
    return add(std::string(name) + "_ms", static_cast<std::int64_t>(value.count()));
}

EventLine &EventLine::add(std::string_view name, std::optional<Common::Duration> value)
{
    if (value) {
        return add(name, *value);
    }
    appendKey(std::string(name) + "_ms");
    text_ += "null";
    return *this;
}

EventLog::EventLog(int descriptor, Options options, std::string instance)
    : descriptor_(descriptor)
    , options_(options)
    , instance_(std::move(instance))
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void EventLog::append(const std::string &text)
{
    if (buffer_.size() + text.size() > options_.bufferBytes) {
        ++overflowedLines_;
        return;
    }
    buffer_ += text;
}

void EventLog::write(const EventLine &line, Common::Time now)
{
    auto [entry, isNew] = buckets_.try_emplace(line.event());
    auto &bucket = entry->second;
    const double elapsed = Common::toSeconds(now - bucket.refilledAt);
    bucket.tokens =
        isNew ? options_.burst
              : std::min(options_.burst, bucket.tokens + elapsed * options_.linesPerSecond);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        ++bucket.dropped;
        return;
    }
    bucket.tokens -= 1;
    append(fmt::format("{{\"time\":{},\"instance\":\"{}\",\"event\":\"{}\"{}}}\n", formatTime(),
                       instance_, line.event(), line.text()));
    if (buffer_.size() > FlushBytes) {
        flush(now);
    }
}

void EventLog::reportDroppedLines(Common::Time now)
{
    if (now - dropsReportedAt_ < DropReportInterval) {
        return;
    }
    dropsReportedAt_ = now;
    for (auto &[event, bucket] : buckets_) {
        if (bucket.dropped > 0) {
            append(fmt::format("{{\"time\":{},\"instance\":\"{}\",\"event\":\"lines-left-out\","
                               "\"of\":\"{}\",\"count\":{}}}\n",
                               formatTime(), instance_, event, bucket.dropped));
            bucket.dropped = 0;
        }
    }
    if (overflowedLines_ > 0) {
        const auto count = std::exchange(overflowedLines_, 0);
        append(fmt::format("{{\"time\":{},\"instance\":\"{}\",\"event\":\"lines-left-out\","
                           "\"of\":\"all\",\"count\":{}}}\n",
                           formatTime(), instance_, count));
    }
}

void EventLog::flush(Common::Time now)
{
    reportDroppedLines(now);
    while (!buffer_.empty()) {
        const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written <= 0) {
            // The reader is slow or closed; the rest is written by a later flush.
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace LaburnumChute::Relay
