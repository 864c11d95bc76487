#pragma once

#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "Decisions/Options.h"
#include "Decisions/PrefixIndex.h"

namespace LaburnumChute::Decisions {

/// Takes slow and failing endpoints out of use for a while.
///
/// Load pattern: one endpoint answers errors at once, or each of its steps takes several times the
/// usual. An endpoint that fails fast looks idle, so without ejection it draws most of the load; a
/// slow one holds a share of the callers and with it the whole tail.
/// An endpoint is judged against the median of its fellows, so that a load that slows all ejects
/// none. No more than maxEjectedShare of a group may be out, and when more than that deserve it the
/// fault is not theirs: the panic rule then excludes none (failing ones still cost more), since
/// the load of all on the few that are left would take those down as well.
/// The death of an endpoint under a request is not counted here but by Quarantine, as a dangerous
/// request would else eject every endpoint it visits.
class Ejection
{
public:
    explicit Ejection(const EjectionOptions &options);

    /// @param ratio time to first token as a multiple of what the endpoint's load explains
    void succeeded(EndpointHandle handle, double ratio, Time now);
    void failed(EndpointHandle handle, Time now);
    void forget(EndpointHandle handle);
    /// Judges the endpoints of one target, ejects within the bound and returns the ejected.
    void review(const std::vector<EndpointHandle> &group, Time now);

    bool excluded(EndpointHandle handle, Time now) const;
    /// Multiplies the expected time to first token: 1 for a usual endpoint.
    double costFactor(EndpointHandle handle) const;
    /// Share of the group whose recent tries failed.
    double failingShare(const std::vector<EndpointHandle> &group) const;
    nlohmann::json dump(EndpointHandle handle, Time now) const;

private:
    struct Health
    {
        int consecutiveFailures = 0;
        double failureRate = 0;
        double ratio = 1;
        int samples = 0;
        int ejections = 0;
        Time ejectedUntil{};
        bool panic = false;
    };

    double medianRatio(const std::vector<EndpointHandle> &group) const;
    bool deserves(const Health &health, double median) const;
    void eject(Health &health, Time now);
    const Health &health(EndpointHandle handle) const;

    EjectionOptions options_;
    std::unordered_map<EndpointHandle, Health> health_;
};

} // namespace LaburnumChute::Decisions
