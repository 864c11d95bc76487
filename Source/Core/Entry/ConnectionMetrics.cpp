#include "Entry/ConnectionMetrics.h"

namespace LaburnumChute::Entry {

namespace {

Common::Counter &counterOf(Common::MetricsRegistry &registry, const std::string &server,
                           ConnectionEnd end)
{
    return registry.counter("laburnumchute_connections_closed_total",
                            "Closed connections by why they ended",
                            {{"server", server}, {"end", toString(end)}});
}

} // namespace

std::string toString(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::Ordinary:
        return "ordinary";
    case ConnectionEnd::CallerClosed:
        return "caller closed";
    case ConnectionEnd::CallerStalled:
        return "caller stalled";
    case ConnectionEnd::Incomplete:
        return "incomplete response";
    }
    return "unknown";
}

ConnectionMetrics::ConnectionMetrics(Common::MetricsRegistry &registry, const std::string &server)
    : ordinary_(counterOf(registry, server, ConnectionEnd::Ordinary))
    , callerClosed_(counterOf(registry, server, ConnectionEnd::CallerClosed))
    , callerStalled_(counterOf(registry, server, ConnectionEnd::CallerStalled))
    , incomplete_(counterOf(registry, server, ConnectionEnd::Incomplete))
    , undeliveredBytes_(registry.counter("laburnumchute_undelivered_bytes_total",
                                         "Response bytes that callers had not received when their "
                                         "connections were closed",
                                         {{"server", server}}))
{
}

void ConnectionMetrics::closed(ConnectionEnd end, std::size_t undeliveredBytes)
{
    undeliveredBytes_.add(undeliveredBytes);
    switch (end) {
    case ConnectionEnd::Ordinary:
        ordinary_.add();
        return;
    case ConnectionEnd::CallerClosed:
        callerClosed_.add();
        return;
    case ConnectionEnd::CallerStalled:
        callerStalled_.add();
        return;
    case ConnectionEnd::Incomplete:
        incomplete_.add();
        return;
    }
}

} // namespace LaburnumChute::Entry
