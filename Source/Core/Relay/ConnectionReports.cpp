#include "Relay/ConnectionReports.h"

namespace LaburnumChute::Relay {

std::string_view toString(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::Remote:
        return "closed by the remote side";
    case ConnectionEnd::Graceful:
        return "closed by both sides";
    case ConnectionEnd::LingerTimeout:
        return "not closed by the remote side in time";
    case ConnectionEnd::WriteTimeout:
        return "the remote side does not read";
    case ConnectionEnd::Aborted:
        return "aborted";
    case ConnectionEnd::MemoryLimit:
        return "unread responses occupy too much memory";
    case ConnectionEnd::ProcessExit:
        return "the process exits";
    }
    return "unknown";
}

} // namespace LaburnumChute::Relay
