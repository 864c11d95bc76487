#include "Common/SocketAddress.h"

#include <charconv>

#include <arpa/inet.h>

namespace LaburnumChute::Common {

bool isSocketAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    const auto ip = text.substr(0, colon);
    in6_addr address = {};
    const bool isIp = ::inet_pton(AF_INET, ip.c_str(), &address) == 1
                      || ::inet_pton(AF_INET6, ip.c_str(), &address) == 1;
    unsigned short port = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    return isIp && parsed.ec == std::errc() && parsed.ptr == end && port != 0;
}

} // namespace LaburnumChute::Common
