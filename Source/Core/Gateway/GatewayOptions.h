#pragma once

#include <string>

#include "Common/Common.h"
#include "Decisions/Decisions.h"
#include "Endpoints/Endpoints.h"
#include "Entry/Entry.h"
#include "Ledger/Ledger.h"
#include "Peers/Peers.h"

namespace LaburnumChute::Gateway {

/// Options of a gateway instance, read from its settings.
struct GatewayOptions
{
    Common::InstanceId instance;
    Common::RegionName region;
    Common::FailureDomainName failureDomain;
    /// Listen addresses, "ip:port"; port 0 picks a free port.
    std::string httpAddress;
    std::string operatorAddress;
    std::string gossipAddress;
    std::string channelAddress;
    /// Addresses of the platform services.
    std::string configurationService;
    std::string instanceList;
    std::string weightStore;
    std::int64_t threads = 0;
    Common::LogLevel logLevel = Common::LogLevel::Info;
    Common::LogFormat logFormat = Common::LogFormat::Human;

    Common::milliseconds instanceListInterval{0};
    Common::milliseconds loadInterval{0};
    Common::milliseconds cacheEventInterval{0};
    Common::milliseconds adviceLifetime{0};
    Common::milliseconds drainNotice{0};
    Common::milliseconds drainTimeout{0};
    Common::milliseconds cancelTimeout{0};

    /// Memory for all that is held for callers: requests, and answers of unknown size.
    std::size_t memoryBudgetBytes = 0;
    Entry::HttpServerOptions http;
    Endpoints::EndpointStreamOptions stream;
    Endpoints::ConnectionPoolOptions pool;
    Peers::ChannelOptions channel;
    Decisions::SchedulerOptions scheduler;
    Ledger::LedgerOptions ledger;
};

/// Declares the settings of the "gateway" command.
void declareGatewaySettings(Common::Settings &settings);

/// Converts the parsed settings to options; an error names the missing or invalid setting.
Common::Result<GatewayOptions> readGatewayOptions(const Common::Settings &settings);

} // namespace LaburnumChute::Gateway
