#pragma once

#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Common/Common.h"
#include "Entry/CallerRequest.h"

namespace LaburnumChute::Entry {

/// Assembles the streamed chunks of an engine's response into a single document for callers that
/// did not ask for a stream. Engines are always asked to stream, since only a stream can be resumed
/// and since silence cannot be told from a long response otherwise.
class CompletionAssembler
{
public:
    explicit CompletionAssembler(ModelCallKind kind)
        : kind_(kind)
    {
    }

    /// Adds whole events.
    Common::Result<void> feed(std::string_view events);
    /// The document in OpenAI's "chat.completion" or "text_completion" format.
    std::string body() const;
    /// Memory of the document, roughly.
    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    struct Choice
    {
        std::string text;
        std::string role = "assistant";
        nlohmann::json toolCalls = nlohmann::json::array();
        nlohmann::json finishReason;
    };

    void addChunk(const nlohmann::json &chunk);
    void addToolCalls(Choice &choice, const nlohmann::json &calls);
    nlohmann::json choiceDocument(int index, const Choice &choice) const;

    ModelCallKind kind_;
    std::map<int, Choice> choices_;
    nlohmann::json commonMembers_ = nlohmann::json::object();
    nlohmann::json usage_;
    std::size_t bytes_ = 0;
};

} // namespace LaburnumChute::Entry
