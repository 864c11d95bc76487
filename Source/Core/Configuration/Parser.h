#pragma once

#include <memory>
#include <string_view>

#include "Common/Common.h"
#include "Configuration/Model.h"
#include "Configuration/Problem.h"

namespace LaburnumChute::Configuration {

/// The version of the document's schema that this release reads (member "schema").
inline constexpr int SchemaVersion = 1;

/// The platform's service holds values up to a megabyte.
inline constexpr std::size_t MaximumBytes = 1'000'000;

/// All that is known of a document after one reading.
struct Report
{
    /// Null when there are problems.
    std::shared_ptr<const Configuration> configuration;
    /// What keeps the document from being put in force; all of it, not only the first.
    Problems problems;
    /// What is valid but leaves some callers without an answer.
    Problems warnings;
};

/// Reads and validates a document.
Report check(std::string_view content);

/// The configuration, or an error whose message lists all problems, one a line.
Common::Result<std::shared_ptr<const Configuration>> parse(std::string_view content);

} // namespace LaburnumChute::Configuration
