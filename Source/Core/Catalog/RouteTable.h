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
/// A Host header's name in lower case, without its port.
std::string hostName(std::string_view hostHeader);

/// Finds routes by host and path.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const Configuration> configuration);

    /// Of the host's routes the one with the longest prefix that begins the path; null when none
    /// does.
    const Route *find(std::string_view hostHeader, std::string_view target) const;
    /// All routes of the host.
    std::vector<const Route *> routesOf(std::string_view hostHeader) const;
    const Configuration &configuration() const
    {
        return *configuration_;
    }

private:
    std::shared_ptr<const Configuration> configuration_;
    /// By host; the longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
};

/// The service that takes the request. Every instance chooses the same one for the same request id,
/// so that a request that is forwarded, or looked at twice, does not change its service.
const ServiceName &serviceFor(const Route &route, std::string_view requestId);

} // namespace LaburnumChute::Catalog
