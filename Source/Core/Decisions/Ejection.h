#pragma once

#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "Decisions/Options.h"
#include "Decisions/PrefixIndex.h"

namespace LaburnumChute::Decisions {

/// Outlier detection: ejects slow and failing endpoints for a while.
///
/// Load pattern: one endpoint fails requests immediately, or each of its steps takes several times
/// as long as usual. An endpoint that fails fast looks idle, so without ejection it attracts most
/// of the load; a slow one delays a fraction of the callers and determines the tail latency.
/// Endpoints are compared with the median of their group, so that load that slows all of them
/// ejects none. At most maxEjectedFraction of a group may be ejected. If more qualify, the cause is
/// not the endpoints: the panic rule then excludes none (failing ones still cost more), since the
/// load of all would overload the few that are left.
/// An endpoint that dies while it has a request is not counted here but by Quarantine; otherwise a
/// dangerous request would eject every endpoint it runs on.
class Ejection
{
public:
    explicit Ejection(const EjectionOptions &options);

    /// @param delayRatio time to first token divided by the time expected at the endpoint's load
    void succeeded(EndpointHandle handle, double delayRatio, Time now);
    void failed(EndpointHandle handle, Time now);
    void forget(EndpointHandle handle);
    /// Evaluates the endpoints of one target and ejects those that qualify, within
    /// maxEjectedFraction.
    void evaluate(const std::vector<EndpointHandle> &group, Time now);

    bool excluded(EndpointHandle handle, Time now) const;
    /// Factor for the expected time to first token; 1 for a normal endpoint.
    double costFactor(EndpointHandle handle) const;
    /// Fraction of the group whose recent attempts mostly failed.
    double failingFraction(const std::vector<EndpointHandle> &group) const;
    nlohmann::json dump(EndpointHandle handle, Time now) const;

private:
    struct Health
    {
        int consecutiveFailures = 0;
        double failureRate = 0;
        double delayRatio = 1;
        int samples = 0;
        int ejections = 0;
        Time ejectedUntil{};
        bool panic = false;
    };

    double medianRatio(const std::vector<EndpointHandle> &group) const;
    bool shouldEject(const Health &health, double median) const;
    void eject(Health &health, Time now);
    const Health &health(EndpointHandle handle) const;

    EjectionOptions options_;
    std::unordered_map<EndpointHandle, Health> health_;
};

} // namespace LaburnumChute::Decisions
