#include "Dispatch/RegionChoice.h"

#include <algorithm>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

RegionChoice::RegionChoice(const DispatchOptions &options, SpareCapacity &spareCapacity)
    : options_(&options)
    , spareCapacity_(&spareCapacity)
{
}

bool RegionChoice::applies(const CallFacts &facts, const HomeProspect &home) const
{
    const auto objective = facts.objectiveAt - facts.arrivedAt;
    return !facts.forwarded
           && (!home.acceptable || home.expected > scaled(objective, options_->objectiveFraction));
}

Duration RegionChoice::margin(const CallFacts &facts, const RegionName &region, Time now) const
{
    const auto objective = facts.objectiveAt - facts.arrivedAt;
    const bool inUse = spareCapacity_->inUse(region, facts.service, now);
    return scaled(objective, inUse ? options_->regionKeepMargin : options_->regionStartMargin);
}

/// A link between regions carries all traffic between them: about a thousand bodies of long prompts
/// per second fill one of 150 Mbit/s.
bool RegionChoice::bodyMayLeave(const CallFacts &facts, const HomeProspect &home, Time now) const
{
    return facts.bodyBytes < options_->largeBodyBytes || home.rejected
           || now + home.expected > facts.objectiveAt;
}

std::optional<RegionDecision> RegionChoice::choose(const CallFacts &facts,
                                                   const std::vector<RegionName> &attempted,
                                                   const HomeProspect &home,
                                                   const std::map<RegionName, Duration> &prefill,
                                                   Time now)
{
    if (!applies(facts, home) || !bodyMayLeave(facts, home, now)) {
        return std::nullopt;
    }
    std::optional<RegionDecision> best;
    for (const auto &offer :
         spareCapacity_->offers(facts.service, facts.allowedRegions, attempted, now)) {
        const auto extra = prefill.find(offer.region);
        const auto expected = options_->regionRoundTrip + offer.wait
                              + (extra != prefill.end() ? extra->second : Duration(0));
        const auto needed = home.acceptable ? margin(facts, offer.region, now) : Duration(0);
        if (expected + needed < home.expected && (!best || expected < best->expected)) {
            const auto reason = home.acceptable ? ForwardReason::Early : ForwardReason::Full;
            best = RegionDecision{offer.region, home.expected, expected, reason};
        }
    }
    return best;
}

} // namespace LaburnumChute::Dispatch
