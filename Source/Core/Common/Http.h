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

/// Whether another response follows one with this status. 101 is not among them, since no request
/// asks for another protocol.
bool isInterimStatus(unsigned status);

/// Whether the status is that of a final response. Values above 599 are invalid (RFC 9110, section
/// 15).
bool isFinalStatus(unsigned status);

} // namespace LaburnumChute::Common
