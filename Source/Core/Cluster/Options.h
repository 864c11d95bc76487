#pragma once

#include <cstddef>

#include "Common/Time.h"

namespace LaburnumChute::Cluster {

/// Times and bounds of membership and configuration spread. The defaults are for 94 instances in a
/// region, 31 regions and a loss of 5%; docs/design/membership.md says where they come from.
struct ClusterOptions
{
    /// How often tick() is called; a gap of several of these means that this process was paused.
    Common::milliseconds tickInterval{50};
    /// A gap between two inputs from which this process holds itself to have been paused.
    Common::milliseconds pauseThreshold{400};

    /// One member is probed in each period.
    Common::milliseconds probePeriod{500};
    /// Wait for the answer to a direct probe before others are asked to probe.
    Common::milliseconds probeTimeout{200};
    std::size_t indirectProbes = 3;
    /// A suspicion lasts this many probe periods plus the binary logarithm of the members.
    std::size_t suspicionPeriods = 4;
    /// A dead member is remembered for this long, so that late claims do not bring it back.
    Common::milliseconds deadRetention{10 * 60 * 1000};

    /// Members that a node tells at once what it newly learnt and all must know soon.
    std::size_t floodFanout = 4;
    std::size_t maxNotices = 512;

    /// Instances of a region that speak with other regions.
    std::size_t bridges = 3;
    /// Contacts that a region names to the others.
    std::size_t contactsPerRegion = 3;
    /// A region makes a new summary no more often than this, and for each region it knows no more
    /// often than summaryIntervalPerRegion.
    Common::milliseconds summaryInterval{1000};
    Common::milliseconds summaryIntervalPerRegion{160};
    /// A member reports its load no more often than this for each member of its region, since one
    /// instance receives the reports of all: 25 a second, about 5 KB/s.
    Common::milliseconds reportIntervalPerMember{40};

    /// Instances of a region that watch the configuration service. Fewer when the service's reads
    /// would not suffice.
    std::size_t watchersPerRegion = 2;
    /// Reads a second, over all regions, that the watches may take: a tenth of what the service
    /// gives.
    double readsPerSecond = 200;
    /// How long a watch waits at the service.
    Common::milliseconds watchWait{10000};
    /// Before a watch after a failed one; doubled up to the maximum.
    Common::milliseconds watchRetry{500};
    Common::milliseconds watchRetryMax{5000};
    /// A new instance waits this long for word of its peers' version before it takes the service's.
    Common::milliseconds joinHold{2000};
    /// Chunks asked for at once, and the wait before they are asked for again.
    std::size_t chunkWindow = 32;
    Common::milliseconds chunkTimeout{250};
    /// Bytes of earlier versions that are kept to make deltas from.
    std::size_t historyBytes = 4u << 20;
};

} // namespace LaburnumChute::Cluster
