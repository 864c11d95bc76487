#pragma once

#include <deque>
#include <string>
#include <vector>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// How many requests a second this instance may send to an endpoint that is cold.
///
/// What goes wrong without it: an endpoint that has just started tolerates a few requests a second
/// and crashes well above; the instances of its region, which all see an idle endpoint, send theirs
/// at once, and it crashes again and again. The bound holds for all instances together. None of
/// them knows what the others send, so each has a fixed part, and where the bound is smaller than
/// their number only some have one.
class ColdGate
{
public:
    /// Sends that are allowed in any span of one second.
    static int quota(double bound, const EndpointId &endpoint, const InstanceId &self,
                     const std::vector<InstanceId> &instances);

    bool allows(int quota, Time now) const;
    void sent(Time now);

private:
    /// Within the last second.
    std::deque<Time> sends_;
};

} // namespace LaburnumChute::Dispatch
