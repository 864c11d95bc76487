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
    /// For each endpoint entry that was left out, the first invalid member and what was expected.
    std::vector<std::string> invalidEndpoints;
};

/// Parses the document described in docs/PROTOCOLS.md. The error names the first invalid member.
///
/// Entries of instances come from the platform itself, so one invalid entry makes the list invalid.
/// Endpoints are entered by others as well: an invalid entry names no endpoint to use, and is left
/// out so that the instances can follow the changes of the others.
Common::Result<InstanceList> parseInstanceList(std::string_view body);

} // namespace LaburnumChute::Readers
