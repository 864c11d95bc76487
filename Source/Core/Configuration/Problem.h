#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace LaburnumChute::Configuration {

/// One fault of a document: where it is, what stands there and what should.
struct Problem
{
    /// JSON Pointer (RFC 6901); empty for the document as a whole.
    std::string pointer;
    /// The value found, as JSON, shortened; "nothing" when a member is missing.
    std::string value;
    /// What was expected there.
    std::string expected;

    bool operator==(const Problem &) const = default;
};

using Problems = std::vector<Problem>;

/// "/routes/draft/model: the value "x" is not valid; expected ...".
std::string toString(const Problem &problem);
/// All problems, one a line.
std::string toString(const Problems &problems);

/// A problem whose value is shown as JSON, cut to a readable length.
Problem makeProblem(const nlohmann::json::json_pointer &at, const nlohmann::json &value,
                    std::string expected);
/// A problem about a member that is not there.
Problem makeMissing(const nlohmann::json::json_pointer &at, std::string expected);

} // namespace LaburnumChute::Configuration
