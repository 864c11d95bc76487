#pragma once

#include <string>

#include "Catalog/Catalog.h"
#include "Common/Common.h"
#include "Dispatch/Dispatch.h"
#include "Fleet/Fleet.h"
#include "Relay/EventLog.h"

namespace LaburnumChute::Relay {

/// Options that a relaying instance gets from flags and the environment. The others are in the
/// platform's settings file.
struct RelayOptions
{
    /// Path of the settings file.
    std::string settingsPath;
    /// Port for metrics and the state dump; 0 disables it.
    std::uint16_t metricsPort = 0;
    /// IP address at which other instances reach this one; empty if it is the one of the settings
    /// file.
    std::string advertisedIp;
    EventLog::Options log;
    Dispatch::DispatchOptions dispatch;
    Fleet::RosterOptions roster;
};

void declareRelaySettings(Common::Settings &settings);
Common::Result<RelayOptions> readRelayOptions(const Common::Settings &settings);

} // namespace LaburnumChute::Relay
