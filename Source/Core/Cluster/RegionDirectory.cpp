#include "Cluster/RegionDirectory.h"

#include <algorithm>

#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

/// Maximum number of tracked incarnations and leaves; a table that exceeds it is cleared. Instances
/// may be replaced several times a day, so it is larger than a fleet.
constexpr std::size_t MaxTrackedInstances = 16384;

template <typename Map>
void recordNewest(Map &map, const Common::InstanceId &id, Common::Incarnation incarnation)
{
    if (map.size() >= MaxTrackedInstances && !map.contains(id)) {
        map.clear();
    }
    auto &newest = map[id];
    newest = std::max(newest, incarnation);
}

template <typename T>
const T *pick(const std::vector<T> &items, std::mt19937_64 &random)
{
    if (items.empty()) {
        return nullptr;
    }
    std::uniform_int_distribution<std::size_t> index(0, items.size() - 1);
    return &items[index(random)];
}

} // namespace

RegionDirectory::RegionDirectory(const ClusterOptions &options, Common::RegionName ownRegion)
    : options_(options)
    , ownRegion_(std::move(ownRegion))
{
}

void RegionDirectory::setSeeds(const std::vector<Seed> &seeds)
{
    seeds_.clear();
    seedsByRegion_.clear();
    for (const Seed &seed : seeds) {
        seeds_.emplace(seed.id, seed);
        seedsByRegion_[seed.region].push_back(seed.id);
    }
}

bool RegionDirectory::apply(const RegionSummary &summary)
{
    const auto it = summaries_.find(summary.region);
    if (it != summaries_.end() && it->second.version >= summary.version) {
        return false;
    }
    summaries_[summary.region] = summary;
    for (const MemberInfo &contact : summary.contacts) {
        recordIncarnation(contact.id, contact.incarnation);
    }
    return true;
}

void RegionDirectory::recordLeaving(const Common::InstanceId &id, Common::Incarnation incarnation)
{
    recordNewest(leaving_, id, incarnation);
}

void RegionDirectory::recordIncarnation(const Common::InstanceId &id,
                                        Common::Incarnation incarnation)
{
    recordNewest(incarnations_, id, incarnation);
}

Address RegionDirectory::gossipAddress(const MemberInfo &info) const
{
    const auto it = seeds_.find(info.id);
    return it == seeds_.end() ? info.gossipAddress : it->second.gossipAddress;
}

MemberInfo RegionDirectory::withListedAddresses(MemberInfo info) const
{
    const auto it = seeds_.find(info.id);
    if (it != seeds_.end()) {
        info.httpAddress = it->second.httpAddress;
        info.gossipAddress = it->second.gossipAddress;
        info.channelAddress = it->second.channelAddress;
    }
    return info;
}

std::vector<Seed> RegionDirectory::ownSeeds() const
{
    std::vector<Seed> own;
    const auto it = seedsByRegion_.find(ownRegion_);
    if (it == seedsByRegion_.end()) {
        return own;
    }
    for (const Common::InstanceId &id : it->second) {
        own.push_back(seeds_.at(id));
    }
    return own;
}

std::vector<Common::RegionName> RegionDirectory::otherRegions() const
{
    std::set<Common::RegionName> names;
    for (const auto &[name, ids] : seedsByRegion_) {
        names.insert(name);
    }
    for (const auto &[name, summary] : summaries_) {
        names.insert(name);
    }
    names.erase(ownRegion_);
    return {names.begin(), names.end()};
}

bool RegionDirectory::usable(const Common::InstanceId &id) const
{
    const auto left = leaving_.find(id);
    const auto seen = incarnations_.find(id);
    if (left == leaving_.end()) {
        return true;
    }
    return seen != incarnations_.end() && seen->second > left->second;
}

std::optional<Address> RegionDirectory::contact(const Common::RegionName &region,
                                                std::mt19937_64 &random) const
{
    std::vector<Address> candidates;
    const auto summary = summaries_.find(region);
    if (summary != summaries_.end()) {
        for (const MemberInfo &info : summary->second.contacts) {
            if (usable(info.id)) {
                candidates.push_back(gossipAddress(info));
            }
        }
    }
    // One listed instance is always a candidate, since all contacts of an old summary may have been
    // replaced during a partition.
    const auto seeds = seedsByRegion_.find(region);
    if (seeds != seedsByRegion_.end()) {
        const auto *id = pick(seeds->second, random);
        if (id != nullptr && usable(*id)) {
            candidates.push_back(seeds_.at(*id).gossipAddress);
        }
    }
    const Address *chosen = pick(candidates, random);
    return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

std::optional<Common::Incarnation>
RegionDirectory::newestIncarnation(const Common::InstanceId &id) const
{
    const auto it = incarnations_.find(id);
    return it == incarnations_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<RegionSummary> RegionDirectory::summaries() const
{
    std::vector<RegionSummary> all;
    for (const auto &[name, summary] : summaries_) {
        all.push_back(summary);
        std::erase_if(all.back().contacts,
                      [this](const MemberInfo &info) { return !usable(info.id); });
        for (MemberInfo &contact : all.back().contacts) {
            contact = withListedAddresses(contact);
        }
    }
    return all;
}

std::vector<RegionVersion> RegionDirectory::versions() const
{
    std::vector<RegionVersion> versions;
    for (const auto &[name, summary] : summaries_) {
        versions.push_back({Common::stableHash(name.text()), summary.version});
    }
    return versions;
}

std::vector<RegionSummary>
RegionDirectory::newerThan(const std::vector<RegionVersion> &versions) const
{
    std::map<std::uint64_t, std::uint64_t> held;
    for (const RegionVersion &version : versions) {
        held[version.region] = version.version;
    }
    std::vector<RegionSummary> newer;
    for (const auto &[name, summary] : summaries_) {
        if (summary.version > held[Common::stableHash(name.text())]) {
            newer.push_back(summary);
        }
    }
    return newer;
}

Common::Duration RegionDirectory::summaryInterval() const
{
    const auto regions = static_cast<int>(otherRegions().size()) + 1;
    return std::max(options_.summaryInterval, options_.summaryIntervalPerRegion * regions);
}

} // namespace LaburnumChute::Cluster
