#include "Relay/DeliveryLog.h"

#include "Relay/SteadyNow.h"

namespace LaburnumChute::Relay {

namespace {

/// Faster deliveries are counted in the histogram only.
constexpr Common::milliseconds SlowDelivery{100};
constexpr std::array Ends = {ConnectionEnd::Remote,        ConnectionEnd::Graceful,
                             ConnectionEnd::LingerTimeout, ConnectionEnd::WriteTimeout,
                             ConnectionEnd::Aborted,       ConnectionEnd::MemoryLimit,
                             ConnectionEnd::ProcessExit};

} // namespace

DeliveryLog::DeliveryLog(Common::MetricsRegistry &registry, EventLog &log)
    : log_(log)
    , deliveryTime_(registry.histogram(
          "laburnumchute_relay_delivery_seconds",
          "From the end of a response until its last byte was passed to the kernel"))
    , undelivered_(registry.counter("laburnumchute_relay_undelivered_bytes_total",
                                    "Bytes of responses that were discarded with a connection"))
{
    for (const auto end : Ends) {
        ends_.at(static_cast<std::size_t>(end)) =
            &registry.counter("laburnumchute_relay_connections_ended_total",
                              "Connections of callers and peers that were closed",
                              {{"reason", std::string(toString(end))}});
    }
}

ConnectionObserver DeliveryLog::observer(const std::string &remote)
{
    return {[this, remote](const DeliveryReport &report) { delivered(remote, report); },
            [this, remote](const ConnectionReport &report) { ended(remote, report); }};
}

void DeliveryLog::delivered(const std::string &remote, const DeliveryReport &report)
{
    deliveryTime_.record(report.took);
    if (report.request.empty() || (report.took < SlowDelivery && !logsAll_)) {
        return;
    }
    EventLine line("delivered");
    line.add("request", report.request).add("remote", remote).add("took", report.took);
    log_.write(line, steadyNow());
}

void DeliveryLog::ended(const std::string &remote, const ConnectionReport &report)
{
    ends_.at(static_cast<std::size_t>(report.end))->add();
    undelivered_.add(report.unsentBytes);
    // The end of a request whose caller has left is logged with the request.
    const bool left = report.end == ConnectionEnd::Remote && report.responding;
    if (!report.incomplete() || left) {
        return;
    }
    EventLine line("connection-end");
    line.add("request", report.request)
        .add("remote", remote)
        .add("reason", toString(report.end))
        .add("responding", report.responding)
        .add("unsent_bytes", static_cast<std::int64_t>(report.unsentBytes))
        .add("unacknowledged_bytes", static_cast<std::int64_t>(report.unacknowledgedBytes));
    log_.write(line, steadyNow());
}

} // namespace LaburnumChute::Relay
