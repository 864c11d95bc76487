#include "Catalog/EndpointRegistry.h"

#include <algorithm>

namespace LaburnumChute::Catalog {

Duration remainingGrace(bool storeSettled, std::optional<Duration> catalogAge, Duration drainBound)
{
    if (storeSettled) {
        return Duration(0);
    }
    if (!catalogAge || *catalogAge >= drainBound) {
        return MissingGrace;
    }
    return std::clamp<Duration>(drainBound - DrainMargin - *catalogAge, Duration(0), MissingGrace);
}

void EndpointRegistry::update(const EndpointRecord &record, Time now)
{
    auto &entry = entries_[record.id];
    auto &listed = entry.listed;
    const bool known = !listed.record.id.empty();
    const bool sameStart = known && listed.record.startedAt == record.startedAt;
    if (known && record.startedAt < listed.record.startedAt) {
        return;
    }
    if (sameStart && record.sequence < listed.record.sequence) {
        // The record exists again, even though this copy of it is outdated.
        entry.missingSince.reset();
        missing_.erase(record.id);
        listed.missing = false;
        return;
    }
    const bool wasDraining = sameStart && listed.record.draining;
    if (!sameStart) {
        entry = Entry();
    }
    listed.record = record;
    listed.record.draining = record.draining || wasDraining;
    listed.leaving = listed.record.draining;
    listed.missing = false;
    listed.coldUntil = now + record.coldLeft;
    if (record.endsIn) {
        listed.endsAt = now + *record.endsIn;
    }
    entry.missingSince.reset();
    missing_.erase(record.id);
    entry.leftAt = listed.leaving ? std::optional(entry.leftAt.value_or(now)) : std::nullopt;
}

void EndpointRegistry::remove(const EndpointId &id, Duration grace, Time now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.missingSince) {
        return;
    }
    auto &entry = found->second;
    entry.missingSince = now;
    missing_.insert(id);
    entry.grace = grace;
    entry.listed.missing = true;
    if (grace <= Duration(0) || entry.listed.leaving) {
        entry.listed.leaving = true;
        entry.leftAt = entry.leftAt.value_or(now);
    }
}

std::vector<EndpointId> EndpointRegistry::expire(Time now)
{
    std::vector<EndpointId> changed;
    std::vector<EndpointId> dropped;
    for (const auto &id : missing_) {
        auto &entry = entries_.at(id);
        if (!entry.listed.leaving && now - *entry.missingSince > entry.grace) {
            entry.listed.leaving = true;
            entry.leftAt = now;
            changed.push_back(id);
        }
        if (entry.leftAt && now - *entry.leftAt > LeftRetention) {
            dropped.push_back(id);
        }
    }
    for (const auto &id : dropped) {
        entries_.erase(id);
        missing_.erase(id);
        changed.push_back(id);
    }
    return changed;
}

const ListedEndpoint *EndpointRegistry::find(const EndpointId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.listed;
}

std::vector<ListedEndpoint> EndpointRegistry::list() const
{
    std::vector<ListedEndpoint> result;
    result.reserve(entries_.size());
    for (const auto &[id, entry] : entries_) {
        result.push_back(entry.listed);
    }
    return result;
}

} // namespace LaburnumChute::Catalog
