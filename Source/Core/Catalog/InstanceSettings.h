#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Catalog {

/// Times and amounts that this instance has promised to keep to.
struct Bounds
{
    /// From the notice that an endpoint leaves to the last request sent to it.
    Common::milliseconds endpointDrain{3000};
    /// From the publication of a configuration to its effect.
    Common::milliseconds configuration{3000};
    /// From the notice of an evacuation to the last request sent there.
    Common::milliseconds evacuation{5000};
    /// From the request to stop until the process is ended by force.
    Common::milliseconds shutdown{8000};
    /// Requests sent once more, as a share of the requests of a service in the window, plus a fixed
    /// number; of all instances together.
    double retryRatio = 0.2;
    Common::milliseconds retryWindow{10000};
    double retrySlack = 10;
    /// A cold endpoint may get this many times its rate in a second, plus a fixed number.
    double coldOvershoot = 1;
    double coldSlack = 0;
    /// Longest lifetime of the directory's answers that callers honour.
    Common::milliseconds directoryLifetime{5000};
};

/// What the platform tells one instance of itself.
struct InstanceSettings
{
    Common::InstanceId instance;
    Common::RegionName region;
    Common::FailureDomainName failureDomain;
    /// Of every failure domain its region.
    std::map<Common::FailureDomainName, Common::RegionName> regions;
    std::string ip;
    /// "ip:port" each.
    std::string callerAddress;
    std::string readinessAddress;
    std::string directoryAddress;
    /// Ports for traffic between instances, the same on all of them.
    std::uint16_t gossipPort = 0;
    std::uint16_t peerPort = 0;
    /// IPs of instances to begin with; they may be stale or down.
    std::vector<std::string> seeds;
    std::string storeAddress;
    std::uint64_t memoryBytes = 256u << 20;
    int descriptors = 1024;
    Bounds bounds;
};

} // namespace LaburnumChute::Catalog
