#include "Entry/CallerRequest.h"

#include <charconv>

#include "Common/Json.h"

namespace LaburnumChute::Entry {

namespace {

using nlohmann::json;

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::uint32_t DefaultMaxTokens = 256;
constexpr std::int64_t MaxTokensLimit = 1 << 20;

std::optional<std::string> headerText(const Common::Headers &headers, std::string_view name)
{
    const auto *value = Common::findHeader(headers, name);
    return value == nullptr ? std::nullopt : std::optional<std::string>(*value);
}

auto invalid(std::string_view name, std::string_view value, std::string_view expected)
{
    return Common::makeError(
        Common::ErrorCode::InvalidArgument,
        fmt::format("{}: the value \"{}\" is not valid; expected {}", name, value, expected));
}

Common::Result<std::optional<bool>> parseFlag(const Common::Headers &headers, std::string_view name)
{
    const auto value = headerText(headers, name);
    if (!value) {
        return std::optional<bool>();
    }
    if (*value != "true" && *value != "false") {
        return invalid(name, *value, "true or false");
    }
    return std::optional<bool>(*value == "true");
}

Common::Result<std::optional<Common::milliseconds>> parseDeadline(const Common::Headers &headers)
{
    constexpr std::string_view Name = "Laburnumchute-Deadline-Ms";
    const auto value = headerText(headers, Name);
    if (!value) {
        return std::optional<Common::milliseconds>();
    }
    std::int64_t number = 0;
    const auto *end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < 1 || number > MaxDeadlineMs) {
        return invalid(Name, *value, "whole milliseconds from 1 to 86400000");
    }
    return std::optional<Common::milliseconds>(number);
}

/// The text of a message's content, which is a string or an array of parts. Parts without text are
/// ignored.
Common::Result<std::string> contentText(const json &content)
{
    if (content.is_string()) {
        return content.get<std::string>();
    }
    if (content.is_null()) {
        return std::string();
    }
    if (!content.is_array()) {
        return invalid("/messages/*/content", content.type_name(), "a string or a list of parts");
    }
    std::string joined;
    for (const auto &part : content) {
        const auto found = part.is_object() ? part.find("text") : part.end();
        if (part.is_object() && found != part.end() && found->is_string()) {
            joined += found->get<std::string>();
        }
    }
    return joined;
}

Common::Result<std::string> chatPrompt(const json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return invalid("/messages", "", "a list of at least one message");
    }
    std::string prompt;
    for (const auto &message : *messages) {
        const auto role = message.is_object() ? message.find("role") : message.end();
        if (!message.is_object() || role == message.end() || !role->is_string()) {
            return invalid("/messages/*/role", "", "a string");
        }
        const auto content = contentText(message.value("content", json()));
        if (!content) {
            return tl::unexpected(content.error());
        }
        prompt += role->get<std::string>() + "\n" + *content + "\n";
    }
    return prompt;
}

Common::Result<std::string> completionPrompt(const json &body)
{
    const auto prompt = body.find("prompt");
    if (prompt != body.end() && prompt->is_string()) {
        return prompt->get<std::string>();
    }
    if (prompt == body.end() || !prompt->is_array()) {
        return invalid("/prompt", "", "a string or a list of strings");
    }
    std::string joined;
    for (const auto &part : *prompt) {
        if (!part.is_string()) {
            return invalid("/prompt/*", part.type_name(), "a string");
        }
        joined += (joined.empty() ? "" : "\n") + part.get<std::string>();
    }
    return joined;
}

Common::Result<std::uint32_t> parseMaxTokens(const json &body)
{
    for (const auto *name : {"max_completion_tokens", "max_tokens"}) {
        const auto found = body.find(name);
        if (found == body.end() || found->is_null()) {
            continue;
        }
        const bool isInteger = found->is_number_integer();
        if (!isInteger || found->get<std::int64_t>() < 1
            || found->get<std::int64_t>() > MaxTokensLimit) {
            return invalid(std::string("/") + name, found->dump(), "a whole number above 0");
        }
        return found->get<std::uint32_t>();
    }
    return DefaultMaxTokens;
}

} // namespace

