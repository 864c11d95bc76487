#include "Fleet/Roster.h"

#include <algorithm>

namespace LaburnumChute::Fleet {

namespace {

/// Maximum entries per heartbeat: with 16 receivers per round, each instance of a large
/// region receives the age of every other one several times per second.
constexpr std::size_t MaxHeard = 48;
/// A gap between two ticks of more than this many intervals means that the process was suspended.
constexpr int SuspensionIntervals = 3;
constexpr std::int64_t MaxAgeMs = 65535;

std::uint16_t toAgeMs(Duration age)
{
    const auto count = std::chrono::duration_cast<milliseconds>(age).count();
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(count, 0, MaxAgeMs));
}

std::optional<std::uint16_t> toAgeMs(std::optional<Duration> age)
{
    return age ? std::optional(toAgeMs(*age)) : std::nullopt;
}

} // namespace

std::uint32_t shortId(const InstanceRecord &record)
{
    return static_cast<std::uint32_t>(Common::stableHash(record.id.text(), record.incarnation));
}

std::uint64_t Roster::speakerWeight(const InstanceRecord &record)
{
    return Common::rendezvousWeight("speaker of " + record.region.text(), record.id.text());
}

Roster::Roster(RosterOptions options, InstanceRecord self, std::uint64_t seed)
    : options_(options)
    , self_(std::move(self))
    , selfSpeakerWeight_(speakerWeight(self_))
    , population_(options_.population, self_.region)
    , random_(seed)
{
}

void Roster::setSeeds(const std::set<std::string> &gossipAddresses)
{
    seeds_ = gossipAddresses;
    isSeed_ = seeds_.erase(self_.gossipAddress) > 0;
}

void Roster::setRegions(const std::set<Common::RegionName> &regions)
{
    population_.setRegions(regions);
}

void Roster::setReady(bool ready)
{
    self_.ready = ready;
}

void Roster::setLeaving()
{
    self_.leaving = true;
}

void Roster::setStoreRevision(std::uint64_t revision)
{
    self_.knownRevision = std::max(self_.knownRevision, revision);
}

void Roster::setConfiguration(Common::ConfigurationNumber version)
{
    self_.configuration = version;
}

void Roster::setStoreContact(std::optional<Duration> dataAge, std::optional<Duration> failureAge)
{
    self_.storeAgeMs = toAgeMs(dataAge);
    self_.storeFailureAgeMs = toAgeMs(failureAge);
}

void Roster::setReports(Reports reports)
{
    reports_ = std::move(reports);
}

void Roster::setDigestReports(Reports reports)
{
    digestReports_ = std::move(reports);
}

// Queries.

bool Roster::alive(const Entry &entry, Time now) const
{
    return now - entry.heard <= options_.aliveTimeout;
}

bool Roster::speaks(Time now) const
{
    const auto ahead = std::count_if(entries_.begin(), entries_.end(), [&](const auto &item) {
        const auto &entry = item.second;
        return entry.speakerWeight > selfSpeakerWeight_ && alive(entry, now)
               && !entry.record.leaving;
    });
    return static_cast<std::size_t>(ahead) < options_.speakers;
}

Peer Roster::peerOf(const Entry &entry, Time now) const
{
    Peer peer;
    peer.record = entry.record;
    peer.alive = alive(entry, now);
    peer.reachable =
        entry.everHeardDirectly && now - entry.heardDirectly <= options_.reachableTimeout;
    peer.recordedAt = entry.heardDirectly;
    return peer;
}

std::vector<Peer> Roster::peers(Time now) const
{
    std::vector<Peer> result;
    for (const auto &[id, entry] : entries_) {
        result.push_back(peerOf(entry, now));
    }
    for (const auto &[name, region] : otherRegions_) {
        for (const auto &[id, contact] : region.contacts) {
            result.push_back(peerOf(contact, now));
        }
    }
    return result;
}

std::size_t Roster::aliveInstances(Time now) const
{
    const auto own = std::count_if(entries_.begin(), entries_.end(),
                                   [&](const auto &item) { return alive(item.second, now); });
    std::size_t count = 1 + static_cast<std::size_t>(own);
    for (const auto &[name, region] : otherRegions_) {
        if (now - region.digestMadeAt <= options_.aliveTimeout) {
            count += region.aliveInstances;
        }
    }
    return count;
}

