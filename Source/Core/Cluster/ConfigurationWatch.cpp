#include "Cluster/ConfigurationWatch.h"

#include <algorithm>

namespace LaburnumChute::Cluster {

namespace {

/// Expected rate of changes.
constexpr double ChangesPerSecond = 8300.0 / 86400.0;
/// Minimum interval between two reads. Without it, a service that ignores the wait would be polled
/// in a tight loop.
constexpr Common::milliseconds MinReadInterval{100};

} // namespace

std::size_t watchersPerRegion(const ClusterOptions &options, std::size_t regions)
{
    const double readsPerWatcher = 1.0 / Common::toSeconds(options.watchWait) + ChangesPerSecond;
    const double affordable =
        options.readsPerSecond
        / (readsPerWatcher * static_cast<double>(std::max<std::size_t>(regions, 1)));
    const auto maxWatchers = static_cast<double>(options.watchersPerRegion);
    return static_cast<std::size_t>(std::clamp(affordable, 1.0, std::max(maxWatchers, 1.0)));
}

ConfigurationWatch::ConfigurationWatch(const ClusterOptions &options)
    : options_(options)
    , backoff_(options.watchRetry)
{
}

void ConfigurationWatch::tick(bool watcher, Common::ConfigurationNumber newestSeen,
                              Common::Time now, Effects &effects)
{
    if (!watcher && reading_) {
        reading_ = false;
        effects.push_back(StopReadingConfiguration{});
    }
    if (!watcher || reading_ || now < nextRead_) {
        return;
    }
    reading_ = true;
    ++reads_;
    effects.push_back(ReadConfiguration{newestSeen, options_.watchWait});
}

void ConfigurationWatch::succeeded(Common::Time now)
{
    reading_ = false;
    backoff_ = options_.watchRetry;
    nextRead_ = now + MinReadInterval;
}

void ConfigurationWatch::failed(Common::Time now)
{
    reading_ = false;
    ++failures_;
    nextRead_ = now + backoff_;
    backoff_ = std::min(backoff_ * 2, options_.watchRetryMax);
}

} // namespace LaburnumChute::Cluster