Common::Result<CallerHeaders> parseCallerHeaders(const Common::Headers &headers)
{
    CallerHeaders result;
    const auto authorization = headerText(headers, "Authorization");
    if (authorization && authorization->rfind(BearerPrefix, 0) == 0) {
        result.bearerToken = authorization->substr(BearerPrefix.size());
    }
    if (const auto name = headerText(headers, "Laburnumchute-Customer")) {
        result.customer = Common::CustomerName(*name);
    }
    if (const auto id = headerText(headers, "Laburnumchute-Supersedes")) {
        result.supersedes = Common::RequestId(*id);
    }
    if (const auto region = headerText(headers, "Laburnumchute-Home-Region")) {
        result.homeRegion = Common::RegionName(*region);
    }
    result.priority = headerText(headers, "Laburnumchute-Priority");
    result.residency = headerText(headers, "Laburnumchute-Residency");
    result.conversation = headerText(headers, "Laburnumchute-Conversation");
    result.idempotencyKey = headerText(headers, "Idempotency-Key");
    const auto time = parseDeadline(headers);
    if (!time) {
        return tl::unexpected(time.error());
    }
    result.deadline = *time;
    const auto repeatable = parseFlag(headers, "Laburnumchute-Repeatable");
    if (!repeatable) {
        return tl::unexpected(repeatable.error());
    }
    result.repeatable = *repeatable;
    const auto duplicate = parseFlag(headers, "Laburnumchute-Allow-Duplicate");
    if (!duplicate) {
        return tl::unexpected(duplicate.error());
    }
    result.allowDuplicate = duplicate->value_or(false);
    return result;
}

Common::Result<ModelCall> parseModelCall(ModelCallKind kind, const std::string &body)
{
    const auto document = Common::parseJson(body);
    if (!document.is_object()) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 "the body is no JSON object of at most 64 levels");
    }
    ModelCall call;
    call.kind = kind;
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string()) {
        return invalid("/model", "", "the name of a model");
    }
    const auto name = model->get<std::string>();
    const auto colon = name.find(':');
    call.model = Common::ModelName(name.substr(0, colon));
    if (colon != std::string::npos) {
        call.adapter = Common::AdapterName(name.substr(colon + 1));
    }
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_boolean() && !stream->is_null()) {
        return invalid("/stream", stream->dump(), "true or false");
    }
    call.stream = stream != document.end() && stream->is_boolean() && stream->get<bool>();
    const auto tokens = parseMaxTokens(document);
    if (!tokens) {
        return tl::unexpected(tokens.error());
    }
    call.maxTokens = *tokens;
    auto prompt =
        kind == ModelCallKind::ChatCompletion ? chatPrompt(document) : completionPrompt(document);
    if (!prompt) {
        return tl::unexpected(prompt.error());
    }
    call.promptText = std::move(*prompt);
    return call;
}

std::string engineBody(const std::string &body, int priorityLevel)
{
    auto document = Common::parseJson(body);
    const auto stream = document.find("stream");
    if (stream == document.end() || *stream != true) {
        // Non-streamed responses include the usage, which engines add to a stream only on request.
        document["stream_options"] = {{"include_usage", true}};
    }
    document["stream"] = true;
    document["priority"] = priorityLevel;
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::uint32_t tokenCount(const std::string &promptText)
{
    return static_cast<std::uint32_t>((promptText.size() + BytesPerToken - 1) / BytesPerToken);
}

std::vector<std::uint64_t> prefixHashes(const std::string &promptText)
{
    constexpr std::size_t BlockBytes = BytesPerToken * PrefixBlockTokens;
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t start = 0; start + BlockBytes <= promptText.size(); start += BlockBytes) {
        std::string block;
        for (unsigned byte = 0; byte < sizeof(previous); ++byte) {
            block += static_cast<char>((previous >> (8 * byte)) & 0xff);
        }
        block.append(promptText, start, BlockBytes);
        previous = Common::stableHash(block);
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace LaburnumChute::Entry
