#include "Catalog/Catalog.h"

namespace LaburnumChute::Catalog {

Catalog::Catalog(Decoder decoder)
    : decoder_(std::move(decoder))
{
}

CatalogChanges Catalog::apply(const ItemChanges &changes, Duration grace, Time now)
{
    CatalogChanges changed;
    for (const auto &item : items_.apply(changes)) {
        applyRecord(item, decoder_(item), grace, now, changed);
    }
    return changed;
}

void Catalog::applyRecord(const Item &item, Record record, Duration grace, Time now,
                          CatalogChanges &changed)
{
    if (auto *undecodable = std::get_if<Undecodable>(&record)) {
        changed.undecodable.emplace_back(item.key, std::move(undecodable->reason));
        if (undecodable->endpoint) {
            changed.endpoints.push_back(*undecodable->endpoint);
            registry_.remove(*undecodable->endpoint, Duration(0), now);
        }
        return;
    }
    if (const auto *endpoint = std::get_if<EndpointRecord>(&record)) {
        changed.endpoints.push_back(endpoint->id);
        if (item.value) {
            registry_.update(*endpoint, now);
        } else {
            registry_.remove(endpoint->id, grace, now);
        }
        return;
    }
    if (const auto *evacuation = std::get_if<Evacuation>(&record)) {
        changed.evacuations = true;
        if (item.value) {
            evacuated_.insert(evacuation->failureDomain);
        } else {
            evacuated_.erase(evacuation->failureDomain);
        }
        return;
    }
    auto *configuration = std::get_if<Configuration>(&record);
    // A lower version under a higher revision would be a rollback by the operator. Versions only
    // increase, so it is ignored.
    if (configuration != nullptr && item.value && configuration->version > version()) {
        changed.configuration = true;
        routes_ = std::make_shared<const RouteTable>(
            std::make_shared<const Configuration>(std::move(*configuration)));
    }
}

std::vector<EndpointId> Catalog::expire(Time now)
{
    return registry_.expire(now);
}

} // namespace LaburnumChute::Catalog
