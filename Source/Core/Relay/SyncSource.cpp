#include "Relay/SyncSource.h"

namespace LaburnumChute::Relay {

namespace {

/// Longer than the time for which an unresponsive instance is still considered reachable.
constexpr Common::milliseconds FailureAvoidance{3000};
/// About the time of a transfer.
constexpr Common::milliseconds BusyAvoidance{300};

// Traffic between regions costs more than within one, and that between failure domains more than
// within one. A peer that failed is asked only if there is no other.
constexpr int AvoidedPenalty = 4;
constexpr int OtherRegionPenalty = 2;
constexpr int OtherDomainPenalty = 1;

} // namespace

SyncSource::SyncSource(Common::RegionName region, Common::FailureDomainName failureDomain,
                       std::uint64_t seed)
    : region_(std::move(region))
    , failureDomain_(std::move(failureDomain))
    , random_(seed)
{
}

bool SyncSource::isAvoided(const Common::InstanceId &peer, Common::Time now) const
{
    const auto found = avoidedUntil_.find(peer);
    return found != avoidedUntil_.end() && now < found->second;
}

int SyncSource::rank(const Fleet::Peer &peer, Common::Time now) const
{
    const auto &record = peer.record;
    return (isAvoided(record.id, now) ? AvoidedPenalty : 0)
           + (record.region == region_ ? 0 : OtherRegionPenalty)
           + (record.failureDomain == failureDomain_ ? 0 : OtherDomainPenalty);
}

const Fleet::Peer *SyncSource::choose(const std::vector<Fleet::Peer> &peers,
                                      Catalog::Revision known, Common::Time now)
{
    std::erase_if(avoidedUntil_, [now](const auto &entry) { return now >= entry.second; });
    const Fleet::Peer *chosen = nullptr;
    int chosenRank = 0;
    int equals = 0;
    for (const auto &peer : peers) {
        if (!peer.reachable || peer.record.knownRevision <= known) {
            continue;
        }
        const auto peerRank = rank(peer, now);
        if (chosen == nullptr || peerRank < chosenRank) {
            chosen = &peer;
            chosenRank = peerRank;
            equals = 1;
        } else if (peerRank == chosenRank
                   && std::uniform_int_distribution<int>(0, equals++)(random_) == 0) {
            chosen = &peer;
        }
    }
    return chosen;
}

void SyncSource::failed(const Common::InstanceId &peer, Common::Time now)
{
    avoidedUntil_[peer] = now + FailureAvoidance;
}

void SyncSource::busy(const Common::InstanceId &peer, Common::Time now)
{
    avoidedUntil_[peer] = now + BusyAvoidance;
}

void SyncSource::succeeded(const Common::InstanceId &peer)
{
    avoidedUntil_.erase(peer);
}

} // namespace LaburnumChute::Relay
