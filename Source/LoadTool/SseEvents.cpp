#include "LoadTool/SseEvents.h"

#include <nlohmann/json.hpp>

namespace LaburnumChute::LoadTool {

namespace {

SseEvent parseEvent(std::string_view text)
{
    SseEvent event;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        if (line.rfind("data: ", 0) == 0) {
            event.data += line.substr(6);
        } else if (line.rfind("event: ", 0) == 0) {
            event.name = line.substr(7);
        }
    }
    return event;
}

} // namespace

std::vector<SseEvent> SseEvents::feed(std::string_view bytes)
{
    std::vector<SseEvent> events;
    pending_ += bytes;
    std::size_t from = 0;
    for (;;) {
        const auto end = pending_.find("\n\n", from);
        if (end == std::string::npos) {
            break;
        }
        auto event = parseEvent(std::string_view(pending_).substr(from, end - from));
        if (!event.data.empty()) {
            events.push_back(std::move(event));
        }
        from = end + 2;
    }
    pending_.erase(0, from);
    return events;
}

std::optional<AnswerPart> parsePart(const std::string &json)
{
    const auto body = nlohmann::json::parse(json, nullptr, false);
    if (!body.is_object() || !body.contains("choices") || body.at("choices").empty()) {
        return std::nullopt;
    }
    AnswerPart part;
    part.id = body.value("id", "");
    part.engine = body.value("system_fingerprint", "");
    const auto &choice = body.at("choices").at(0);
    if (choice.contains("delta")) {
        part.text = choice.at("delta").value("content", "");
    } else if (choice.contains("message")) {
        part.text = choice.at("message").value("content", "");
    } else {
        part.text = choice.value("text", "");
    }
    return part;
}

} // namespace LaburnumChute::LoadTool
