#pragma once

#include "Cluster/Effects.h"
#include "Cluster/Options.h"

namespace LaburnumChute::Cluster {

/// How many instances of each region watch the service, so that the reads of all regions stay under
/// ClusterOptions::readsPerSecond. Each watch costs one read per wait and one per change.
std::size_t watchersPerRegion(const ClusterOptions &options, std::size_t regions);

/// Paces the reads of a watcher.
class ConfigurationWatch
{
public:
    explicit ConfigurationWatch(const ClusterOptions &options);

    void tick(bool watcher, Common::ConfigurationNumber newestSeen, Common::Time now,
              Effects &effects);
    /// The service answered with something new, or waited and had nothing.
    void succeeded(Common::Time now);
    /// It failed, or gave what is old: a service that is down or was set back.
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
