#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace LaburnumChute::Configuration {

/// An error in a document: its position, the value found and the expected one.
struct Problem
{
    /// JSON Pointer (RFC 6901); empty for the whole document.
    std::string pointer;
    /// The value as shortened JSON, or "nothing" for a missing member.
    std::string value;
    /// Description of valid values.
    std::string expected;

    bool operator==(const Problem &) const = default;
};

using Problems = std::vector<Problem>;

/// "/routes/draft/model: the value "x" is not valid; expected ...".
std::string toString(const Problem &problem);
/// All problems, one per line.
std::string toString(const Problems &problems);

/// Creates a problem that contains the value as shortened JSON.
Problem makeProblem(const nlohmann::json::json_pointer &at, const nlohmann::json &value,
                    std::string expected);
/// Creates a problem for a missing member.
Problem makeMissing(const nlohmann::json::json_pointer &at, std::string expected);

} // namespace LaburnumChute::Configuration
