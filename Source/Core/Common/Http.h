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

/// Header lines; order and repetition are kept.
using Headers = std::vector<Header>;

/// True when two header names are the same; they are ASCII and their case does not count.
bool sameHeaderName(std::string_view left, std::string_view right);

/// The value of the first header of that name; nullptr when there is none.
const std::string *findHeader(const Headers &headers, std::string_view name);

} // namespace LaburnumChute::Common
