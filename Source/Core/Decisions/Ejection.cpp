#include "Decisions/Ejection.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

constexpr double RatioSmoothing = 0.2;
constexpr double FailureSmoothing = 0.2;
/// Additional cost factor of an endpoint with a failure rate of 1.
constexpr double FailureCostFactor = 20;
constexpr double FailingThreshold = 0.5;

} // namespace

Ejection::Ejection(const EjectionOptions &options)
    : options_(options)
{
}

void Ejection::succeeded(EndpointHandle handle, double delayRatio, Time now)
{
    auto &health = health_[handle];
    health.consecutiveFailures = 0;
    health.failureRate -= FailureSmoothing * health.failureRate;
    health.delayRatio += RatioSmoothing * (delayRatio - health.delayRatio);
    ++health.samples;
    // After maxEjection without an ejection the backoff starts again at firstEjection.
    if (health.ejections > 0 && now - health.ejectedUntil > options_.maxEjection) {
        health.ejections = 0;
    }
}

void Ejection::failed(EndpointHandle handle, Time /*now*/)
{
    auto &health = health_[handle];
    ++health.consecutiveFailures;
    health.failureRate += FailureSmoothing * (1 - health.failureRate);
}

void Ejection::forget(EndpointHandle handle)
{
    health_.erase(handle);
}

const Ejection::Health &Ejection::health(EndpointHandle handle) const
{
    static const Health unknown;
    const auto found = health_.find(handle);
    return found == health_.end() ? unknown : found->second;
}

double Ejection::medianRatio(const std::vector<EndpointHandle> &group) const
{
    std::vector<double> delayRatios;
    delayRatios.reserve(group.size());
    for (const auto handle : group) {
        delayRatios.push_back(health(handle).delayRatio);
    }
    const auto middle = delayRatios.begin() + static_cast<std::ptrdiff_t>(delayRatios.size() / 2);
    std::nth_element(delayRatios.begin(), middle, delayRatios.end());
    return *middle;
}

bool Ejection::shouldEject(const Health &health, double median) const
{
    const bool failing = health.consecutiveFailures >= options_.consecutiveFailures;
    const bool slow = health.samples >= options_.slowSamples
                      && health.delayRatio > options_.slowRatio * std::max(median, 1.0);
    return failing || slow;
}

void Ejection::eject(Health &health, Time now)
{
    const auto factor = 1 << std::min(health.ejections, 8);
    health.ejectedUntil = now + std::min(options_.firstEjection * factor, options_.maxEjection);
    ++health.ejections;
    // The endpoint is evaluated from scratch when it returns.
    health.consecutiveFailures = 0;
    health.samples = 0;
    health.delayRatio = 1;
}

void Ejection::evaluate(const std::vector<EndpointHandle> &group, Time now)
{
    if (group.empty()) {
        return;
    }
    const double median = medianRatio(group);
    std::vector<Health *> toEject;
    std::size_t ejectedCount = 0;
    for (const auto handle : group) {
        auto &health = health_[handle];
        health.panic = false;
        if (health.ejectedUntil > now) {
            ++ejectedCount;
        } else if (shouldEject(health, median)) {
            toEject.push_back(&health);
        }
    }
    const auto allowed =
        static_cast<std::size_t>(options_.maxEjectedFraction * static_cast<double>(group.size()));
    if (ejectedCount + toEject.size() > allowed) {
        const bool panic = !toEject.empty();
        for (const auto handle : group) {
            health_[handle].panic = panic;
        }
        return;
    }
    for (auto *health : toEject) {
        eject(*health, now);
    }
}

bool Ejection::excluded(EndpointHandle handle, Time now) const
{
    const auto &entry = health(handle);
    return entry.ejectedUntil > now && !entry.panic;
}

double Ejection::costFactor(EndpointHandle handle) const
{
    const auto &entry = health(handle);
    return std::max(1.0, entry.delayRatio) * (1 + FailureCostFactor * entry.failureRate);
}

double Ejection::failingFraction(const std::vector<EndpointHandle> &group) const
{
    if (group.empty()) {
        return 0;
    }
    const auto failing = std::count_if(group.begin(), group.end(), [this](EndpointHandle handle) {
        return health(handle).failureRate > FailingThreshold;
    });
    return static_cast<double>(failing) / static_cast<double>(group.size());
}

nlohmann::json Ejection::dump(EndpointHandle handle, Time now) const
{
    const auto &entry = health(handle);
    return {{"excluded", excluded(handle, now)},
            {"panic", entry.panic},
            {"failure_rate", entry.failureRate},
            {"slowness", entry.delayRatio},
            {"ejections", entry.ejections}};
}

} // namespace LaburnumChute::Decisions
