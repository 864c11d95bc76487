#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "Cluster/Options.h"
#include "Cluster/Types.h"

namespace LaburnumChute::Cluster {

/// What a round of probing asks for.
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

/// Probes one member after the other: a ping, then pings by helpers, then a suspicion. Each member
/// is probed once in every pass over the region, so that the time to the first suspicion is
/// bounded, and the load on a member does not grow with the region.
///
/// The observer doubts itself first. Failed probes and suspicions against itself raise a score that
/// makes it wait longer, since an observer that is starved of processor time or receives nothing
/// finds everybody silent.
class FailureDetector
{
public:
    FailureDetector(const ClusterOptions &options, Common::Time now);

    /// The probes that are due. Peers are the members to be watched.
    ProbeActions tick(const std::vector<Common::InstanceId> &peers, std::mt19937_64 &random,
                      Common::Time now);
    void acknowledged(std::uint32_t sequence);
    /// Others suspected this instance.
    void selfSuspected();
    /// Drops the probe under way without a verdict, and begins a new one at once.
    void cancelProbe(Common::Time now);
    /// Moves the deadlines of the probe under way.
    void postpone(Common::Duration gap);
    std::uint32_t nextSequence()
    {
        return ++sequence_;
    }

    /// 0 when all is well, up to MaxLocalHealthScore.
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
