#include <algorithm>

#include "Fleet/Roster.h"

namespace LaburnumChute::Fleet {

namespace {

/// Contacts that are remembered per region, for the time after a partition.
constexpr std::size_t MaxContacts = 64;

} // namespace

// Messages from others.

Roster::Entry &Roster::entryOf(const InstanceRecord &record)
{
    const auto [found, isNew] = entries_.try_emplace(record.id);
    auto &entry = found->second;
    if (isNew) {
        entry.speakerWeight = speakerWeight(record);
    }
    return entry;
}

void Roster::setRecord(Entry &entry, const InstanceRecord &record)
{
    const bool unknown = entry.record.id.empty();
    if (unknown || entry.record.incarnation != record.incarnation) {
        byShortId_.erase(shortId(entry.record));
        byShortId_[shortId(record)] = &entry;
    }
    entry.record = record;
}

void Roster::mergeContact(OtherRegion &region, const InstanceRecord &record, Time heard)
{
    if (seeds_.count(record.gossipAddress) > 0) {
        seedRegions_[record.gossipAddress] = record.region;
    }
    auto &contact = region.contacts[record.id];
    const bool unknown = contact.record.id.empty();
    const bool sameIncarnation = contact.record.incarnation == record.incarnation;
    // An older record may arrive later on another way.
    const bool newer =
        sameIncarnation ? record.sequence >= contact.record.sequence : heard > contact.heard;
    if (unknown || newer) {
        contact.record = record;
    }
    contact.heard = std::max(contact.heard, heard);
    contact.heardDirectly = contact.heard;
    contact.everHeardDirectly = true;
    if (region.contacts.size() > MaxContacts) {
        const auto oldest = std::min_element(region.contacts.begin(), region.contacts.end(),
                                             [](const auto &one, const auto &other) {
                                                 return one.second.heard < other.second.heard;
                                             });
        region.contacts.erase(oldest);
    }
}

bool Roster::mergeRecord(const InstanceRecord &record, Time now)
{
    if (record.id == self_.id) {
        return false;
    }
    const auto silentSince = now - options_.aliveTimeout - milliseconds(1);
    if (record.region != self_.region) {
        auto &region = otherRegions_[record.region];
        const bool unknown = region.contacts.count(record.id) == 0;
        if (unknown) {
            mergeContact(region, record, silentSince);
        }
        return unknown;
    }
    auto &entry = entryOf(record);
    const bool unknown = entry.record.id.empty();
    const bool sameIncarnation = entry.record.incarnation == record.incarnation;
    // While the known incarnation is alive, a different one is accepted only from the instance
    // itself.
    const bool newer =
        sameIncarnation ? record.sequence > entry.record.sequence : !alive(entry, now);
    if (unknown) {
        // Known only from a peer and therefore not alive yet; it is contacted like a silent
        // instance.
        entry.heard = silentSince;
    }
    if (unknown || newer) {
        setRecord(entry, record);
    }
    return unknown;
}

std::vector<std::uint32_t> Roster::updateAges(const std::vector<HeardInstance> &heard, Time now)
{
    std::vector<std::uint32_t> unknown;
    const auto own = shortId(self_);
    for (const auto &each : heard) {
        const auto found = byShortId_.find(each.instance);
        if (found != byShortId_.end()) {
            auto &entry = *found->second;
            entry.heard = std::max(entry.heard, now - milliseconds(each.ageMs));
        } else if (each.instance != own) {
            unknown.push_back(each.instance);
        }
    }
    return unknown;
}

Heartbeat Roster::briefHeartbeat() const
{
    Heartbeat heartbeat;
    heartbeat.self = self_;
    return heartbeat;
}

Send Roster::requestRecords(const std::string &address, const std::vector<std::uint32_t> &unknown)
{
    auto heartbeat = briefHeartbeat();
    std::sample(unknown.begin(), unknown.end(), std::back_inserter(heartbeat.wantedRecords),
                options_.recordsPerMessage, random_);
    return {address, std::make_shared<const Message>(std::move(heartbeat))};
}

Send Roster::answerRecords(const std::string &address,
                           const std::vector<std::uint32_t> &wanted) const
{
    auto heartbeat = briefHeartbeat();
    for (const auto id : wanted) {
        const auto found = byShortId_.find(id);
        if (found != byShortId_.end()
            && heartbeat.instanceRecords.size() < options_.recordsPerMessage) {
            heartbeat.instanceRecords.push_back(found->second->record);
        }
    }
    return {address, std::make_shared<const Message>(std::move(heartbeat))};
}

Sends Roster::receiveFromOwnRegion(const Heartbeat &heartbeat, Time now)
{
    const auto &sender = heartbeat.self;
    auto &entry = entryOf(sender);
    const bool sameIncarnation = entry.record.incarnation == sender.incarnation;
    const bool isNew = !entry.everHeardDirectly || !sameIncarnation;
    if (!sameIncarnation || sender.sequence >= entry.record.sequence) {
        setRecord(entry, sender);
    }
    entry.heard = now;
    entry.heardDirectly = now;
    entry.everHeardDirectly = true;
    Sends sends;
    // A sender that knows many others asks them for the records that it lacks.
    if (isNew && heartbeat.heard.size() < options_.fanout) {
        sends.push_back({sender.gossipAddress, makeResponse(sender.region, now)});
    }
    if (!heartbeat.wantedRecords.empty()) {
        sends.push_back(answerRecords(sender.gossipAddress, heartbeat.wantedRecords));
    }
    const auto unknown = updateAges(heartbeat.heard, now);
    if (!unknown.empty()) {
        sends.push_back(requestRecords(sender.gossipAddress, unknown));
    }
    return sends;
}

Sends Roster::receiveFromOtherRegion(const Heartbeat &heartbeat, Time now)
{
    const auto &sender = heartbeat.self;
    auto &region = otherRegions_[sender.region];
    const auto known = region.contacts.find(sender.id);
    const bool isNew = known == region.contacts.end()
                       || known->second.record.incarnation != sender.incarnation
                       || !alive(known->second, now);
    mergeContact(region, sender, now);
    return isNew ? Sends{{sender.gossipAddress, makeResponse(sender.region, now)}} : Sends();
}

Sends Roster::receive(const Heartbeat &heartbeat, Time now)
{
    const auto &sender = heartbeat.self;
    if (sender.id == self_.id) {
        return {};
    }
    population_.merge(heartbeat.populations, now);
    auto sends = sender.region == self_.region ? receiveFromOwnRegion(heartbeat, now)
                                               : receiveFromOtherRegion(heartbeat, now);
    if (heartbeat.instanceRecords.empty()) {
        return sends;
    }
    // In a large region, an instance that knows some others hears of the remaining ones from them.
    const bool greets = chooseAlive(options_.fanout, now).size() < options_.fanout;
    const auto greeting = std::make_shared<const Message>(briefHeartbeat());
    for (const auto &record : heartbeat.instanceRecords) {
        if (mergeRecord(record, now) && greets && record.region == self_.region) {
            sends.push_back({record.gossipAddress, greeting});
        }
    }
    return sends;
}

milliseconds Roster::digestInterval() const
{
    return options_.interval * options_.digestRoundInterval;
}

/// Several speakers make digests at about the same time; one of them is relayed per interval.
Sends Roster::relay(const RegionDigest &digest, Duration age, Time now)
{
    auto &region = otherRegions_[digest.speaker.region];
    const auto madeAt = now - age;
    if (madeAt - region.relayedDigestMadeAt < digestInterval() / 2) {
        return {};
    }
    region.relayedDigestMadeAt = madeAt;
    auto copy = digest;
    copy.ageMs = static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(age).count());
    const auto message = std::make_shared<const Message>(std::move(copy));
    Sends sends;
    for (const auto *entry : chooseReceivers(options_.relayFanout, now)) {
        sends.push_back({entry->record.gossipAddress, message});
    }
    return sends;
}

DigestOutcome Roster::receive(const RegionDigest &digest, Time now)
{
    const auto &speaker = digest.speaker;
    if (speaker.region == self_.region) {
        return {};
    }
    auto &region = otherRegions_[speaker.region];
    auto &last = region.digests[speaker.id];
    const bool sameIncarnation = last.incarnation == speaker.incarnation;
    if (sameIncarnation && speaker.sequence <= last.sequence) {
        return {};
    }
    last = {speaker.incarnation, speaker.sequence};
    const Duration age = milliseconds(digest.ageMs);
    const auto madeAt = now - age;
    mergeContact(region, speaker, madeAt);
    for (const auto &contact : digest.contacts) {
        if (contact.region == speaker.region) {
            mergeContact(region, contact, madeAt);
        }
    }
    population_.seen(speaker.region, digest.aliveInstances, madeAt);
    population_.merge(digest.populations, madeAt);
    if (madeAt >= region.digestMadeAt) {
        region.digestMadeAt = madeAt;
        region.aliveInstances = digest.aliveInstances;
    }
    return {age, relay(digest, age, now)};
}

} // namespace LaburnumChute::Fleet