std::size_t Roster::unheardSeeds() const
{
    const auto isHeard = [this](const std::string &address) {
        return seedRegions_.count(address) > 0
               || std::any_of(entries_.begin(), entries_.end(), [&](const auto &item) {
                      return item.second.record.gossipAddress == address;
                  });
    };
    const auto heard = std::count_if(seeds_.begin(), seeds_.end(), isHeard);
    return seeds_.size() - static_cast<std::size_t>(heard);
}

std::optional<std::size_t> Roster::sharers(Time now) const
{
    return population_.total(unheardSeeds() > 0, now);
}

RegionSharers Roster::regionSharers(Time now) const
{
    RegionSharers sharers;
    sharers.known.push_back(self_.id);
    for (const auto &[id, entry] : entries_) {
        sharers.known.push_back(id);
    }
    sharers.count = std::max(sharers.known.size(), population_.inOwnRegion(unheardSeeds(), now));
    return sharers;
}

void Roster::countOwnRegion(Time now)
{
    const auto others = std::count_if(entries_.begin(), entries_.end(),
                                      [&](const auto &item) { return alive(item.second, now); });
    population_.seen(self_.region, 1 + static_cast<std::size_t>(others), now);
}

// Messages to others.

/// Chooses half of the entries among the instances that were heard from most recently, since their
/// ages are news to most receivers, and the other half at random, so that none is left out.
std::vector<HeardInstance> Roster::chooseHeard(Time now)
{
    struct Aged
    {
        Time heard{};
        std::uint32_t id = 0;
    };
    std::vector<Aged> candidates;
    candidates.reserve(byShortId_.size());
    for (const auto &[id, entry] : byShortId_) {
        if (alive(*entry, now)) {
            candidates.push_back({entry->heard, id});
        }
    }
    if (candidates.size() > MaxHeard) {
        std::shuffle(candidates.begin(), candidates.end(), random_);
        std::nth_element(
            candidates.begin(), candidates.begin() + MaxHeard / 2, candidates.end(),
            [](const Aged &one, const Aged &other) { return one.heard > other.heard; });
        std::shuffle(candidates.begin() + MaxHeard / 2, candidates.end(), random_);
        candidates.resize(MaxHeard);
    }
    std::vector<HeardInstance> heard;
    heard.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        heard.push_back({candidate.id, toAgeMs(now - candidate.heard)});
    }
    return heard;
}

Heartbeat Roster::makeHeartbeat(Time now)
{
    auto heartbeat = briefHeartbeat();
    heartbeat.loadReport = reports_.load;
    heartbeat.usageReport = reports_.usage;
    heartbeat.heard = chooseHeard(now);
    return heartbeat;
}

/// Records for an instance of the given region: some of that region, so that it finds its peers,
/// and one of each of some other regions, so that its speakers find theirs.
std::vector<InstanceRecord> Roster::sampleRecords(const Common::RegionName &receiver, Time now)
{
    std::vector<InstanceRecord> records;
    if (receiver == self_.region) {
        for (const auto *entry : chooseAlive(options_.recordsPerMessage - 1, now)) {
            records.push_back(entry->record);
        }
    } else if (const auto found = otherRegions_.find(receiver); found != otherRegions_.end()) {
        for (const auto *contact : chooseContacts(found->second, now)) {
            records.push_back(contact->record);
        }
    }
    std::vector<InstanceRecord> foreign;
    for (const auto &[name, region] : otherRegions_) {
        const auto contacts =
            name == receiver ? std::vector<const Entry *>() : chooseContacts(region, now);
        if (!contacts.empty()) {
            foreign.push_back(contacts.front()->record);
        }
    }
    const auto left =
        options_.recordsPerMessage - std::min(records.size(), options_.recordsPerMessage);
    std::sample(foreign.begin(), foreign.end(), std::back_inserter(records), left, random_);
    records.resize(std::min(records.size(), options_.recordsPerMessage));
    return records;
}

