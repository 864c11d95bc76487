#pragma once

#include <string>

namespace LaburnumChute::Common {

/// Whether a text is an IP address and a port other than 0, as in "127.0.0.1:80".
bool isSocketAddress(const std::string &text);

} // namespace LaburnumChute::Common
