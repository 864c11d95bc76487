#include "StandIns/EngineStream.h"

#include <iterator>

#include <nlohmann/json.hpp>

#include "StandIns/TokenText.h"

namespace LaburnumChute::StandIns {

namespace {

nlohmann::json usage(const EngineStream &stream)
{
    return {{"prompt_tokens", stream.promptTokens},
            {"completion_tokens", stream.generated},
            {"total_tokens", stream.promptTokens + stream.generated}};
}

/// The id of the answer, from which a checker learns under which request id the engine ran it.
std::string answerId(const EngineStream &stream)
{
    return (stream.chat ? "chatcmpl-" : "cmpl-") + stream.requestId;
}

/// The members that all chunks of a stream share, without the closing brace.
std::string chunkHead(const EngineStream &stream)
{
    return fmt::format(R"({{"id":{},"object":"{}","created":{},"model":{},"system_fingerprint":{})",
                       nlohmann::json(answerId(stream)).dump(),
                       stream.chat ? "chat.completion.chunk" : "text_completion", stream.createdAt,
                       nlohmann::json(stream.model).dump(), nlohmann::json(stream.engineId).dump());
}

} // namespace

EngineStream::EngineStream(const asio::any_io_executor &executor, std::string requestId)
    : requestId(std::move(requestId))
    , changed(executor)
{
}

std::string streamEvents(const EngineStream &stream, std::size_t after)
{
    std::string out;
    const auto head = chunkHead(stream);
    for (std::size_t index = after + 1; index <= stream.generated; ++index) {
        const auto token = answerToken(stream.seed, index);
        const std::string_view finish = index == stream.maxTokens ? R"("stop")" : "null";
        auto to = std::back_inserter(out);
        if (stream.chat) {
            const std::string_view role = index == 1 ? R"("role":"assistant",)" : "";
            fmt::format_to(to,
                           "id: {}\ndata: {},\"choices\":[{{\"index\":0,\"delta\":{{{}\"content\":"
                           "\"{}\"}},\"finish_reason\":{}}}]}}\n\n",
                           index, head, role, token, finish);
        } else {
            fmt::format_to(to,
                           "id: {}\ndata: {},\"choices\":[{{\"index\":0,\"text\":\"{}\","
                           "\"logprobs\":null,\"finish_reason\":{}}}]}}\n\n",
                           index, head, token, finish);
        }
    }
    return out;
}

std::string streamClosing(const EngineStream &stream)
{
    std::string out;
    if (stream.includeUsage) {
        out += fmt::format("data: {},\"choices\":[],\"usage\":{}}}\n\n", chunkHead(stream),
                           usage(stream).dump());
    }
    return out + "data: [DONE]\n\n";
}

std::string wholeAnswer(const EngineStream &stream)
{
    const auto text = answerText(stream.seed, stream.generated);
    nlohmann::json choice = {{"index", 0}, {"finish_reason", "stop"}, {"logprobs", nullptr}};
    if (stream.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    return nlohmann::json({{"id", answerId(stream)},
                           {"object", stream.chat ? "chat.completion" : "text_completion"},
                           {"created", stream.createdAt},
                           {"model", stream.model},
                           {"system_fingerprint", stream.engineId},
                           {"choices", nlohmann::json::array({choice})},
                           {"usage", usage(stream)}})
        .dump();
}

} // namespace LaburnumChute::StandIns
