#include "Relay/EventLog.h"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace LaburnumChute::Relay {

namespace {

constexpr Common::milliseconds TellInterval{1000};
/// A buffer this full is written at once, a tick's worth of lines otherwise.
constexpr std::size_t FlushBytes = 16 * 1024;

std::string timeText()
{
    const auto now = Common::toUnixMilliseconds(std::chrono::system_clock::now());
    return fmt::format("{}.{:03}", now / 1000, now % 1000);
}

void appendEscaped(std::string &text, std::string_view value)
{
    constexpr unsigned char FirstPrintable = 0x20;
    for (const auto letter : value) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            text += '\\';
            text += letter;
        } else if (code < FirstPrintable) {
            text += fmt::format("\\u{:04x}", code);
        } else {
            text += letter;
        }
    }
}

} // namespace

EventLine::EventLine(std::string_view event)
    : event_(event)
{
}

void EventLine::key(std::string_view name)
{
    text_ += ",\"";
    text_ += name;
    text_ += "\":";
}

EventLine &EventLine::add(std::string_view name, std::string_view value)
{
    key(name);
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
    key(name);
    text_ += std::to_string(value);
    return *this;
}

EventLine &EventLine::add(std::string_view name, bool value)
{
    key(name);
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
    key(std::string(name) + "_ms");
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
        ++overflowed_;
        return;
    }
    buffer_ += text;
}

void EventLog::write(const EventLine &line, Common::Time now)
{
    auto [place, isNew] = buckets_.try_emplace(line.event());
    auto &bucket = place->second;
    const double elapsed = Common::toSeconds(now - bucket.filledAt);
    bucket.tokens =
        isNew ? options_.burst
              : std::min(options_.burst, bucket.tokens + elapsed * options_.linesPerSecond);
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        ++bucket.dropped;
        return;
    }
    bucket.tokens -= 1;
    append(fmt::format("{{\"time\":{},\"instance\":\"{}\",\"event\":\"{}\"{}}}\n", timeText(),
                       instance_, line.event(), line.text()));
    if (buffer_.size() > FlushBytes) {
        flush(now);
    }
}

void EventLog::tellDropped(Common::Time now)
{
    if (now - toldAt_ < TellInterval) {
        return;
    }
    toldAt_ = now;
    for (auto &[event, bucket] : buckets_) {
        if (bucket.dropped > 0) {
            append(fmt::format("{{\"time\":{},\"instance\":\"{}\",\"event\":\"lines-left-out\","
                               "\"of\":\"{}\",\"count\":{}}}\n",
                               timeText(), instance_, event, bucket.dropped));
            bucket.dropped = 0;
        }
    }
    if (overflowed_ > 0) {
        const auto count = std::exchange(overflowed_, 0);
        append(fmt::format("{{\"time\":{},\"instance\":\"{}\",\"event\":\"lines-left-out\","
                           "\"of\":\"all\",\"count\":{}}}\n",
                           timeText(), instance_, count));
    }
}

void EventLog::flush(Common::Time now)
{
    tellDropped(now);
    while (!buffer_.empty()) {
        const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written <= 0) {
            // The reader is slow or gone: the rest waits for the next time.
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace LaburnumChute::Relay
