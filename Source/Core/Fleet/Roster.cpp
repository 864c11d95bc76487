#include "Fleet/Roster.h"

#include <algorithm>

namespace LaburnumChute::Fleet {

namespace {

/// Maximum entries per heartbeat. At about 130 bytes per record, a heartbeat fits into one
/// datagram.
constexpr std::size_t MaxHeard = 64;
constexpr std::size_t MaxHeardOtherRegion = 16;
constexpr std::size_t MaxInstanceRecords = 5;
/// A gap between two ticks of more than this many intervals means that the process was suspended.
constexpr int SuspensionIntervals = 3;
constexpr std::int64_t MaxAgeMs = 65535;

} // namespace

std::uint32_t shortId(const Common::InstanceId &id)
{
    return static_cast<std::uint32_t>(Common::stableHash(id.text()));
}

Roster::Roster(RosterOptions options, InstanceRecord self, std::uint64_t seed)
    : options_(options)
    , self_(std::move(self))
    , random_(seed)
{
}

void Roster::setSeeds(const std::set<std::string> &gossipAddresses)
{
    seeds_ = gossipAddresses;
    seeds_.erase(self_.gossipAddress);
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

void Roster::setStoreContact(std::optional<Duration> sinceAnswer, bool settled)
{
    self_.storeAgeMs.reset();
    if (sinceAnswer) {
        const auto age = std::chrono::duration_cast<milliseconds>(*sinceAnswer).count();
        self_.storeAgeMs = static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, MaxAgeMs));
    }
    self_.storeSettled = settled;
}

void Roster::setReports(Reports ownRegion, Reports otherRegions)
{
    ownRegionReports_ = std::move(ownRegion);
    otherRegionsReports_ = std::move(otherRegions);
}

bool Roster::alive(const Entry &entry, Time now) const
{
    return now - entry.heard <= options_.aliveTimeout;
}

Heartbeat Roster::makeHeartbeat(const Common::RegionName &receiver, Time now) const
{
    Heartbeat heartbeat;
    heartbeat.self = self_;
    const auto &reports = receiver == self_.region ? ownRegionReports_ : otherRegionsReports_;
    heartbeat.loadReport = reports.load;
    heartbeat.usageReport = reports.usage;
    heartbeat.heard = nextHeardBatch(receiver, now);
    return heartbeat;
}

/// Selects as many entries as fit into a heartbeat and rotates through them by round, so that no
/// instance is omitted for longer than the alive timeout. Other regions get fewer entries, and only
/// those of this region: traffic between regions is expensive, and they receive heartbeats from
/// several instances of this region.
std::vector<HeardInstance> Roster::nextHeardBatch(const Common::RegionName &receiver,
                                                  Time now) const
{
    const bool ownRegion = receiver == self_.region;
    std::vector<HeardInstance> heard;
    for (const auto &[id, entry] : entries_) {
        const bool included = ownRegion || entry.record.region == self_.region;
        if (alive(entry, now) && included) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - entry.heard).count();
            const auto bounded =
                static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, MaxAgeMs));
            heard.push_back({shortId(id), bounded});
        }
    }
    const auto limit = ownRegion ? MaxHeard : MaxHeardOtherRegion;
    if (heard.size() > limit) {
        const auto first = (static_cast<std::size_t>(round_) * limit) % heard.size();
        std::rotate(heard.begin(), heard.begin() + static_cast<std::ptrdiff_t>(first), heard.end());
        heard.resize(limit);
    }
    return heard;
}

void Roster::addHeartbeat(Sends &sends, const Entry &entry, Time now) const
{
    sends.push_back({entry.record.gossipAddress, makeHeartbeat(entry.record.region, now)});
}

std::vector<InstanceRecord> Roster::sampleAliveRecords(Time now)
{
    std::vector<InstanceRecord> records;
    for (const auto &[id, entry] : entries_) {
        if (alive(entry, now)) {
            records.push_back(entry.record);
        }
    }
    std::shuffle(records.begin(), records.end(), random_);
    records.resize(std::min(records.size(), MaxInstanceRecords));
    return records;
}

std::vector<const Roster::Entry *> Roster::chooseReceivers(bool ownRegion, Time now)
{
    std::vector<const Entry *> candidates;
    for (const auto &[id, entry] : entries_) {
        if (alive(entry, now) && (entry.record.region == self_.region) == ownRegion) {
            candidates.push_back(&entry);
        }
    }
    const auto fanout = ownRegion ? options_.ownRegionFanout : options_.otherRegionFanout;
    if (candidates.size() > fanout) {
        std::shuffle(candidates.begin(), candidates.end(), random_);
        candidates.resize(fanout);
    }
    return candidates;
}

