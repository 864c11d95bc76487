#include "Dispatch/ColdRateLimit.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/RateLimit.h"

namespace LaburnumChute::Dispatch {

namespace {

/// The one second that the limit applies to, plus a margin for varying network delays.
constexpr milliseconds Window{1100};

} // namespace

int ColdRateLimit::quota(double bound, const EndpointId &endpoint, const InstanceId &self,
                         const std::vector<InstanceId> &known, std::size_t count)
{
    const auto total = static_cast<std::size_t>(std::max(1.0, std::floor(bound)));
    if (total >= count) {
        return static_cast<int>(total / count);
    }
    // Instances that do not know each other rank themselves apart, each group for its part.
    const auto holders = total * known.size() / count;
    return rendezvousRank(endpoint, self, known) < holders ? 1 : 0;
}

bool ColdRateLimit::allows(int quota, Time now) const
{
    const auto recent = std::count_if(sends_.begin(), sends_.end(),
                                      [&](Time sent) { return now - sent <= Window; });
    return recent < quota;
}

void ColdRateLimit::sent(Time now)
{
    sends_.push_back(now);
    while (now - sends_.front() > Window) {
        sends_.pop_front();
    }
}

} // namespace LaburnumChute::Dispatch
