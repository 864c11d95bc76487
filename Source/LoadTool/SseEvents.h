#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace LaburnumChute::LoadTool {

struct SseEvent
{
    /// Of the line `event:`; empty for most.
    std::string name;
    std::string data;
};

/// Cuts a byte stream into server-sent events.
class SseEvents
{
public:
    /// The events that these bytes complete.
    std::vector<SseEvent> feed(std::string_view bytes);

private:
    std::string pending_;
};

/// Text of an answer or of one chunk of it, with what names its origin.
struct AnswerPart
{
    std::string id;
    std::string engine;
    std::string text;
};

/// Nothing when the text is not an OpenAI answer or chunk.
std::optional<AnswerPart> parsePart(const std::string &json);

} // namespace LaburnumChute::LoadTool