void Roster::addRetryHeartbeats(Sends &sends, Time now)
{
    std::set<std::string> aliveAddresses;
    for (const auto &[id, entry] : entries_) {
        if (alive(entry, now)) {
            aliveAddresses.insert(entry.record.gossipAddress);
        } else {
            addHeartbeat(sends, entry, now);
        }
    }
    for (const auto &seed : seeds_) {
        if (aliveAddresses.count(seed) == 0) {
            sends.push_back({seed, makeHeartbeat(self_.region, now)});
        }
    }
}

void Roster::compensateForSuspension(Time now)
{
    const auto gap = now - lastTick_;
    const bool suspended = lastTick_ != Time() && gap > SuspensionIntervals * options_.interval;
    if (suspended) {
        for (auto &[id, entry] : entries_) {
            entry.heard += gap - options_.interval;
            entry.heardDirectly += gap - options_.interval;
        }
    }
    lastTick_ = now;
}

Sends Roster::tick(Time now)
{
    compensateForSuspension(now);
    ++self_.sequence;
    Sends sends;
    for (const auto *entry : chooseReceivers(true, now)) {
        addHeartbeat(sends, *entry, now);
    }
    if (round_ % options_.otherRegionRoundInterval == 0) {
        for (const auto *entry : chooseReceivers(false, now)) {
            addHeartbeat(sends, *entry, now);
        }
    }
    const bool retryRound = round_ % options_.retryRoundInterval == 0;
    if (retryRound || round_ < options_.initialRetryRounds) {
        addRetryHeartbeats(sends, now);
    }
    if (retryRound) {
        if (!sends.empty()) {
            std::uniform_int_distribution<std::size_t> index(0, sends.size() - 1);
            sends[index(random_)].heartbeat.instanceRecords = sampleAliveRecords(now);
        }
    }
    ++round_;
    std::erase_if(entries_,
                  [&](const auto &item) { return now - item.second.heard > options_.forgetAfter; });
    return sends;
}

Sends Roster::announce(Time now)
{
    ++self_.sequence;
    Sends sends;
    for (const auto &[id, entry] : entries_) {
        if (alive(entry, now)) {
            addHeartbeat(sends, entry, now);
        }
    }
    return sends;
}

void Roster::mergeRecord(const InstanceRecord &record, Time now)
{
    if (record.id == self_.id) {
        return;
    }
    auto &entry = entries_[record.id];
    const bool unknown = entry.record.id.empty();
    const bool sameIncarnation = entry.record.incarnation == record.incarnation;
    // While the known incarnation is alive, a different one is accepted only from the instance
    // itself.
    const bool newer =
        sameIncarnation ? record.sequence > entry.record.sequence : !alive(entry, now);
    if (unknown) {
        // Known only from a peer and therefore not alive yet; it is contacted like a silent
        // instance.
        entry.heard = now - options_.aliveTimeout - milliseconds(1);
    }
    if (unknown || newer) {
        entry.record = record;
    }
}

Sends Roster::receive(const Heartbeat &heartbeat, Time now)
{
    const auto &sender = heartbeat.self;
    if (sender.id == self_.id) {
        return {};
    }
    auto &entry = entries_[sender.id];
    const bool sameIncarnation = entry.record.incarnation == sender.incarnation;
    const bool isNew = !entry.everHeardDirectly || !sameIncarnation;
    if (!sameIncarnation || sender.sequence >= entry.record.sequence) {
        entry.record = sender;
    }
    entry.heard = now;
    entry.heardDirectly = now;
    entry.everHeardDirectly = true;
    Sends sends;
    for (const auto &record : heartbeat.instanceRecords) {
        const bool unknown = entries_.count(record.id) == 0 && record.id != self_.id;
        mergeRecord(record, now);
        if (unknown) {
            addHeartbeat(sends, entries_[record.id], now);
        }
    }
    std::map<std::uint32_t, std::uint16_t> ages;
    for (const auto &heard : heartbeat.heard) {
        ages[heard.instance] = heard.ageMs;
    }
    for (auto &[id, other] : entries_) {
        const auto age = ages.find(shortId(id));
        if (age != ages.end() && other.everHeardDirectly) {
            other.heard = std::max(other.heard, now - milliseconds(age->second));
        }
    }
    if (isNew) {
        addHeartbeat(sends, entry, now);
        sends.back().heartbeat.instanceRecords = sampleAliveRecords(now);
    }
    return sends;
}

std::vector<Peer> Roster::peers(Time now) const
{
    std::vector<Peer> result;
    for (const auto &[id, entry] : entries_) {
        Peer peer;
        peer.record = entry.record;
        peer.alive = alive(entry, now);
        peer.reachable =
            entry.everHeardDirectly && now - entry.heardDirectly <= options_.reachableTimeout;
        result.push_back(std::move(peer));
    }
    return result;
}

} // namespace LaburnumChute::Fleet
