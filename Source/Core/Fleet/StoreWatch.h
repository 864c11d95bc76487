#pragma once

#include <optional>
#include <vector>

#include "Fleet/Roster.h"

namespace LaburnumChute::Fleet {

/// How an instance learns of changes of the platform's store.
enum class WatchDuty {
    /// It is one of the region's watchers and queries the store by long polling.
    Watches,
    /// It gets changes from the region's watchers, which receive responses from the store.
    Listens,
    /// No instance of the region is known to receive responses from the store: it queries the store
    /// itself, at longer intervals.
    Looks,
};

struct WatchOptions
{
    /// Number of watchers per region. Each change of the store completes every long-poll call, so
    /// the load of the store grows with it. Two, so that the loss of one has no effect.
    std::size_t watchers = 2;
    /// If the last response from the store to any instance of the region is older than this, the
    /// watchers are not relied upon.
    milliseconds answerAge{1500};
    /// Number of instances, including the watchers, that query the store as soon as that is the
    /// case. Four times as many do so after each further step: if the store is down, it would
    /// otherwise be called by all instances, and if it turns some of them away, the next ones may
    /// be served.
    std::size_t firstLookers = 8;
    milliseconds lookStep{150};
};

/// Timeout of a watcher's long-poll call, where a change must be applied within the bound: half of
/// the bound, which leaves time to query the store once more.
milliseconds watchTimeout(milliseconds bound);

/// Part of that timeout that is left, after the longest wait of a call, for the news of its
/// response to reach all instances of the region through relayed heartbeats.
milliseconds watchMargin(milliseconds bound);

/// Options for instances that must apply a change within the bound. A watcher is relied upon while
/// its last response is no older than watchTimeout(); the rest of the bound is left for listeners
/// to receive that age in a heartbeat and to query the store themselves.
WatchOptions watchOptionsFor(milliseconds bound);

/// Time since the last response from the store that this instance or another one of its region is
/// known to have received. Empty if there was none.
std::optional<Duration> storeContactAge(const InstanceRecord &self, const std::vector<Peer> &peers,
                                        Time now);

/// Selects the duty of an instance by rendezvous hashing over the instances of its region that are
/// alive. Whether they are alive is relayed, so that instances agree on it although most of them
/// seldom hear from each other. Instances with different views may still disagree for a moment; the
/// region then has more watchers or fewer listeners, and every instance still learns every change.
/// @param uptime time since the start of this instance, which counts if no response is known of
WatchDuty watchDuty(const InstanceRecord &self, const std::vector<Peer> &peers, Duration uptime,
                    const WatchOptions &options, Time now);

/// Time since the last failed call to the store that this instance or another one of its region is
/// known to have made. Empty if there was none.
std::optional<Duration> storeFailureAge(std::optional<Duration> ownFailureAge,
                                        const Common::RegionName &region,
                                        const std::vector<Peer> &peers, Time now);

/// Upper bound on the time since the instance's copy of the store was up to date, from its own
/// responses or from those of a peer that knows no later revision. Empty if there were none.
std::optional<Duration> storeDataAge(std::optional<Duration> ownAnswerAge,
                                     std::uint64_t ownRevision, const std::vector<Peer> &peers,
                                     Time now);

} // namespace LaburnumChute::Fleet
