#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Which instances of the region reach the endpoints of which services.
///
/// Load pattern: some instances lose their paths to all endpoints, while callers and the other
/// instances still reach them. To such an instance, the endpoints look as if they had failed; its
/// neighbors' reports tell the difference. It hands its requests over to one that reaches the
/// endpoints, and the others divide the slots among themselves.
class Reachability
{
public:
    explicit Reachability(InstanceId self);

    /// Live instances of the region, including this one.
    void setInstances(const std::vector<InstanceId> &instances);
    /// Records the services of which the instance reaches no endpoint.
    /// @param services short ids
    void reported(const InstanceId &instance, const std::vector<std::uint32_t> &services);

    /// A random other instance that has reported and reaches the service.
    std::optional<InstanceId> chooseNeighbor(const ServiceName &service,
                                             const std::vector<InstanceId> &excluded,
                                             std::mt19937_64 &random) const;

    /// Instances that use a service's endpoints, and the position of this one among them, ordered
    /// by id.
    struct Sharers
    {
        std::size_t count = 1;
        std::size_t rank = 0;
    };
    /// Counts this instance and all others that are not known to reach no endpoint.
    Sharers sharers(const ServiceName &service) const;
    /// Counts all live instances of the region.
    const Sharers &all() const
    {
        return all_;
    }

private:
    bool reaches(const InstanceId &instance, std::uint32_t service) const;

    InstanceId self_;
    std::vector<InstanceId> instances_;
    /// Services that an instance does not reach; there is an entry for each that has reported.
    std::map<InstanceId, std::vector<std::uint32_t>> unreachable_;
    /// Entries that name a service.
    std::ptrdiff_t limitedInstances_ = 0;
    Sharers all_;
};

} // namespace LaburnumChute::Dispatch
