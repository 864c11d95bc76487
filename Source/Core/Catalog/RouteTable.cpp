#include "Catalog/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace LaburnumChute::Catalog {

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string hostName(std::string_view hostHeader)
{
    std::string name(hostHeader.substr(0, hostHeader.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return name;
}

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration))
{
    for (const auto &route : configuration_->routes) {
        byHost_[hostName(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : byHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *one, const Route *other) {
            return one->pathPrefix.size() > other->pathPrefix.size();
        });
    }
}

const Route *RouteTable::find(std::string_view hostHeader, std::string_view target) const
{
    const auto host = byHost_.find(hostName(hostHeader));
    if (host == byHost_.end()) {
        return nullptr;
    }
    const auto path = pathOf(target);
    const auto &routes = host->second;
    const auto found = std::find_if(routes.begin(), routes.end(), [&](const Route *route) {
        return path.substr(0, route->pathPrefix.size()) == route->pathPrefix;
    });
    return found == routes.end() ? nullptr : *found;
}

std::vector<const Route *> RouteTable::routesOf(std::string_view hostHeader) const
{
    const auto host = byHost_.find(hostName(hostHeader));
    return host == byHost_.end() ? std::vector<const Route *>() : host->second;
}

const ServiceName &serviceFor(const Route &route, std::string_view requestId)
{
    std::uint64_t total = 0;
    for (const auto &candidate : route.services) {
        total += candidate.weight;
    }
    if (total == 0) {
        return route.services.front().service;
    }
    auto point = Common::stableHash(requestId) % total;
    for (const auto &candidate : route.services) {
        if (point < candidate.weight) {
            return candidate.service;
        }
        point -= candidate.weight;
    }
    return route.services.back().service;
}

} // namespace LaburnumChute::Catalog
