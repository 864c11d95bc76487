#pragma once

#include <optional>
#include <string>

#include "Common/Common.h"
#include "Entry/Exchange.h"

namespace LaburnumChute::Entry {

/// Request options that callers send in headers; see docs/PROTOCOLS.md. Names are not checked
/// against the configuration here.
struct CallerHeaders
{
    std::optional<std::string> bearerToken;
    std::optional<Common::CustomerName> customer;
    std::optional<std::string> priority;
    std::optional<std::string> residency;
    /// How long the caller waits for the first response byte.
    std::optional<Common::milliseconds> deadline;
    std::optional<Common::RequestId> supersedes;
    std::optional<std::string> conversation;
    /// The caller's home region; defaults to the region of the instance that receives the request.
    std::optional<Common::RegionName> homeRegion;
    std::optional<bool> repeatable;
    std::optional<std::string> idempotencyKey;
    /// True if an order that is identical to an earlier one is intended as a second order.
    bool allowDuplicate = false;
};

/// Parses the headers. An error names the header and the expected value.
Common::Result<CallerHeaders> parseCallerHeaders(const Common::Headers &headers);

enum class ModelCallKind { ChatCompletion, Completion };

/// The members of an OpenAI-style body that routing and admission use.
struct ModelCall
{
    ModelCallKind kind = ModelCallKind::ChatCompletion;
    Common::ModelName model;
    Common::AdapterName adapter;
    bool stream = false;
    std::uint32_t maxTokens = 0;
    /// The text used for token counting and prefix hashing.
    std::string promptText;
};

/// Parses the body of a model call. An error names the member and the expected value.
Common::Result<ModelCall> parseModelCall(ModelCallKind kind, const std::string &body);

/// Creates the body that is sent to engines: always streamed, with the priority chosen by the
/// gateway. If the caller did not ask for a stream, the engine includes the usage in it.
std::string engineBody(const std::string &body, int priorityLevel);

/// Token counts are estimated from bytes: 4 bytes per token is a common approximation for English
/// text, and the load reports of engines use the same unit.
inline constexpr std::size_t BytesPerToken = 4;
inline constexpr std::size_t PrefixBlockTokens = 64;

std::uint32_t tokenCount(const std::string &promptText);

/// The chained hashes of the prompt's complete blocks, as engines identify them in cache events.
std::vector<std::uint64_t> prefixHashes(const std::string &promptText);

} // namespace LaburnumChute::Entry
