#include "Common/Http.h"

#include <algorithm>

namespace LaburnumChute::Common {

namespace {

constexpr unsigned LowestFinalStatus = 200;

char lowered(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

bool sameHeaderName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return lowered(one) == lowered(other); });
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (sameHeaderName(header.name, name)) {
            return &header.value;
        }
    }
    return nullptr;
}

bool isInterimStatus(unsigned status)
{
    constexpr unsigned Lowest = 100;
    constexpr unsigned SwitchingProtocols = 101;
    return status >= Lowest && status < LowestFinalStatus && status != SwitchingProtocols;
}

bool isFinalStatus(unsigned status)
{
    constexpr unsigned Highest = 599;
    return status >= LowestFinalStatus && status <= Highest;
}

} // namespace LaburnumChute::Common
