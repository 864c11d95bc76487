#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Readers {

/// An instance of this system, with the addresses at which the viewer can reach it.
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
    /// Name of the model or service.
    std::string name;
    Common::RegionName region;
    Common::FailureDomainName failureDomain;
    std::string http;
    bool leaving = false;
    /// Rejects orders that carry an outdated fencing number.
    bool checksFences = false;
};

/// A snapshot of the platform's instance list.
struct InstanceList
{
    /// Time of the snapshot in milliseconds since the Unix epoch.
    std::uint64_t asOf = 0;
    std::vector<ListedInstance> instances;
    std::vector<ListedEndpoint> endpoints;
};

/// Parses the document described in docs/PROTOCOLS.md. Parsing is strict: accepting part of a list
/// could drop healthy endpoints or send new requests to one that is leaving. The error names the
/// first invalid member.
Common::Result<InstanceList> parseInstanceList(std::string_view body);

} // namespace LaburnumChute::Readers
