#include "Fleet/StoreWatch.h"

#include <algorithm>

namespace LaburnumChute::Fleet {

namespace {

/// Maximum age of the heartbeat that reported a peer's store age.
constexpr milliseconds MaxHeartbeatAge{600};
/// Shorter long-poll calls would keep the store permanently busy.
constexpr milliseconds MinWatchTimeout{950};

bool isWatcherCandidate(const InstanceRecord &self, const Peer &peer)
{
    return peer.reachable && !peer.record.leaving && peer.record.region == self.region;
}

std::uint64_t watcherWeight(const InstanceRecord &record)
{
    return Common::rendezvousWeight(record.region.text(), record.id.text());
}

} // namespace

milliseconds watchTimeout(milliseconds bound)
{
    return std::max(MinWatchTimeout, bound / 2);
}

WatchOptions watchOptionsFor(milliseconds bound)
{
    WatchOptions options;
    options.answerAge = watchTimeout(bound);
    return options;
}

WatchDuty watchDuty(const InstanceRecord &self, const std::vector<Peer> &peers,
                    const WatchOptions &options)
{
    const auto own = watcherWeight(self);
    std::vector<const Peer *> ahead;
    for (const auto &peer : peers) {
        if (isWatcherCandidate(self, peer) && watcherWeight(peer.record) > own) {
            ahead.push_back(&peer);
        }
    }
    if (ahead.size() < options.watchers) {
        return WatchDuty::Watches;
    }
    std::sort(ahead.begin(), ahead.end(), [](const Peer *one, const Peer *other) {
        return watcherWeight(one->record) > watcherWeight(other->record);
    });
    ahead.resize(options.watchers);
    const bool watcherHasContact =
        std::any_of(ahead.begin(), ahead.end(), [&](const Peer *watcher) {
            const auto &age = watcher->record.storeAgeMs;
            return age && milliseconds(*age) <= options.answerAge;
        });
    return watcherHasContact ? WatchDuty::Listens : WatchDuty::Looks;
}

std::optional<Duration> storeDataAge(std::optional<Duration> ownAnswerAge,
                                     std::uint64_t ownRevision, const std::vector<Peer> &peers)
{
    auto age = ownAnswerAge;
    for (const auto &peer : peers) {
        const bool knowsNoLaterRevision =
            peer.reachable && peer.record.knownRevision <= ownRevision;
        if (!knowsNoLaterRevision || !peer.record.storeAgeMs) {
            continue;
        }
        const Duration peerAge = milliseconds(*peer.record.storeAgeMs) + MaxHeartbeatAge;
        age = age ? std::min(*age, peerAge) : peerAge;
    }
    return age;
}

} // namespace LaburnumChute::Fleet
