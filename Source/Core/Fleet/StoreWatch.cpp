#include "Fleet/StoreWatch.h"

#include <algorithm>

namespace LaburnumChute::Fleet {

namespace {

/// Time that a heartbeat may take to arrive and to be processed.
constexpr milliseconds TransitTime{200};
/// Shorter long-poll calls would keep the store permanently busy.
constexpr milliseconds MinWatchTimeout{950};
constexpr milliseconds MinWatchMargin{450};
constexpr int WatchMarginDivisor = 6;
/// With a thousand instances, the last ones query the store after four steps, well within the
/// bound.
constexpr int LookStepDivisor = 10;
/// Growth of the number of instances that query the store, per step.
constexpr std::size_t LookerGrowth = 4;

bool isWatcherCandidate(const InstanceRecord &self, const Peer &peer)
{
    return peer.alive && !peer.record.leaving && peer.record.region == self.region;
}

std::uint64_t watcherWeight(const InstanceRecord &record)
{
    return Common::rendezvousWeight(record.region.text(), record.id.text());
}

/// Adds the time since the peer reported the age.
Duration ageNow(std::uint16_t reportedMs, const Peer &peer, Time now)
{
    return milliseconds(reportedMs) + (now - peer.recordedAt);
}

} // namespace

milliseconds watchTimeout(milliseconds bound)
{
    return std::max(MinWatchTimeout, bound / 2);
}

milliseconds watchMargin(milliseconds bound)
{
    return std::max(MinWatchMargin, bound / WatchMarginDivisor);
}

WatchOptions watchOptionsFor(milliseconds bound)
{
    WatchOptions options;
    options.answerAge = watchTimeout(bound);
    options.lookStep = options.answerAge / LookStepDivisor;
    return options;
}

std::optional<Duration> storeContactAge(const InstanceRecord &self, const std::vector<Peer> &peers,
                                        Time now)
{
    std::optional<Duration> age;
    if (self.storeAgeMs) {
        age = milliseconds(*self.storeAgeMs);
    }
    for (const auto &peer : peers) {
        if (!peer.record.storeAgeMs || peer.record.region != self.region) {
            continue;
        }
        const Duration peerAge = ageNow(*peer.record.storeAgeMs, peer, now);
        age = age ? std::min(*age, peerAge) : peerAge;
    }
    return age;
}

WatchDuty watchDuty(const InstanceRecord &self, const std::vector<Peer> &peers, Duration uptime,
                    const WatchOptions &options, Time now)
{
    const auto own = watcherWeight(self);
    const auto ahead =
        static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const Peer &peer) {
            return isWatcherCandidate(self, peer) && watcherWeight(peer.record) > own;
        }));
    if (ahead < options.watchers) {
        return WatchDuty::Watches;
    }
    Duration tolerated = options.answerAge;
    for (auto lookers = options.firstLookers; lookers <= ahead; lookers *= LookerGrowth) {
        tolerated += options.lookStep;
    }
    const auto age = storeContactAge(self, peers, now).value_or(uptime);
    return age <= tolerated ? WatchDuty::Listens : WatchDuty::Looks;
}

std::optional<Duration> storeFailureAge(std::optional<Duration> ownFailureAge,
                                        const Common::RegionName &region,
                                        const std::vector<Peer> &peers, Time now)
{
    auto age = ownFailureAge;
    for (const auto &peer : peers) {
        if (!peer.record.storeFailureAgeMs || peer.record.region != region) {
            continue;
        }
        const Duration peerAge = ageNow(*peer.record.storeFailureAgeMs, peer, now);
        age = age ? std::min(*age, peerAge) : peerAge;
    }
    return age;
}

std::optional<Duration> storeDataAge(std::optional<Duration> ownAnswerAge,
                                     std::uint64_t ownRevision, const std::vector<Peer> &peers,
                                     Time now)
{
    auto age = ownAnswerAge;
    for (const auto &peer : peers) {
        if (!peer.record.storeAgeMs || peer.record.knownRevision > ownRevision) {
            continue;
        }
        const Duration peerAge = ageNow(*peer.record.storeAgeMs, peer, now) + TransitTime;
        age = age ? std::min(*age, peerAge) : peerAge;
    }
    return age;
}

} // namespace LaburnumChute::Fleet
