#pragma once

#include <cstddef>
#include <string>

#include "Common/Common.h"

namespace LaburnumChute::Entry {

/// Why a connection was closed.
enum class ConnectionEnd {
    /// After a response, after the idle time, or at the end of the process.
    Ordinary,
    CallerClosed,
    /// The caller took no byte of a response for the write timeout.
    CallerStalled,
    /// The response could not be completed.
    Incomplete
};

std::string toString(ConnectionEnd end);

/// Metrics of an HTTP server's connections.
class ConnectionMetrics
{
public:
    ConnectionMetrics(Common::MetricsRegistry &registry, const std::string &server);

    void closed(ConnectionEnd end, std::size_t undeliveredBytes);

private:
    Common::Counter &ordinary_;
    Common::Counter &callerClosed_;
    Common::Counter &callerStalled_;
    Common::Counter &incomplete_;
    Common::Counter &undeliveredBytes_;
};

} // namespace LaburnumChute::Entry
