#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "Cluster/Options.h"
#include "Cluster/Types.h"

namespace LaburnumChute::Cluster {

/// The messages to send and members to suspect after a tick.
struct ProbeActions
{
    struct Direct
    {
        Common::InstanceId target;
        std::uint32_t sequence = 0;
    };
    struct Indirect
    {
        Common::InstanceId helper;
        Common::InstanceId target;
        std::uint32_t sequence = 0;
    };
    std::vector<Direct> pings;
    std::vector<Indirect> pingRequests;
    std::vector<Common::InstanceId> suspects;
};

/// SWIM-style failure detector. It probes one member after the other: with a direct ping, then with
/// indirect pings through helpers, and suspects the member if none is answered. Each member is
/// probed once in every round over the region, so that the time to the first suspicion is bounded
/// and the load on a member does not grow with the region.
///
/// Failed probes and suspicions against this instance raise a local health score (as in Lifeguard)
/// that lengthens the timeouts, since an observer that is starved of processor time or receives
/// nothing sees all members as unresponsive.
class FailureDetector
{
public:
    FailureDetector(const ClusterOptions &options, Common::Time now);

    /// Returns the probes that are due. Peers are the members to probe, sorted by id.
    ProbeActions tick(const std::vector<Common::InstanceId> &peers, std::mt19937_64 &random,
                      Common::Time now);
    void acknowledged(std::uint32_t sequence);
    /// Another member suspected this instance.
    void selfSuspected();
    /// Drops the current probe without suspecting its target, and starts a new one at the next
    /// tick.
    void cancelProbe(Common::Time now);
    /// Postpones the deadlines of the current probe.
    void postpone(Common::Duration gap);
    std::uint32_t nextSequence()
    {
        return ++sequence_;
    }

    /// 0 if this instance is healthy; at most MaxLocalHealthScore.
    int localHealthScore() const
    {
        return localHealthScore_;
    }
    static constexpr int MaxLocalHealthScore = 3;

private:
    struct Probe
    {
        Common::InstanceId target;
        std::uint32_t sequence = 0;
        Common::Time askHelpers;
        Common::Time ends;
        bool helpersAsked = false;
        bool answered = false;
    };

    void finishProbe(const std::vector<Common::InstanceId> &peers, ProbeActions &actions);
    void askHelpers(const std::vector<Common::InstanceId> &peers, std::mt19937_64 &random,
                    ProbeActions &actions);
    void startProbe(const std::vector<Common::InstanceId> &peers, std::mt19937_64 &random,
                    Common::Time now, ProbeActions &actions);

    ClusterOptions options_;
    std::uint32_t sequence_ = 0;
    int localHealthScore_ = 0;
    Common::Time nextProbe_;
    std::optional<Probe> probe_;
    std::vector<Common::InstanceId> probeOrder_;
};

} // namespace LaburnumChute::Cluster
