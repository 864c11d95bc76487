#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace LaburnumChute::Common {

/// One header line of an HTTP message.
struct Header
{
    std::string name;
    std::string value;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(name, value);
    }
};

/// Header lines in their original order, including repeated ones.
using Headers = std::vector<Header>;

/// Compares header names, which are case-insensitive ASCII.
bool sameHeaderName(std::string_view left, std::string_view right);

/// Value of the first header with the name; null if there is none.
const std::string *findHeader(const Headers &headers, std::string_view name);

} // namespace LaburnumChute::Common
