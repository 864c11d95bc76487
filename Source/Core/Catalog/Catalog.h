#pragma once

// Public header of the library Catalog: the instance's view of routes, services, endpoints and
// evacuations, built from the versioned items of the platform's store. Performs no I/O.

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Catalog/EndpointRegistry.h"
#include "Catalog/InstanceSettings.h"
#include "Catalog/ItemStore.h"
#include "Catalog/RouteTable.h"
#include "Catalog/Types.h"

namespace LaburnumChute::Catalog {

/// The parts of the catalog that an update has changed.
struct CatalogChanges
{
    bool configuration = false;
    /// Endpoints whose record was written or removed.
    std::vector<EndpointId> endpoints;
    bool evacuations = false;
    /// Key of each item that could not be decoded, and the reason.
    std::vector<std::pair<std::string, std::string>> undecodable;
};

/// Decodes items of the store and keeps the current routes, endpoints and evacuations.
class Catalog
{
public:
    /// Decodes one item; a deleted item is passed without a value.
    using Decoder = std::function<Record(const Item &)>;

    explicit Catalog(Decoder decoder);

    /// @param grace how long an endpoint stays in use after the removal of its record
    CatalogChanges apply(const ItemChanges &changes, Duration grace, Time now);
    /// Takes endpoints out of service whose record has been missing for longer than its grace;
    /// returns those that changed.
    std::vector<EndpointId> expire(Time now);

    /// Null until the first configuration is known.
    std::shared_ptr<const RouteTable> routes() const
    {
        return routes_;
    }
    const std::set<FailureDomainName> &evacuated() const
    {
        return evacuated_;
    }
    std::vector<ListedEndpoint> endpoints() const
    {
        return registry_.list();
    }
    /// Null if the endpoint is unknown.
    const ListedEndpoint *endpoint(const EndpointId &id) const
    {
        return registry_.find(id);
    }
    const ItemStore &items() const
    {
        return items_;
    }
    Common::ConfigurationNumber version() const
    {
        return routes_ ? routes_->configuration().version : 0;
    }

private:
    void applyRecord(const Item &item, Record record, Duration grace, Time now,
                     CatalogChanges &changed);

    Decoder decoder_;
    ItemStore items_;
    EndpointRegistry registry_;
    std::set<FailureDomainName> evacuated_;
    std::shared_ptr<const RouteTable> routes_;
};

} // namespace LaburnumChute::Catalog
