#pragma once

#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "Common/Common.h"
#include "Entry/CallerRequest.h"

namespace LaburnumChute::Entry {

/// Puts the streamed chunks of an engine's answer together to the one document that callers get who
/// did not ask for a stream. Engines are always called streamed, since only a stream can be
/// resumed, and since only then silence can be told from a long answer.
class WholeAnswer
{
public:
    explicit WholeAnswer(ModelCallKind kind)
        : kind_(kind)
    {
    }

    /// Takes whole events.
    Common::Result<void> feed(std::string_view events);
    /// The document, in OpenAI's shape of "chat.completion" or "text_completion".
    std::string body() const;

private:
    struct Choice
    {
        std::string text;
        std::string role = "assistant";
        nlohmann::json toolCalls = nlohmann::json::array();
        nlohmann::json finishReason;
    };

    void take(const nlohmann::json &chunk);
    void takeToolCalls(Choice &choice, const nlohmann::json &calls);
    nlohmann::json choiceDocument(int index, const Choice &choice) const;

    ModelCallKind kind_;
    std::map<int, Choice> choices_;
    nlohmann::json head_ = nlohmann::json::object();
    nlohmann::json usage_;
};

} // namespace LaburnumChute::Entry
