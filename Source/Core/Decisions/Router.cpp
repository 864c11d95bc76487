#include "Decisions/Router.h"

#include <algorithm>
#include <limits>

namespace LaburnumChute::Decisions {

namespace {

/// Prefill tokens per second, until an endpoint reports its rate.
constexpr double DefaultPrefillRate = 5000;
constexpr double BusyFraction = 0.5;

double prefillRate(const EndpointState &state)
{
    const double reported = state.load.lastReport().prefillTokensPerSecond;
    return reported > 0 ? reported : DefaultPrefillRate;
}

} // namespace

Router::Router(const RoutingOptions &options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
}

std::size_t Router::randomBelow(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

Duration Router::expectedFirstToken(const EndpointState &state, double prefillTokens,
                                    Time now) const
{
    const auto &report = state.load.lastReport();
    double wait = Common::toSeconds(report.stepTime);
    wait += (state.load.pendingPrefillTokens(now) + prefillTokens) / prefillRate(state);
    const auto batch = static_cast<double>(report.batchLimit);
    const double excess = state.load.inFlight(now) + 1 - batch;
    if (batch > 0 && excess > 0) {
        wait += excess * state.meanServiceSeconds / batch;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

EndpointChoice Router::makeChoice(EndpointHandle handle, const Context &context) const
{
    const auto &state = context.table.at(handle);
    const auto uncached = std::max<std::int64_t>(0, context.facts.promptTokens
                                                        - context.holders.cachedTokens(handle));
    EndpointChoice result{handle, static_cast<double>(uncached), {}};
    result.expectedFirstToken = expectedFirstToken(state, result.prefillTokens, context.now);
    return result;
}

double Router::cost(const EndpointChoice &choice, const ExpectedCostPolicy &policy,
                    const Context &context) const
{
    const auto &state = context.table.at(choice.handle);
    double seconds = Common::toSeconds(choice.expectedFirstToken);
    seconds *= context.ejection.costFactor(choice.handle);
    seconds += policy.prefillWeight * choice.prefillTokens / prefillRate(state);
    const double steps = static_cast<double>(context.facts.expectedOutputTokens)
                         * Common::toSeconds(state.load.lastReport().stepTime);
    seconds += policy.packWeight * steps / (1 + state.load.inFlight(context.now));
    if (!state.hasAdapter(context.facts.target.adapter)) {
        seconds += Common::toSeconds(options_.adapterLoadTime);
    }
    return seconds;
}

std::optional<EndpointChoice> Router::choose(const RequestFacts &facts, const EndpointTable &table,
                                             const PrefixIndex &prefixes, const Ejection &ejection,
                                             Time now, const Allowed &allowed,
                                             bool mayWaitForBetter)
{
    const auto &candidates = table.candidates(facts.target.base());
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto holders = prefixes.holders(facts.prefixBlocks);
    const Context context{facts, table, ejection, holders, allowed, now, mayWaitForBetter};
    return std::visit([&](const auto &policy) { return pick(policy, context, candidates); },
                      options_.policy);
}

std::optional<EndpointChoice> Router::pick(const ExpectedCostPolicy &policy, const Context &context,
                                           const std::vector<EndpointHandle> &candidates)
{
    std::optional<EndpointChoice> best;
    double bestCost = std::numeric_limits<double>::infinity();
    double bestFullCost = std::numeric_limits<double>::infinity();
    const auto consider = [&](EndpointHandle handle) {
        if (context.ejection.excluded(handle, context.now) || !context.allowed(handle)) {
            return false;
        }
        const bool spareCapacity = context.table.hasSpareCapacity(handle, context.now);
        if (!spareCapacity && !context.mayWaitForBetter) {
            return false;
        }
        const auto candidate = makeChoice(handle, context);
        const double candidateCost = cost(candidate, policy, context);
        if (!spareCapacity) {
            bestFullCost = std::min(bestFullCost, candidateCost);
            return false;
        }
        if (candidateCost < bestCost) {
            bestCost = candidateCost;
            best = candidate;
        }
        return true;
    };

    const std::size_t start = randomBelow(candidates.size());
    const bool all = candidates.size() <= static_cast<std::size_t>(policy.compareAllUpTo);
    if (!all) {
        for (std::size_t index = 0; index < context.holders.count; ++index) {
            const EndpointHandle handle = context.holders.holders[index].handle;
            if (std::find(candidates.begin(), candidates.end(), handle) != candidates.end()) {
                consider(handle);
            }
        }
    }
    // Starting at a random candidate breaks ties at random. At full load the search continues until
    // it has found enough endpoints with spare capacity.
    int found = 0;
    for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
        const EndpointHandle handle = candidates[(start + offset) % candidates.size()];
        found += consider(handle) ? 1 : 0;
        if (!all && found >= policy.choices) {
            break;
        }
    }
    // A prefill on an endpoint that is at least half idle delays nobody.
    const bool busy = best
                      && context.table.at(best->handle).load.inFlight(context.now)
                             > BusyFraction * context.table.limit(best->handle, context.now);
    if (busy && bestFullCost < bestCost) {
        return std::nullopt;
    }
    return best;
}

std::optional<EndpointChoice> Router::pick(const RoundRobinPolicy & /*policy*/,
                                           const Context &context,
                                           const std::vector<EndpointHandle> &candidates)
{
    return makeChoice(candidates[nextRoundRobin_++ % candidates.size()], context);
}

std::optional<EndpointChoice> Router::pick(const LeastInFlightPolicy & /*policy*/,
                                           const Context &context,
                                           const std::vector<EndpointHandle> &candidates)
{
    const std::size_t start = randomBelow(candidates.size());
    EndpointHandle best = candidates[start];
    for (std::size_t offset = 1; offset < candidates.size(); ++offset) {
        const EndpointHandle handle = candidates[(start + offset) % candidates.size()];
        if (context.table.at(handle).load.ownInFlight()
            < context.table.at(best).load.ownInFlight()) {
            best = handle;
        }
    }
    return makeChoice(best, context);
}

std::optional<EndpointChoice> Router::pick(const RandomOfTwoPolicy & /*policy*/,
                                           const Context &context,
                                           const std::vector<EndpointHandle> &candidates)
{
    const EndpointHandle one = candidates[randomBelow(candidates.size())];
    const EndpointHandle two = candidates[randomBelow(candidates.size())];
    const bool second = context.table.at(two).load.inFlight(context.now)
                        < context.table.at(one).load.inFlight(context.now);
    return makeChoice(second ? two : one, context);
}

} // namespace LaburnumChute::Decisions
