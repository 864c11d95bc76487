#pragma once

#include <string>

#include "Catalog/Catalog.h"
#include "Common/Common.h"
#include "Dispatch/Dispatch.h"
#include "Fleet/Fleet.h"
#include "Relay/EventLog.h"

namespace LaburnumChute::Relay {

/// All that a relaying instance is told by flags and environment; the rest stands in the settings
/// file of the platform.
struct RelayOptions
{
    /// Path of the settings file.
    std::string settingsPath;
    /// Port of the metrics and the state dump; 0 for none.
    std::uint16_t metricsPort = 0;
    EventLog::Options log;
    Dispatch::DispatchOptions dispatch;
    Fleet::RosterOptions roster;
};

void declareRelaySettings(Common::Settings &settings);
Common::Result<RelayOptions> readRelayOptions(const Common::Settings &settings);

} // namespace LaburnumChute::Relay
