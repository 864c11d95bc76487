#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Catalog/Types.h"

namespace LaburnumChute::Catalog {

/// The path of a request target, without its query.
std::string_view pathOf(std::string_view target);
/// The host name of a Host header in lower case, without the port.
std::string hostName(std::string_view hostHeader);

/// Looks up routes by host and path.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const Configuration> configuration);

    /// The route of the host with the longest prefix that matches the path; null if none matches.
    const Route *find(std::string_view hostHeader, std::string_view target) const;
    /// All routes of the host.
    std::vector<const Route *> routesOf(std::string_view hostHeader) const;
    const Configuration &configuration() const
    {
        return *configuration_;
    }

private:
    std::shared_ptr<const Configuration> configuration_;
    /// Keyed by host; each list starts with the longest prefix.
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
};

/// The service that handles the request, selected by weight. It depends only on the request id, so
/// that a request that is forwarded or routed again keeps its service.
const ServiceName &serviceFor(const Route &route, std::string_view requestId);

} // namespace LaburnumChute::Catalog
