#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace LaburnumChute::Common {

/// Deepest nesting of a document that parseJson() accepts. Copying and printing a document are
/// recursive, and each level occupies far more memory than its bracket in the text.
inline constexpr int MaxJsonDepth = 64;

/// Parses a document that comes from outside this process. Returns a discarded value if the text is
/// no JSON or is nested more deeply than MaxJsonDepth.
nlohmann::json parseJson(std::string_view text);

/// An array that is a member of a document's top-level object.
struct JsonArrayText
{
    /// The array's text within the document, with its brackets.
    std::size_t begin = 0;
    std::size_t end = 0;
    std::vector<std::string_view> elements;
};

/// Finds the array without parsing its elements, so that one that cannot be parsed does not make
/// the others unreadable. Returns nothing if there is no such array or its brackets do not match.
std::optional<JsonArrayText> findJsonArray(std::string_view document, std::string_view member);

} // namespace LaburnumChute::Common
