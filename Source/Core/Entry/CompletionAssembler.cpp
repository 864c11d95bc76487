#include "Entry/CompletionAssembler.h"

#include "Common/Json.h"

namespace LaburnumChute::Entry {

namespace {

using nlohmann::json;

constexpr std::string_view DataField = "data: ";
constexpr std::string_view DoneMarker = "[DONE]";
/// Memory of a choice or a tool call without its text.
constexpr std::size_t PartBytes = 512;
constexpr std::size_t RoleLimit = 64;

std::string stringMember(const json &object, const char *member)
{
    const auto found = object.find(member);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

Common::Result<void> CompletionAssembler::feed(std::string_view events)
{
    while (!events.empty()) {
        const auto line = events.substr(0, events.find('\n'));
        events.remove_prefix(std::min(events.size(), line.size() + 1));
        if (line.substr(0, DataField.size()) != DataField) {
            continue;
        }
        const auto data = line.substr(DataField.size());
        if (data == DoneMarker) {
            continue;
        }
        const auto chunk = Common::parseJson(data);
        if (!chunk.is_object()) {
            return Common::makeError(Common::ErrorCode::ProtocolViolation,
                                     "the engine sent an event that is no JSON object");
        }
        try {
            addChunk(chunk);
        } catch (const json::exception &error) {
            return Common::makeError(Common::ErrorCode::ProtocolViolation,
                                     std::string("the engine sent an event of another form: ")
                                         + error.what());
        }
    }
    return {};
}

void CompletionAssembler::addChunk(const json &chunk)
{
    for (const auto *member : {"id", "created", "model", "system_fingerprint"}) {
        if (chunk.contains(member) && !commonMembers_.contains(member)) {
            commonMembers_[member] = chunk[member];
        }
    }
    if (chunk.contains("usage") && chunk["usage"].is_object()) {
        usage_ = chunk["usage"];
    }
    const auto choices = chunk.find("choices");
    if (choices == chunk.end() || !choices->is_array()) {
        return;
    }
    for (const auto &choiceChunk : *choices) {
        const auto known = choices_.size();
        auto &choice = choices_[choiceChunk.value("index", 0)];
        bytes_ += (choices_.size() - known) * PartBytes;
        const auto textBefore = choice.text.size();
        choice.text += stringMember(choiceChunk, "text");
        const auto delta = choiceChunk.find("delta");
        if (delta != choiceChunk.end() && delta->is_object()) {
            choice.text += stringMember(*delta, "content");
            const auto role = stringMember(*delta, "role").substr(0, RoleLimit);
            choice.role = role.empty() ? choice.role : role;
            addToolCalls(choice, delta->value("tool_calls", json::array()));
        }
        bytes_ += choice.text.size() - textBefore;
        if (choiceChunk.contains("finish_reason") && !choiceChunk["finish_reason"].is_null()) {
            choice.finishReason = choiceChunk["finish_reason"];
            bytes_ += choice.finishReason.dump().size();
        }
    }
}

void CompletionAssembler::addToolCalls(Choice &choice, const json &calls)
{
    for (const auto &call : calls) {
        bytes_ += PartBytes;
        const auto index = call.value("index", choice.toolCalls.size());
        while (choice.toolCalls.size() <= index && choice.toolCalls.size() < 128) {
            choice.toolCalls.push_back({{"id", ""},
                                        {"type", "function"},
                                        {"function", {{"name", ""}, {"arguments", ""}}}});
        }
        if (index >= choice.toolCalls.size()) {
            continue;
        }
        auto &toolCall = choice.toolCalls[index];
        const auto id = stringMember(call, "id");
        if (!id.empty()) {
            toolCall["id"] = id;
            bytes_ += id.size();
        }
        const auto function = call.value("function", json::object());
        for (const auto *member : {"name", "arguments"}) {
            const auto part = stringMember(function, member);
            bytes_ += part.size();
            toolCall["function"][member] = toolCall["function"][member].get<std::string>() + part;
        }
    }
}

json CompletionAssembler::choiceDocument(int index, const Choice &choice) const
{
    json document = {
        {"index", index}, {"finish_reason", choice.finishReason}, {"logprobs", nullptr}};
    if (kind_ == ModelCallKind::Completion) {
        document["text"] = choice.text;
        return document;
    }
    document["message"] = {{"role", choice.role}, {"content", choice.text}};
    if (!choice.toolCalls.empty()) {
        document["message"]["tool_calls"] = choice.toolCalls;
    }
    return document;
}

std::string CompletionAssembler::body() const
{
    json document = commonMembers_;
    document["object"] =
        kind_ == ModelCallKind::ChatCompletion ? "chat.completion" : "text_completion";
    document["choices"] = json::array();
    for (const auto &[index, choice] : choices_) {
        document["choices"].push_back(choiceDocument(index, choice));
    }
    if (!usage_.is_null()) {
        document["usage"] = usage_;
    }
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace LaburnumChute::Entry
