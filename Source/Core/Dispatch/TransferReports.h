#pragma once

#include <map>
#include <vector>

#include "Dispatch/LoadReports.h"
#include "Dispatch/TransferModel.h"

namespace LaburnumChute::Dispatch {

/// Time of transfers by service, as learned by all instances of the region.
///
/// Each instance reports the mean of its own latest samples for each service and path: 15 bytes
/// each. A report replaces the previous one of its sender, so that a lost one does no harm.
class TransferReports
{
public:
    explicit TransferReports(const DispatchOptions &options);

    TransferModel &model(const ServiceName &service);
    const std::map<ServiceName, TransferModel> &models() const
    {
        return models_;
    }

    /// What this instance has measured, for the region's other instances.
    std::vector<TransferReport> reports(Time now) const;
    void learn(const InstanceId &instance, const std::vector<TransferReport> &reports,
               const std::map<ServiceName, Catalog::Service> &services, Time now);
    /// Removes the reports of instances that are not in the list.
    void keep(const std::vector<InstanceId> &instances);

private:
    const DispatchOptions *options_;
    std::map<ServiceName, TransferModel> models_;
};

} // namespace LaburnumChute::Dispatch
