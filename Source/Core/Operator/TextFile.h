#pragma once

#include <fstream>
#include <iterator>
#include <string>

#include "Common/Common.h"

namespace LaburnumChute::Operator {

/// Reads a whole file.
inline Common::Result<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (!file || file.bad()) {
        return Common::makeError(Common::ErrorCode::NotFound,
                                 path + ": the file cannot be read; expected a readable file");
    }
    return text;
}

} // namespace LaburnumChute::Operator
