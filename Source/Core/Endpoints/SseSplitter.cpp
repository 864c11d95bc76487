#include "Endpoints/SseSplitter.h"

#include <charconv>

namespace LaburnumChute::Endpoints {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DoneMarker = "[DONE]";

std::string_view fieldValue(std::string_view line, std::string_view field)
{
    if (line.substr(0, field.size()) != field || line.size() <= field.size()
        || line[field.size()] != ':') {
        return {};
    }
    line.remove_prefix(field.size() + 1);
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace

std::string SseSplitter::feed(std::string_view bytes)
{
    for (const char byte : bytes) {
        if (byte != '\r') {
            pending_ += byte;
        }
    }
    std::string completeEvents;
    std::size_t start = 0;
    for (auto end = pending_.find(EventEnd); end != std::string::npos;
         end = pending_.find(EventEnd, start)) {
        const auto length = end + EventEnd.size() - start;
        parseEvent(std::string_view(pending_).substr(start, length), completeEvents);
        start += length;
    }
    pending_.erase(0, start);
    return completeEvents;
}

void SseSplitter::parseEvent(std::string_view event, std::string &completeEvents)
{
    bool hasData = false;
    auto rest = event;
    while (!rest.empty()) {
        const auto line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        const auto data = fieldValue(line, "data");
        hasData = hasData || !data.empty();
        done_ = done_ || data == DoneMarker;
        const auto id = fieldValue(line, "id");
        if (!id.empty()) {
            std::from_chars(id.data(), id.data() + id.size(), lastEventId_);
        }
    }
    if (hasData) {
        ++events_;
        completeEvents.append(event);
    }
}

} // namespace LaburnumChute::Endpoints
