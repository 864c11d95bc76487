#pragma once

#include <fstream>
#include <iterator>
#include <string>

#include <nlohmann/json.hpp>

#include "Configuration/Configuration.h"

namespace LaburnumChute::Configuration {

/// One of the documents in examples/.
inline nlohmann::json example(const std::string &name)
{
    std::ifstream file(std::string(LC_EXAMPLES_DIRECTORY) + "/" + name + ".json");
    return nlohmann::json::parse(file);
}

/// The example of the engraving works after a JSON Merge Patch.
inline nlohmann::json otaruWith(const std::string &mergePatch)
{
    auto document = example("otaru");
    document.merge_patch(nlohmann::json::parse(mergePatch));
    return document;
}

} // namespace LaburnumChute::Configuration
