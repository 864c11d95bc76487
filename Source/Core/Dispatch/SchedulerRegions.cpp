#include <algorithm>

#include "Dispatch/Scheduler.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Half of the interval of load reports; demand changes no faster than it is reported.
constexpr milliseconds DivisionInterval{125};
/// Added to the demand of each instance, in requests per second: one that gets no slot at home
/// sends nothing there and could never forward. As for the fractions of rate limits.
constexpr double BaseDemand = 1;

} // namespace

// Forwarding to other regions.

void Scheduler::setRegions(std::map<Common::FailureDomainName, RegionName> regions)
{
    regions_ = std::move(regions);
}

/// All instances of the region use the figures of load reports, their own one included, so that
/// their fractions add up to 1 except for reports under way. An instance without a report counts
/// with the mean of the others.
void Scheduler::divideSpareCapacity(Time now)
{
    if (now - spareCapacityDividedAt_ < DivisionInterval) {
        return;
    }
    spareCapacityDividedAt_ = now;
    for (const auto &[name, service] : table_.services()) {
        const auto reported = reportedDemand_.find(name);
        const double own = BaseDemand + (reported != reportedDemand_.end() ? reported->second : 0);
        double sum = own;
        double known = 1;
        for (const auto &instance : instances_) {
            const auto demand = instance != self_ ? table_.reportedPerSecond(instance, name)
                                                  : std::optional<double>();
            sum += demand ? BaseDemand + *demand : 0;
            known += demand ? 1 : 0;
        }
        const auto instances = static_cast<double>(std::max<std::size_t>(1, instances_.size()));
        spareCapacity_.setFraction(name, own / sum * known / instances, now);
    }
}

std::map<RegionName, Duration> Scheduler::prefillElsewhere(const CallFacts &facts)
{
    std::map<RegionName, Duration> prefill;
    const auto *service = table_.service(facts.service);
    if (service == nullptr || !service->engine) {
        return prefill;
    }
    std::map<RegionName, std::int64_t> cached;
    for (const auto &[domain, region] : regions_) {
        cached[region] = 0;
    }
    for (const auto *remote : table_.remote(facts.service)) {
        const auto region = regions_.find(remote->listed.record.failureDomain);
        if (region != regions_.end()) {
            auto &most = cached[region->second];
            most = std::max(most, remote->cache.cachedTokens(facts.parts));
        }
    }
    for (const auto &[region, tokens] : cached) {
        // The reported wait contains the prefill of a short prompt.
        const auto missing = facts.promptTokens - tokens - SpareCapacity::NominalTokens;
        prefill[region] =
            table_.engine(facts.service).prefillTime(std::max<std::int64_t>(0, missing));
    }
    return prefill;
}

HomeProspect Scheduler::homeProspect(const Call &call, const std::optional<Candidate> &candidate,
                                     Duration wait, bool rejected, Time now)
{
    HomeProspect home;
    home.acceptable = candidate && placement_.shouldSend(call, *candidate, now);
    if (home.acceptable) {
        home.expected = candidate->expected;
        return home;
    }
    const auto *service = table_.service(call.facts.service);
    const bool engine = service != nullptr && service->engine.has_value();
    // The wait for a plain endpoint includes the call itself.
    home.expected = wait + (engine ? timeToFirstEvent(call, candidate) : Duration(0));
    home.rejected = rejected;
    return home;
}

bool Scheduler::sendOrForward(Call &call, const std::optional<Candidate> &candidate, Time now,
                              Effects &effects)
{
    if (!candidate || !placement_.shouldSend(call, *candidate, now)) {
        return false;
    }
    return forwardIfBetter(call, candidate, candidate->wait, false, now, effects)
           || send(call, *candidate, now, effects);
}

bool Scheduler::forwardIfBetter(Call &call, const std::optional<Candidate> &candidate,
                                Duration wait, bool rejected, Time now, Effects &effects)
{
    const auto home = homeProspect(call, candidate, wait, rejected, now);
    if (!regionChoice_.applies(call.facts, home)) {
        return false;
    }
    const auto decision = regionChoice_.choose(call.facts, call.attemptedRegions, home,
                                               prefillElsewhere(call.facts), now);
    if (!decision) {
        return false;
    }
    forward(call, *decision, home.expected, now, effects);
    return true;
}

} // namespace LaburnumChute::Dispatch
