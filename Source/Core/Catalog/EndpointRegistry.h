#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Catalog/Types.h"

namespace LaburnumChute::Catalog {

/// An endpoint and its state in the registry.
struct ListedEndpoint
{
    EndpointRecord record;
    /// It has announced that it is draining, or its record has been missing for longer than the
    /// grace.
    bool leaving = false;
    /// Its record is missing, possibly only because it could not be renewed.
    bool missing = false;
    /// End of the warm-up time, in which the endpoint accepts only few requests.
    Time coldUntil{};
    /// Set if the endpoint will be terminated at a known time, regardless of running requests.
    std::optional<Time> endsAt;
};

/// How long an endpoint is used after its record has expired. During a store outage, records expire
/// because they cannot be renewed, and reappear soon after the store's recovery; an endpoint whose
/// record is still missing then no longer exists. Without this grace, all endpoints
/// would be taken out of service when the store recovers.
inline constexpr milliseconds MissingGrace{1900};
/// Requests to an endpoint that has left stop this long before the drain bound, so that requests
/// already assigned to it arrive within the bound.
inline constexpr milliseconds DrainMargin{500};
/// The store counts as settled after this long without a call that failed or got no response.
/// Endpoints renew their records several times within it.
inline constexpr milliseconds StoreSettled{5000};

/// How long an endpoint stays in use after the removal of its record was observed.
///
/// The record may have been removed right after the catalog was last known to be complete, so the
/// age of the catalog is subtracted from the grace. An age at or above the drain bound indicates a
/// store outage, in which records expire unrenewed; the full grace applies then.
/// @param catalogAge time since the catalog was known to match the store
/// @param drainBound time after its removal by which an endpoint must receive no more requests
Duration remainingGrace(bool storeSettled, std::optional<Duration> catalogAge, Duration drainBound);

/// Entries of endpoints that are no longer in service are kept this long, so that an outdated copy
/// of a record does not bring them back.
inline constexpr milliseconds LeftRetention{60000};

/// The known endpoints, built from records that may arrive late, repeatedly or out of order.
///
/// Between two starts of an endpoint, records with a lower sequence are ignored and draining is
/// never revoked; a later start under the same id replaces the earlier one. Otherwise an outdated
/// copy of a record would put a draining endpoint back into service.
class EndpointRegistry
{
public:
    void update(const EndpointRecord &record, Time now);
    /// Processes the removal of the endpoint's record.
    /// @param grace how long the endpoint stays in use
    void remove(const EndpointId &id, Duration grace, Time now);
    /// Takes endpoints out of service that have been missing for longer than their grace, and drops
    /// old entries; returns those that changed. Takes time only for missing endpoints.
    std::vector<EndpointId> expire(Time now);

    /// All endpoints that may still be in use or have running requests.
    std::vector<ListedEndpoint> list() const;
    /// Null if the endpoint is unknown.
    const ListedEndpoint *find(const EndpointId &id) const;
    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct Entry
    {
        ListedEndpoint listed;
        std::optional<Time> missingSince;
        Duration grace{0};
        std::optional<Time> leftAt;
    };

    std::map<EndpointId, Entry> entries_;
    /// Endpoints whose record is missing.
    std::set<EndpointId> missing_;
};

} // namespace LaburnumChute::Catalog
