#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Catalog {

/// Limits that this instance is required to meet.
struct Bounds
{
    /// From the notice that an endpoint is draining to the last request sent to it.
    Common::milliseconds endpointDrain{3000};
    /// From the publication of a configuration until it takes effect.
    Common::milliseconds configuration{3000};
    /// From the notice of an evacuation to the last request sent to the failure domain.
    Common::milliseconds evacuation{5000};
    /// From the request to shut down until the process is killed.
    Common::milliseconds shutdown{8000};
    /// Retry budget of all instances together: a fraction of the service's requests in the window,
    /// plus a fixed number.
    double retryRatio = 0.2;
    Common::milliseconds retryWindow{10000};
    double retrySlack = 10;
    /// Requests that a cold endpoint may get in a second: this multiple of its rate, plus a fixed
    /// number.
    double coldOvershoot = 1;
    double coldSlack = 0;
    /// Window in which customers' usage limits are enforced. A limit allows its burst in each
    /// window, so that a short window raises the rate that is admitted in the long run.
    Common::milliseconds usageWindow{10000};
    /// Amount by which all instances together may exceed a customer's usage limit in any window.
    double usageSlack = 0;
    /// Set if API keys must not be accepted once a removal of keys could have gone unnoticed for
    /// this long.
    std::optional<Common::milliseconds> keyRemoval;
    /// Longest lifetime of a directory response that callers honor.
    Common::milliseconds directoryLifetime{5000};
};

/// Settings of one instance, as provided by the platform.
struct InstanceSettings
{
    Common::InstanceId instance;
    Common::RegionName region;
    Common::FailureDomainName failureDomain;
    /// The region of each failure domain.
    std::map<Common::FailureDomainName, Common::RegionName> regions;
    std::string ip;
    /// Addresses in the form "ip:port".
    std::string callerAddress;
    std::string readinessAddress;
    std::string directoryAddress;
    /// Ports for traffic between instances, the same on all of them.
    std::uint16_t gossipPort = 0;
    std::uint16_t peerPort = 0;
    /// IP addresses of the instances to contact first; they may be outdated or unreachable.
    std::vector<std::string> seeds;
    std::string storeAddress;
    std::uint64_t memoryBytes = 256u << 20;
    int descriptors = 1024;
    /// Capacity of the instance's network link.
    double linkBytesPerSecond = 12.5e6;
    Bounds bounds;
};

} // namespace LaburnumChute::Catalog
