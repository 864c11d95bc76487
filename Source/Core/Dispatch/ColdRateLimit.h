#pragma once

#include <deque>
#include <string>
#include <vector>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Limits how many requests per second this instance sends to a cold endpoint.
///
/// An endpoint that has just started tolerates a few requests per second and crashes well above
/// that rate. Without a limit all instances of its region see an idle endpoint and send to it at
/// once, and it crashes again and again. The limit applies to all instances together. They do not
/// know what the others send, so each has a fixed quota; if the limit is smaller than the number of
/// instances, only some of them have one. Instances that are not heard from keep their quotas,
/// since they may be partitioned from this one only.
class ColdRateLimit
{
public:
    /// Requests that this instance may send in any period of one second.
    /// @param known instances of the region that are known, including this one
    /// @param count how many there may be; at least as many as are known
    static int quota(double bound, const EndpointId &endpoint, const InstanceId &self,
                     const std::vector<InstanceId> &known, std::size_t count);

    bool allows(int quota, Time now) const;
    void sent(Time now);

private:
    /// Times of the requests that were sent within the window.
    std::deque<Time> sends_;
};

} // namespace LaburnumChute::Dispatch
