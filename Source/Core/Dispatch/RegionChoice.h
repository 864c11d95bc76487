#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Dispatch/Facts.h"
#include "Dispatch/Options.h"
#include "Dispatch/SpareCapacity.h"

namespace LaburnumChute::Dispatch {

/// What a request may expect in the own region.
struct HomeProspect
{
    /// Time until the first event.
    Duration expected{0};
    /// Some endpoint would be sent the request now.
    bool acceptable = false;
    /// The request is rejected if it is not forwarded.
    bool rejected = false;
};

/// Decision to forward a request.
struct RegionDecision
{
    RegionName region;
    Duration expectedAtHome{0};
    /// Time until the first event there, including the round trip.
    Duration expected{0};
    ForwardReason reason = ForwardReason::Full;
};

/// Decides whether a request is forwarded to another region that would answer sooner.
///
/// Load pattern: one region at 2.5 times its mean while others are at 0.2; regions of unequal size;
/// an evacuated failure domain. If requests left only a region that is full, they would wait there
/// up to the limit of its queues while slots elsewhere are empty. A region that uses more than
/// DispatchOptions::objectiveFraction of the objective therefore forwards before it is full. It
/// does so only for a margin, so that differences within the error of half a second old reports
/// move no load, and the margin is smaller while the other region is in use, so that the choice
/// does not change with each report. Below that fraction nothing is forwarded while an endpoint is
/// acceptable.
class RegionChoice
{
public:
    /// @param spareCapacity must outlive this object
    RegionChoice(const DispatchOptions &options, SpareCapacity &spareCapacity);

    /// Whether the other regions have to be compared with this prospect. The comparison takes time
    /// that most requests of a region without overload need not spend.
    bool applies(const CallFacts &facts, const HomeProspect &home) const;
    /// The region to forward the request to, if any is better than the own one.
    /// @param attempted regions that have failed or rejected the request
    /// @param prefill time to prefill the prompt in each region beyond what its reported wait
    ///        contains; regions that are not listed need none
    std::optional<RegionDecision> choose(const CallFacts &facts,
                                         const std::vector<RegionName> &attempted,
                                         const HomeProspect &home,
                                         const std::map<RegionName, Duration> &prefill, Time now);

private:
    Duration margin(const CallFacts &facts, const RegionName &region, Time now) const;
    bool bodyMayLeave(const CallFacts &facts, const HomeProspect &home, Time now) const;

    const DispatchOptions *options_;
    SpareCapacity *spareCapacity_;
};

} // namespace LaburnumChute::Dispatch
