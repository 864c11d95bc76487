#include "StandIns/TokenText.h"

#include <array>
#include <cstring>

#include "Common/Common.h"

namespace LaburnumChute::StandIns {

namespace {

constexpr std::uint64_t FnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;
constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz234567";

std::uint64_t fnv1a(std::uint64_t hash, std::string_view bytes)
{
    for (const char byte : bytes) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * FnvPrime;
    }
    return hash;
}

/// SplitMix64: spreads consecutive numbers over all 64 bits.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// A string, or the parts of an array joined by the separator.
std::string textOf(const nlohmann::json &value, std::string_view separator)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    std::string text;
    if (!value.is_array()) {
        return text;
    }
    for (const auto &part : value) {
        if (!text.empty()) {
            text += separator;
        }
        const auto *content = &part;
        if (part.is_object() && part.contains("text")) {
            content = &part.at("text");
        }
        text += textOf(*content, separator);
    }
    return text;
}

} // namespace

std::string promptText(const nlohmann::json &body)
{
    if (const auto prompt = body.find("prompt"); prompt != body.end()) {
        return textOf(*prompt, "\n");
    }
    std::string text;
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array()) {
        return text;
    }
    for (const auto &message : *messages) {
        if (!message.is_object()) {
            continue;
        }
        text += textOf(message.value("role", nlohmann::json()), "") + "\n";
        text += textOf(message.value("content", nlohmann::json()), "") + "\n";
    }
    return text;
}

std::size_t countTokens(std::string_view text)
{
    return (text.size() + TokenBytes - 1) / TokenBytes;
}

std::vector<std::uint64_t> blockChain(std::string_view prompt)
{
    constexpr std::size_t BlockBytes = BlockTokens * TokenBytes;
    std::vector<std::uint64_t> chain;
    std::array<char, sizeof(std::uint64_t) + BlockBytes> buffer{};
    std::uint64_t previous = 0;
    for (std::size_t at = 0; at + BlockBytes <= prompt.size(); at += BlockBytes) {
        std::memcpy(buffer.data(), &previous, sizeof previous);
        std::memcpy(buffer.data() + sizeof previous, prompt.data() + at, BlockBytes);
        previous = Common::stableHash({buffer.data(), buffer.size()});
        chain.push_back(previous);
    }
    return chain;
}

std::uint64_t answerSeed(std::string_view requestId, std::string_view prompt, std::string_view salt)
{
    auto hash = fnv1a(FnvOffset, requestId);
    hash = fnv1a(hash, "\n");
    hash = fnv1a(hash, prompt);
    hash = fnv1a(hash, "\n");
    return fnv1a(hash, salt);
}

std::string answerToken(std::uint64_t seed, std::uint64_t index)
{
    const auto bits = mix(seed + index);
    return {Letters[bits & 31U], Letters[(bits >> 5U) & 31U], Letters[(bits >> 10U) & 31U], ' '};
}

std::string answerText(std::uint64_t seed, std::uint64_t count)
{
    std::string text;
    text.reserve(count * TokenBytes);
    for (std::uint64_t index = 1; index <= count; ++index) {
        text += answerToken(seed, index);
    }
    return text;
}

} // namespace LaburnumChute::StandIns
