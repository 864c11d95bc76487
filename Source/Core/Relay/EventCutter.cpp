#include "Relay/EventCutter.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace LaburnumChute::Relay {

namespace {

/// Memory of a larger event is released after it.
constexpr std::size_t MaxKeptBytes = 64 * 1024;

struct EventEnd
{
    std::size_t position = std::string::npos;
    std::size_t length = 0;
};

/// Finds the first blank line, which ends an event.
EventEnd findEventEnd(std::string_view text, std::size_t from)
{
    for (auto lineFeed = text.find('\n', from); lineFeed != std::string_view::npos;
         lineFeed = text.find('\n', lineFeed + 1)) {
        const auto rest = text.substr(lineFeed + 1);
        if (rest.substr(0, 1) == "\n") {
            return {lineFeed, 2};
        }
        if (rest.substr(0, 2) == "\r\n") {
            return {lineFeed, 3};
        }
    }
    return {};
}

std::optional<std::string> findEventId(std::string_view event)
{
    constexpr std::string_view IdField = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(event.size(), end + 1));
        if (line.substr(0, IdField.size()) != IdField) {
            continue;
        }
        line.remove_prefix(IdField.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        return std::string(line);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

/// Returns true if `id` is at or before `last`. Ids that are not both numbers match only if they
/// are equal.
bool isAtOrBefore(const std::string &id, const std::string &last)
{
    const auto number = parseNumber(id);
    const auto lastNumber = parseNumber(last);
    return number && lastNumber ? *number <= *lastNumber : id == last;
}

} // namespace

std::string EventCutter::feed(std::string_view bytes)
{
    pending_ += bytes;
    std::string out;
    std::size_t start = 0;
    std::size_t from = scanOffset_;
    for (auto end = findEventEnd(pending_, from); end.position != std::string::npos;
         end = findEventEnd(pending_, from)) {
        const auto next = end.position + end.length;
        emitEvent(std::string_view(pending_).substr(start, next - start), out);
        start = next;
        from = next;
    }
    pending_.erase(0, start);
    if (pending_.empty() && pending_.capacity() > MaxKeptBytes) {
        pending_.shrink_to_fit();
    }
    // A line break sequence that ends an event may be split between two calls.
    constexpr std::size_t MaxEndLength = 3;
    scanOffset_ = pending_.size() - std::min(pending_.size(), MaxEndLength);
    return out;
}

void EventCutter::emitEvent(std::string_view event, std::string &out)
{
    auto id = findEventId(event);
    if (skippingDuplicates_ && id && lastId_ && isAtOrBefore(*id, *lastId_)) {
        return;
    }
    if (id) {
        lastId_ = std::move(id);
    }
    skippingDuplicates_ = false;
    ++eventCount_;
    out += event;
}

std::size_t EventCutter::incompleteEventBytes() const
{
    const bool onlyLineBreaks = pending_.find_first_not_of("\r\n") == std::string::npos;
    return onlyLineBreaks ? 0 : pending_.size();
}

std::string EventCutter::takeRemainder()
{
    scanOffset_ = 0;
    return std::exchange(pending_, {});
}

void EventCutter::restart()
{
    takeRemainder();
    skippingDuplicates_ = true;
}

} // namespace LaburnumChute::Relay
