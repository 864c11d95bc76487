#pragma once

#include <map>
#include <vector>

#include "Dispatch/LoadReports.h"

namespace LaburnumChute::Dispatch {

/// Services whose endpoints state that they are brittle: they end if they have to reject more than
/// a few requests within a second for want of room, and may have less room than usual.
///
/// Load pattern: a burst beyond the capacity. Instances that know of each other's requests only
/// from reports fill an endpoint's queue together and are rejected together; the endpoint ends, and
/// its load ends the next. Whether one endpoint is brittle is taken from any of its service, and
/// from any instance, so that all keep within the room before it shrinks.
class Brittleness
{
public:
    /// Records a statement unless one at least as recent is known.
    /// @return whether the service is brittle has changed
    bool update(std::uint32_t service, bool brittle, Time at);
    bool brittle(const ServiceName &service) const;
    void learn(const std::vector<BrittleReport> &reports, Time now);
    /// The services that are brittle, or have been recently.
    std::vector<BrittleReport> reports(Time now) const;

private:
    struct Statement
    {
        bool brittle = false;
        Time at{};
        /// When it was last stated that the service is brittle.
        Time brittleAt{};
    };

    /// By the service's short id.
    std::map<std::uint32_t, Statement> statements_;
};

} // namespace LaburnumChute::Dispatch