Roster::MessagePtr Roster::makeResponse(const Common::RegionName &receiver, Time now)
{
    auto heartbeat = receiver == self_.region ? makeHeartbeat(now) : briefHeartbeat();
    heartbeat.populations = population_.reports(now);
    heartbeat.instanceRecords = sampleRecords(receiver, now);
    return std::make_shared<const Message>(std::move(heartbeat));
}

std::vector<const Roster::Entry *> Roster::aliveEntries(Time now) const
{
    std::vector<const Entry *> result;
    for (const auto &[id, entry] : entries_) {
        if (alive(entry, now)) {
            result.push_back(&entry);
        }
    }
    return result;
}

/// Chooses living instances of the own region at random.
std::vector<const Roster::Entry *> Roster::chooseAlive(std::size_t count, Time now)
{
    auto chosen = aliveEntries(now);
    std::shuffle(chosen.begin(), chosen.end(), random_);
    chosen.resize(std::min(chosen.size(), count));
    return chosen;
}

/// Like chooseAlive(), but most of them in the own failure domain.
std::vector<const Roster::Entry *> Roster::chooseReceivers(std::size_t count, Time now)
{
    auto candidates = aliveEntries(now);
    std::shuffle(candidates.begin(), candidates.end(), random_);
    if (candidates.size() <= count) {
        return candidates;
    }
    const auto others =
        std::stable_partition(candidates.begin(), candidates.end(), [this](const Entry *entry) {
            return entry->record.failureDomain == self_.failureDomain;
        });
    const auto ownCount = static_cast<std::size_t>(others - candidates.begin());
    const auto otherWanted = std::max<std::size_t>(1, count / options_.otherDomainDivisor);
    const auto ownTaken = std::min(ownCount, count - std::min(count, otherWanted));
    // Too few in the own failure domain are made up for by others, and the other way round.
    std::rotate(candidates.begin() + static_cast<std::ptrdiff_t>(ownTaken), others,
                candidates.end());
    candidates.resize(count);
    return candidates;
}

/// Chooses the receivers of a digest: living contacts first, then silent ones, which are reached
/// again after a partition.
std::vector<const Roster::Entry *> Roster::chooseContacts(const OtherRegion &region, Time now)
{
    std::vector<const Entry *> candidates;
    for (const auto &[id, contact] : region.contacts) {
        candidates.push_back(&contact);
    }
    std::shuffle(candidates.begin(), candidates.end(), random_);
    std::stable_partition(candidates.begin(), candidates.end(),
                          [&](const Entry *contact) { return alive(*contact, now); });
    candidates.resize(std::min(candidates.size(), options_.digestFanout));
    return candidates;
}

bool Roster::seedIsKnown(const std::string &address, Time now) const
{
    const auto matches = [&](const auto &item) {
        return item.second.record.gossipAddress == address;
    };
    const auto own = std::find_if(entries_.begin(), entries_.end(), matches);
    if (own != entries_.end()) {
        return alive(own->second, now);
    }
    // A seed of another region counts as known while that region is heard from.
    const auto name = seedRegions_.find(address);
    const auto region =
        name == seedRegions_.end() ? otherRegions_.end() : otherRegions_.find(name->second);
    return region != otherRegions_.end()
           && now - region->second.digestMadeAt <= options_.aliveTimeout;
}

void Roster::addRetryHeartbeats(Sends &sends, const MessagePtr &message, Time now)
{
    std::vector<std::string> silent;
    for (const auto &[id, entry] : entries_) {
        if (!alive(entry, now)) {
            silent.push_back(entry.record.gossipAddress);
        }
    }
    std::vector<std::string> targets;
    std::sample(silent.begin(), silent.end(), std::back_inserter(targets), options_.retryFanout,
                random_);
    for (const auto &seed : seeds_) {
        if (!seedIsKnown(seed, now)) {
            targets.push_back(seed);
        }
    }
    for (auto &target : targets) {
        sends.push_back({std::move(target), message});
    }
}

