#pragma once

#include <memory>
#include <string_view>

#include "Common/Common.h"
#include "Configuration/Model.h"
#include "Configuration/Problem.h"

namespace LaburnumChute::Configuration {

/// Supported version of the document schema (member "schema").
inline constexpr int SchemaVersion = 1;

/// Maximum size of a value in the platform's configuration service.
inline constexpr std::size_t MaximumBytes = 1'000'000;

/// Result of parsing a document.
struct Report
{
    /// Null if there are problems.
    std::shared_ptr<const Configuration> configuration;
    /// All errors that prevent the document from being put in force.
    Problems problems;
    /// Valid entries because of which some requests can never be served.
    Problems warnings;
};

/// Parses and validates a document.
Report check(std::string_view content);

/// Returns the configuration, or an error whose message lists all problems, one per line.
Common::Result<std::shared_ptr<const Configuration>> parse(std::string_view content);

} // namespace LaburnumChute::Configuration
