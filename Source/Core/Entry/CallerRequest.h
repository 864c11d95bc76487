#pragma once

#include <optional>
#include <string>

#include "Common/Common.h"
#include "Entry/Exchange.h"

namespace LaburnumChute::Entry {

/// What a caller says about a request in headers; see docs/PROTOCOLS.md. Names are as sent: whether
/// the configuration knows them is for others to say.
struct CallerHeaders
{
    std::optional<std::string> bearerToken;
    std::optional<Common::CustomerName> customer;
    std::optional<std::string> priority;
    std::optional<std::string> residency;
    /// How long the caller waits for the first byte.
    std::optional<Common::milliseconds> deadline;
    std::optional<Common::RequestId> supersedes;
    std::optional<std::string> conversation;
    /// The region in which the caller is at home; without it, that of the instance it speaks to.
    std::optional<Common::RegionName> homeRegion;
    std::optional<bool> repeatable;
    std::optional<std::string> idempotencyKey;
    /// The caller says that an order equal to an earlier one is meant as a second one.
    bool allowDuplicate = false;
};

/// Reads the headers; an error names the header and what was expected.
Common::Result<CallerHeaders> parseCallerHeaders(const Common::Headers &headers);

enum class ModelCallKind { ChatCompletion, Completion };

/// The parts of an OpenAI-style body on which decisions depend.
struct ModelCall
{
    ModelCallKind kind = ModelCallKind::ChatCompletion;
    Common::ModelName model;
    Common::AdapterName adapter;
    bool stream = false;
    std::uint32_t maxTokens = 0;
    /// The text over which tokens are counted and prefixes hashed.
    std::string promptText;
};

/// Reads a model call's body; an error names the member and what was expected.
Common::Result<ModelCall> parseModelCall(ModelCallKind kind, const std::string &body);

/// The body as engines get it: always streamed, with the priority that the gateway has settled on;
/// for a caller who wants a whole answer, with the usage in the stream.
std::string engineBody(const std::string &body, int priorityLevel);

/// Tokens are counted by bytes; 4 bytes a token is the common rule of thumb for English text,
/// and what the load reports of engines are reckoned in.
inline constexpr std::size_t BytesPerToken = 4;
inline constexpr std::size_t PrefixBlockTokens = 64;

std::uint32_t tokenCount(const std::string &promptText);

/// The chained hashes of the prompt's whole blocks, as engines name them in cache events.
std::vector<std::uint64_t> prefixHashes(const std::string &promptText);

} // namespace LaburnumChute::Entry
