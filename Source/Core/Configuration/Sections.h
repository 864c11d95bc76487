#pragma once

#include <nlohmann/json.hpp>

#include "Configuration/Problem.h"
#include "Configuration/Tables.h"

namespace LaburnumChute::Configuration {

/// Reads the members of a document into tables; shapes and ranges are checked here, references
/// between sections are not.
Tables readTables(const nlohmann::json &document, Problems &problems);

} // namespace LaburnumChute::Configuration