void Roster::addDigests(Sends &sends, Time now)
{
    if (otherRegions_.empty() || !speaks(now)) {
        return;
    }
    RegionDigest digest;
    digest.speaker = self_;
    for (const auto &[id, entry] : entries_) {
        digest.aliveInstances += alive(entry, now) ? 1 : 0;
    }
    ++digest.aliveInstances;
    for (const auto *entry : chooseAlive(entries_.size(), now)) {
        const auto &record = entry->record;
        if (record.ready && !record.leaving && digest.contacts.size() < options_.digestContacts) {
            digest.contacts.push_back(record);
            // The record may be seconds old.
            digest.contacts.back().storeAgeMs.reset();
        }
    }
    digest.populations = population_.reports(now);
    digest.loadReport = digestReports_.load;
    digest.usageReport = digestReports_.usage;
    const auto message = std::make_shared<const Message>(std::move(digest));
    for (const auto &[name, region] : otherRegions_) {
        for (const auto *contact : chooseContacts(region, now)) {
            sends.push_back({contact->record.gossipAddress, message});
        }
    }
}

void Roster::compensateForSuspension(Time now)
{
    const auto gap = now - lastTick_;
    const bool suspended = lastTick_ != Time() && gap > SuspensionIntervals * options_.interval;
    if (suspended) {
        const auto shift = gap - options_.interval;
        const auto postpone = [shift](auto &entries) {
            for (auto &[id, entry] : entries) {
                entry.heard += shift;
                entry.heardDirectly += shift;
            }
        };
        postpone(entries_);
        population_.postpone(shift);
        for (auto &[name, region] : otherRegions_) {
            postpone(region.contacts);
            region.digestMadeAt += shift;
        }
    }
    lastTick_ = now;
}

void Roster::forgetSilent(Time now)
{
    const auto isForgotten = [&](const auto &item) {
        return now - item.second.heard > options_.forgetAfter;
    };
    if (std::erase_if(entries_, isForgotten) > 0) {
        byShortId_.clear();
        for (auto &[id, entry] : entries_) {
            byShortId_[shortId(entry.record)] = &entry;
        }
    }
    for (auto &[name, region] : otherRegions_) {
        std::erase_if(region.contacts, isForgotten);
    }
    std::erase_if(otherRegions_, [](const auto &item) { return item.second.contacts.empty(); });
}

Sends Roster::tick(Time now)
{
    compensateForSuspension(now);
    countOwnRegion(now);
    ++self_.sequence;
    Sends sends;
    const auto message = std::make_shared<const Message>(makeHeartbeat(now));
    for (const auto *entry : chooseReceivers(options_.fanout, now)) {
        sends.push_back({entry->record.gossipAddress, message});
    }
    const bool retryRound = round_ % options_.retryRoundInterval == 0;
    if (retryRound && !sends.empty()) {
        std::uniform_int_distribution<std::size_t> index(0, sends.size() - 1);
        sends[index(random_)].message = makeResponse(self_.region, now);
    }
    if (retryRound || round_ < options_.initialRetryRounds) {
        addRetryHeartbeats(sends, message, now);
    }
    if (round_ % options_.digestRoundInterval == 0) {
        addDigests(sends, now);
    }
    ++round_;
    forgetSilent(now);
    return sends;
}

Sends Roster::announce(Time now)
{
    ++self_.sequence;
    Sends sends;
    const auto message = std::make_shared<const Message>(makeHeartbeat(now));
    for (const auto *entry : chooseAlive(entries_.size(), now)) {
        sends.push_back({entry->record.gossipAddress, message});
    }
    const auto brief = std::make_shared<const Message>(briefHeartbeat());
    for (const auto &[name, region] : otherRegions_) {
        for (const auto &[id, contact] : region.contacts) {
            if (alive(contact, now)) {
                sends.push_back({contact.record.gossipAddress, brief});
            }
        }
    }
    return sends;
}

Sends Roster::spreadRevision(Time now)
{
    ++self_.sequence;
    const auto message = std::make_shared<const Message>(briefHeartbeat());
    Sends sends;
    for (const auto *entry : chooseReceivers(options_.relayFanout, now)) {
        sends.push_back({entry->record.gossipAddress, message});
    }
    return sends;
}

} // namespace LaburnumChute::Fleet
