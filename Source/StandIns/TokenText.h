#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace LaburnumChute::StandIns {

/// Tokens of the prompt that share one entry of the prefix cache.
inline constexpr std::size_t BlockTokens = 64;
/// Bytes of text that count as one token.
inline constexpr std::size_t TokenBytes = 4;

/// The prompt text of an OpenAI request body, as docs/PROTOCOLS.md defines it: `prompt` (several
/// are joined by newlines), or role, newline, content, newline for each message of `messages`.
std::string promptText(const nlohmann::json &body);

/// Tokens in a text, the last one perhaps not full.
std::size_t countTokens(std::string_view text);

/// Hashes of the full blocks of a prompt, each over its predecessor's hash and its own bytes.
std::vector<std::uint64_t> blockChain(std::string_view prompt);

/// Start of the token sequence that answers this request. FNV-1a, so that a checker in any language
/// gets the same answer with a few lines. The salt is empty, or the id of an engine that samples.
std::uint64_t answerSeed(std::string_view requestId, std::string_view prompt,
                         std::string_view salt);

/// Token number index (from 1) of the answer: three letters and a space.
std::string answerToken(std::uint64_t seed, std::uint64_t index);

/// The first count tokens of the answer.
std::string answerText(std::uint64_t seed, std::uint64_t count);

} // namespace LaburnumChute::StandIns
