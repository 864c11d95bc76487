#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Configuration/Tables.h"
#include "Customers/Customers.h"

namespace LaburnumChute::Configuration {

/// One valid version of the configuration. Immutable: threads share it without a lock.
class Configuration
{
public:
    /// @param tables without dangling references, as ensured by parse()
    explicit Configuration(Tables tables);

    const Tables &tables() const
    {
        return tables_;
    }
    const DecisionLimits &limits() const
    {
        return tables_.limits;
    }

    // Lookups by name return null if there is no such entry.
    const Region *region(const RegionName &name) const;
    const Priority *priority(const PriorityName &name) const;
    const ResidencyRule *residencyRule(const ResidencyRuleName &name) const;
    const Customer *customer(const CustomerName &name) const;
    const Customer *customerByToken(std::string_view token) const;
    const Model *model(const ModelName &name) const;
    const Service *service(const ServiceName &name) const;

    /// Route of a model call with exactly this path.
    const Route *route(std::string_view path, const ModelName &model) const;
    /// Route of a service call with the longest matching prefix of the path below /services/<name>.
    const Route *route(const ServiceName &service, std::string_view path) const;

    /// Null if the regions are not connected, so that no request may be forwarded between them.
    const Link *link(const RegionName &left, const RegionName &right) const;
    /// Number of runners of a model or service that the placement specifies for a region.
    int runners(const ModelName &model, const RegionName &region) const;
    int runners(const ServiceName &service, const RegionName &region) const;
    /// Whether a call on this route may run twice; the path is the one below /services/<name>.
    bool isRepeatable(const Route &route, std::string_view method, std::string_view path) const;

private:
    Tables tables_;
    Customers::KeyTable tokens_;
    std::vector<const Customer *> tokenHolders_;
    std::map<ModelName, std::map<std::string, const Route *, std::less<>>> modelRoutes_;
    /// Longest path first.
    std::map<ServiceName, std::vector<const Route *>> serviceRoutes_;
};

} // namespace LaburnumChute::Configuration
