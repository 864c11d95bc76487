#pragma once

#include <array>

#include "Common/Common.h"
#include "Relay/ConnectionReports.h"
#include "Relay/EventLog.h"

namespace LaburnumChute::Relay {

/// Logs and counts how responses reach callers and peers, and why their connections end.
class DeliveryLog
{
public:
    DeliveryLog(Common::MetricsRegistry &registry, EventLog &log);

    /// Callbacks for the connections of one server. Must not outlive this object.
    /// @param remote "caller" or "peer"
    ConnectionObserver observer(const std::string &remote);
    /// Logs every delivery from now on, not only slow ones.
    void logAllDeliveries()
    {
        logsAll_ = true;
    }

private:
    void delivered(const std::string &remote, const DeliveryReport &report);
    void ended(const std::string &remote, const ConnectionReport &report);

    EventLog &log_;
    Common::DurationHistogram &deliveryTime_;
    Common::Counter &undelivered_;
    std::array<Common::Counter *, 7> ends_{};
    bool logsAll_ = false;
};

} // namespace LaburnumChute::Relay
