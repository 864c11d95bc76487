#include "Dispatch/Scheduler.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

bool Scheduler::isRestricted(const CallFacts &facts) const
{
    return spareCapacity_.excludesRegion(facts.service, facts.allowedRegions);
}

bool Scheduler::yieldToRestricted(Call &call, Time now, Effects &effects)
{
    const auto &facts = call.facts;
    // A request that names regions is taken for restricted here, whichever regions are reached now.
    const bool mayYield = regionYield_.yields(shortId(facts.service), now) && !facts.forwarded
                          && call.attempts == 0 && facts.allowedRegions.empty()
                          && crashes_.mayStart(call.keys, now);
    if (!mayYield) {
        return false;
    }
    // Regions that yield to each other would only exchange requests.
    const auto excluded = spareCapacity_.yielding(facts.service, now);
    const auto offer = spareCapacity_.best(facts.service, facts.allowedRegions, excluded, now);
    if (!offer) {
        return false;
    }
    const auto *service = table_.service(facts.service);
    const auto prefill = service != nullptr && service->engine
                             ? table_.engine(facts.service).prefillTime(facts.promptTokens)
                             : Duration(0);
    const auto firstEventAt = now + options_.regionRoundTrip + offer->wait + prefill;
    return firstEventAt <= facts.objectiveAt
           && forward(call, offer, ForwardReason::Yield, now, effects);
}

void Scheduler::updateYield(Time now)
{
    std::map<std::uint32_t, int> waiting;
    for (const auto &[key, id] : queue_) {
        const auto &call = calls_.at(id);
        const auto &facts = call.facts;
        // A request that was attempted may wait for other reasons. A shorter wait leaves the
        // request in time and is common wherever instances share slots.
        const auto lacksAfter = scaled(facts.objectiveAt - facts.arrivedAt, options_.waitFraction);
        if (call.attempts == 0 && now - facts.arrivedAt >= lacksAfter && isRestricted(facts)) {
            ++waiting[shortId(facts.service)];
        }
    }
    regionYield_.setWaiting(waiting);
    for (const auto &[name, service] : table_.services()) {
        regionYield_.update(shortId(name), table_.sentPerSecond(name, now), now);
    }
}

std::vector<YieldTime> Scheduler::takeYieldTimes()
{
    std::vector<YieldTime> times;
    for (const auto &[name, service] : table_.services()) {
        if (const auto seconds = regionYield_.takeSeconds(shortId(name))) {
            times.push_back({name, seconds});
        }
    }
    return times;
}

nlohmann::json Scheduler::dumpYield(Time now)
{
    auto states = nlohmann::json::object();
    for (const auto &[name, service] : table_.services()) {
        auto state = regionYield_.dump(shortId(name), now);
        if (!state.is_null()) {
            states[name.text()] = std::move(state);
        }
    }
    return states;
}

} // namespace LaburnumChute::Dispatch
