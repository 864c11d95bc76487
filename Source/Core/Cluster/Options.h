#pragma once

#include <cstddef>

#include "Common/Time.h"

namespace LaburnumChute::Cluster {

/// Timing and limits of membership and configuration distribution; docs/design/membership.md
/// explains the defaults.
struct ClusterOptions
{
    /// Interval at which tick() is called. A gap of several intervals means that this process was
    /// paused.
    Common::milliseconds tickInterval{50};
    /// A longer gap between two inputs counts as a pause of this process.
    Common::milliseconds pauseThreshold{400};

    /// One member is probed per period.
    Common::milliseconds probePeriod{500};
    /// How long to wait for the ack of a direct probe before asking other members for indirect
    /// probes.
    Common::milliseconds probeTimeout{200};
    std::size_t indirectProbes = 3;
    /// A suspicion lasts this many probe periods, plus the binary logarithm of the member count.
    std::size_t suspicionPeriods = 4;
    /// Dead members are kept this long, so that late updates do not revive them.
    Common::milliseconds deadRetention{10 * 60 * 1000};

    /// Number of members to which a node immediately forwards new urgent information.
    std::size_t floodFanout = 4;
    std::size_t maxNotices = 512;

    /// Number of instances of a region that exchange gossip with other regions.
    std::size_t bridges = 3;
    /// Number of contacts that a region announces to other regions.
    std::size_t contactsPerRegion = 3;
    /// Minimum interval between two summaries of a region; it is at least summaryIntervalPerRegion
    /// times the number of known regions.
    Common::milliseconds summaryInterval{1000};
    Common::milliseconds summaryIntervalPerRegion{160};
    /// Minimum interval between two load reports of a member, multiplied by the members of its
    /// region. A single instance receives the reports of all: 25 per second, about 5 KB/s.
    Common::milliseconds reportIntervalPerMember{40};

    /// Number of instances of a region that watch the configuration service; fewer if
    /// readsPerSecond would be exceeded.
    std::size_t watchersPerRegion = 2;
    /// Limit on the reads per second of all watches in all regions: a tenth of what the service
    /// allows.
    double readsPerSecond = 200;
    /// How long the service holds a watch open (long polling).
    Common::milliseconds watchWait{10000};
    /// Delay before the next watch after a failed one; doubled up to the maximum.
    Common::milliseconds watchRetry{500};
    Common::milliseconds watchRetryMax{5000};
    /// How long a new instance waits to learn its peers' version before it adopts the one of the
    /// service.
    Common::milliseconds joinHold{2000};
    /// Chunks requested at once, and the timeout after which they are requested again.
    std::size_t chunkWindow = 32;
    Common::milliseconds chunkTimeout{250};
    /// Total size of the earlier versions that are kept as bases for deltas.
    std::size_t historyBytes = 4u << 20;
};

} // namespace LaburnumChute::Cluster
