#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Readers {

/// An instance of the system's own, with the addresses at which the viewer reaches it.
struct ListedInstance
{
    Common::InstanceId id;
    Common::RegionName region;
    Common::FailureDomainName failureDomain;
    std::string http;
    std::string gossip;
    std::string channel;
    bool leaving = false;
};

enum class EndpointKind { Engine, Service };

struct ListedEndpoint
{
    Common::EndpointId id;
    EndpointKind kind = EndpointKind::Engine;
    /// The model or the service.
    std::string name;
    Common::RegionName region;
    Common::FailureDomainName failureDomain;
    std::string http;
    bool leaving = false;
    /// Refuses orders with an old fencing number.
    bool checksFences = false;
};

/// The platform's list as of some moment before now.
struct InstanceList
{
    /// Milliseconds since 1970.
    std::uint64_t asOf = 0;
    std::vector<ListedInstance> instances;
    std::vector<ListedEndpoint> endpoints;
};

/// Reads the document of docs/PROTOCOLS.md, strictly: a list that is understood in part could drop
/// endpoints that are well, or send new work to one that leaves. The error names the first fault.
Common::Result<InstanceList> parseInstanceList(std::string_view body);

} // namespace LaburnumChute::Readers
