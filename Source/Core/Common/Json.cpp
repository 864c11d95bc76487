#include "Common/Json.h"

#include <algorithm>

namespace LaburnumChute::Common {

namespace {

/// Returns the position after the string that begins at a quotation mark.
std::size_t skipString(std::string_view text, std::size_t start)
{
    auto position = start + 1;
    while (position < text.size()) {
        position = text.find_first_of("\"\\", position);
        if (position == std::string_view::npos) {
            return text.size();
        }
        if (text[position] == '"') {
            return position + 1;
        }
        position += 2;
    }
    return text.size();
}

std::size_t skipSpace(std::string_view text, std::size_t position)
{
    return std::min(text.find_first_not_of(" \t\r\n", position), text.size());
}

/// Returns by how much a character outside of strings changes the depth of nesting.
int depthChange(char letter)
{
    if (letter == '[' || letter == '{') {
        return 1;
    }
    return letter == ']' || letter == '}' ? -1 : 0;
}

/// Returns the position of the comma or closing bracket after the value that begins at a position.
std::size_t skipValue(std::string_view text, std::size_t position)
{
    int depth = 0;
    while (position < text.size()) {
        const char letter = text[position];
        if (letter == '"') {
            position = skipString(text, position);
            continue;
        }
        const int change = depthChange(letter);
        if (depth == 0 && (change < 0 || letter == ',')) {
            return position;
        }
        depth += change;
        ++position;
    }
    return text.size();
}

std::optional<JsonArrayText> splitArray(std::string_view text, std::size_t begin)
{
    JsonArrayText array;
    array.begin = begin;
    auto position = skipSpace(text, begin + 1);
    while (position < text.size() && text[position] != ']') {
        const auto end = skipValue(text, position);
        array.elements.push_back(text.substr(position, end - position));
        const bool more = end < text.size() && text[end] == ',';
        position = more ? skipSpace(text, end + 1) : end;
        if (!more && (end >= text.size() || text[end] != ']')) {
            return std::nullopt;
        }
    }
    if (position >= text.size()) {
        return std::nullopt;
    }
    array.end = position + 1;
    return array;
}

bool isNestedTooDeeply(std::string_view text)
{
    int depth = 0;
    std::size_t position = 0;
    while (position < text.size()) {
        const char letter = text[position];
        if (letter == '"') {
            position = skipString(text, position);
            continue;
        }
        depth += depthChange(letter);
        if (depth > MaxJsonDepth) {
            return true;
        }
        ++position;
    }
    return false;
}

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

std::optional<JsonArrayText> findJsonArray(std::string_view document, std::string_view member)
{
    auto position = skipSpace(document, 0);
    if (position >= document.size() || document[position] != '{') {
        return std::nullopt;
    }
    position = skipSpace(document, position + 1);
    while (position < document.size() && document[position] == '"') {
        const auto nameEnd = skipString(document, position);
        const auto name = document.substr(position + 1, nameEnd - position - 2);
        const auto colon = skipSpace(document, nameEnd);
        if (colon >= document.size() || document[colon] != ':') {
            return std::nullopt;
        }
        const auto value = skipSpace(document, colon + 1);
        if (name == member) {
            const bool isArray = value < document.size() && document[value] == '[';
            return isArray ? splitArray(document, value) : std::nullopt;
        }
        position = skipValue(document, value);
        position = skipSpace(document, std::min(position + 1, document.size()));
    }
    return std::nullopt;
}

} // namespace LaburnumChute::Common
