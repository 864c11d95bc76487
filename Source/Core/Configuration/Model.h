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
    /// The tables must be free of dangling references; parse() makes sure of it.
    explicit Configuration(Tables tables);

    const Tables &tables() const
    {
        return tables_;
    }
    const DecisionLimits &limits() const
    {
        return tables_.limits;
    }

    // Lookups by name give nullptr when there is no such thing.
    const Region *region(const RegionName &name) const;
    const Priority *priority(const PriorityName &name) const;
    const ResidencyRule *residencyRule(const ResidencyRuleName &name) const;
    const Customer *customer(const CustomerName &name) const;
    const Customer *customerByToken(std::string_view token) const;
    const Model *model(const ModelName &name) const;
    const Service *service(const ServiceName &name) const;

    /// The route of a model call: the path must be the route's own.
    const Route *route(std::string_view path, const ModelName &model) const;
    /// The route of a service call, by the longest prefix of the path below /services/<name>.
    const Route *route(const ServiceName &service, std::string_view path) const;

    /// nullptr when nothing connects the two regions: no request may be forwarded between them.
    const Link *link(const RegionName &left, const RegionName &right) const;
    /// Runners of a model, or of a service, that the placement wants in a region.
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
