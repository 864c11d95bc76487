#include "Decisions/Ejection.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

constexpr double RatioWeight = 0.2;
constexpr double FailureWeight = 0.2;
/// A failing endpoint looks this many times dearer at a failure rate of 1.
constexpr double FailureCost = 20;
constexpr double FailingAbove = 0.5;

} // namespace

Ejection::Ejection(const EjectionOptions &options)
    : options_(options)
{
}

void Ejection::succeeded(EndpointHandle handle, double ratio, Time now)
{
    auto &health = health_[handle];
    health.consecutiveFailures = 0;
    health.failureRate -= FailureWeight * health.failureRate;
    health.ratio += RatioWeight * (ratio - health.ratio);
    ++health.samples;
    // Long after its last ejection an endpoint is judged as if it had never been out.
    if (health.ejections > 0 && now - health.ejectedUntil > options_.maxEjection) {
        health.ejections = 0;
    }
}

void Ejection::failed(EndpointHandle handle, Time /*now*/)
{
    auto &health = health_[handle];
    ++health.consecutiveFailures;
    health.failureRate += FailureWeight * (1 - health.failureRate);
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
    std::vector<double> ratios;
    ratios.reserve(group.size());
    for (const auto handle : group) {
        ratios.push_back(health(handle).ratio);
    }
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

bool Ejection::deserves(const Health &health, double median) const
{
    const bool failing = health.consecutiveFailures >= options_.consecutiveFailures;
    const bool slow = health.samples >= options_.slowSamples
                      && health.ratio > options_.slowRatio * std::max(median, 1.0);
    return failing || slow;
}

void Ejection::eject(Health &health, Time now)
{
    const auto factor = 1 << std::min(health.ejections, 8);
    health.ejectedUntil = now + std::min(options_.firstEjection * factor, options_.maxEjection);
    ++health.ejections;
    // Judged anew when it returns.
    health.consecutiveFailures = 0;
    health.samples = 0;
    health.ratio = 1;
}

void Ejection::review(const std::vector<EndpointHandle> &group, Time now)
{
    if (group.empty()) {
        return;
    }
    const double median = medianRatio(group);
    std::vector<Health *> deserving;
    std::size_t out = 0;
    for (const auto handle : group) {
        auto &health = health_[handle];
        health.panic = false;
        if (health.ejectedUntil > now) {
            ++out;
        } else if (deserves(health, median)) {
            deserving.push_back(&health);
        }
    }
    const auto allowed =
        static_cast<std::size_t>(options_.maxEjectedShare * static_cast<double>(group.size()));
    if (out + deserving.size() > allowed) {
        const bool panic = !deserving.empty();
        for (const auto handle : group) {
            health_[handle].panic = panic;
        }
        return;
    }
    for (auto *health : deserving) {
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
    return std::max(1.0, entry.ratio) * (1 + FailureCost * entry.failureRate);
}

double Ejection::failingShare(const std::vector<EndpointHandle> &group) const
{
    if (group.empty()) {
        return 0;
    }
    const auto failing = std::count_if(group.begin(), group.end(), [this](EndpointHandle handle) {
        return health(handle).failureRate > FailingAbove;
    });
    return static_cast<double>(failing) / static_cast<double>(group.size());
}

nlohmann::json Ejection::dump(EndpointHandle handle, Time now) const
{
    const auto &entry = health(handle);
    return {{"excluded", excluded(handle, now)},
            {"panic", entry.panic},
            {"failure_rate", entry.failureRate},
            {"slowness", entry.ratio},
            {"ejections", entry.ejections}};
}

} // namespace LaburnumChute::Decisions
