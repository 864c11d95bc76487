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
    /// No watcher of the region is known to receive responses from the store: it queries the store
    /// itself, at longer intervals.
    Looks,
};

struct WatchOptions
{
    /// Number of watchers per region. Each change of the store completes every long-poll call, so
    /// the load of the store grows with it. Two, so that the loss of one has no effect.
    std::size_t watchers = 2;
    /// A watcher whose last response from the store is older than this is not relied upon.
    milliseconds answerAge{1500};
};

/// Timeout of a watcher's long-poll call, where a change must be applied within the bound: half of
/// the bound, which leaves time to query the store once more.
milliseconds watchTimeout(milliseconds bound);

/// Options for instances that must apply a change within the bound. A watcher is relied upon while
/// its last response is no older than watchTimeout(); the rest of the bound is left for listeners
/// to receive that age in a heartbeat and to query the store themselves.
WatchOptions watchOptionsFor(milliseconds bound);

/// Selects the duty of an instance by rendezvous hashing over the reachable instances of its
/// region. Instances with different views of the region may disagree for a moment; the region then
/// has more watchers or fewer listeners, and every instance still learns every change.
WatchDuty watchDuty(const InstanceRecord &self, const std::vector<Peer> &peers,
                    const WatchOptions &options);

/// Upper bound on the time since the instance's copy of the store was up to date, from its own
/// responses or from those of a peer that knows no later revision. Empty if there were none.
std::optional<Duration> storeDataAge(std::optional<Duration> ownAnswerAge,
                                     std::uint64_t ownRevision, const std::vector<Peer> &peers);

} // namespace LaburnumChute::Fleet
