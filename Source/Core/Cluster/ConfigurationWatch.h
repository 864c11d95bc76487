#pragma once

#include "Cluster/Effects.h"
#include "Cluster/Options.h"

namespace LaburnumChute::Cluster {

/// Number of instances per region that may watch the service without exceeding
/// ClusterOptions::readsPerSecond over all regions. Each watcher costs one read per wait and one
/// per change.
std::size_t watchersPerRegion(const ClusterOptions &options, std::size_t regions);

/// Schedules the reads of a watcher.
class ConfigurationWatch
{
public:
    explicit ConfigurationWatch(const ClusterOptions &options);

    void tick(bool watcher, Common::ConfigurationNumber newestSeen, Common::Time now,
              Effects &effects);
    /// The service returned a new version, or none after the wait.
    void succeeded(Common::Time now);
    /// The read failed or returned an old version: the service is down or was restored from a
    /// backup.
    void failed(Common::Time now);

    bool reading() const
    {
        return reading_;
    }
    std::uint64_t reads() const
    {
        return reads_;
    }
    std::uint64_t failures() const
    {
        return failures_;
    }

private:
    ClusterOptions options_;
    bool reading_ = false;
    Common::Time nextRead_;
    Common::milliseconds backoff_;
    std::uint64_t reads_ = 0;
    std::uint64_t failures_ = 0;
};

} // namespace LaburnumChute::Cluster
