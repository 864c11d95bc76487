#include "Decisions/Router.h"

#include <algorithm>
#include <limits>

namespace LaburnumChute::Decisions {

namespace {

/// Until an endpoint reports its rate of prefill, in tokens a second.
constexpr double AssumedPrefillRate = 5000;
constexpr double HalfIdle = 0.5;

double prefillRate(const EndpointState &state)
{
    const double reported = state.load.lastReport().prefillTokensPerSecond;
    return reported > 0 ? reported : AssumedPrefillRate;
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
        wait += excess * state.holdSeconds / batch;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

Placed Router::placed(EndpointHandle handle, const Context &context) const
{
    const auto &state = context.table.at(handle);
    const auto uncached =
        std::max<std::int64_t>(0, context.facts.promptTokens - context.holders.cachedTokens(handle));
    Placed result{handle, static_cast<double>(uncached), {}};
    result.expectedFirstToken = expectedFirstToken(state, result.prefillTokens, context.now);
    return result;
}

double Router::cost(const Placed &placed, const ExpectedCostPolicy &policy,
                    const Context &context) const
{
    const auto &state = context.table.at(placed.handle);
    double seconds = Common::toSeconds(placed.expectedFirstToken);
    seconds *= context.ejection.costFactor(placed.handle);
    seconds += policy.prefillWeight * placed.prefillTokens / prefillRate(state);
    const double steps = static_cast<double>(context.facts.expectedOutputTokens)
                         * Common::toSeconds(state.load.lastReport().stepTime);
    seconds += policy.packWeight * steps / (1 + state.load.inFlight(context.now));
    if (!state.hasAdapter(context.facts.target.adapter)) {
        seconds += Common::toSeconds(options_.adapterLoadTime);
    }
    return seconds;
}

std::optional<Placed> Router::choose(const RequestFacts &facts, const EndpointTable &table,
                                     const PrefixIndex &prefixes, const Ejection &ejection,
                                     Time now, const Allowed &allowed, bool mayHold)
{
    const auto &candidates = table.candidates(facts.target.base());
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto holders = prefixes.holders(facts.prefixBlocks);
    const Context context{facts, table, ejection, holders, allowed, now, mayHold};
    return std::visit([&](const auto &policy) { return pick(policy, context, candidates); },
                      options_.policy);
}

std::optional<Placed> Router::pick(const ExpectedCostPolicy &policy, const Context &context,
                                   const std::vector<EndpointHandle> &candidates)
{
    std::optional<Placed> best;
    double bestCost = std::numeric_limits<double>::infinity();
    double bestFull = std::numeric_limits<double>::infinity();
    const auto consider = [&](EndpointHandle handle) {
        if (context.ejection.excluded(handle, context.now) || !context.allowed(handle)) {
            return false;
        }
        const bool room = context.table.hasRoom(handle, context.now);
        if (!room && !context.mayHold) {
            return false;
        }
        const auto candidate = placed(handle, context);
        const double candidateCost = cost(candidate, policy, context);
        if (!room) {
            bestFull = std::min(bestFull, candidateCost);
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
    // From a random place on: equal costs are then settled at random, and under a full load the
    // search goes on until it has seen enough endpoints with room.
    int found = 0;
    for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
        const EndpointHandle handle = candidates[(start + offset) % candidates.size()];
        found += consider(handle) ? 1 : 0;
        if (!all && found >= policy.choices) {
            break;
        }
    }
    // While an endpoint is half idle a prefill there holds up nobody.
    const bool busy = best
                      && context.table.at(best->handle).load.inFlight(context.now)
                             > HalfIdle * context.table.limit(best->handle, context.now);
    if (busy && bestFull < bestCost) {
        return std::nullopt;
    }
    return best;
}

std::optional<Placed> Router::pick(const RoundRobinPolicy & /*policy*/, const Context &context,
                                   const std::vector<EndpointHandle> &candidates)
{
    return placed(candidates[turn_++ % candidates.size()], context);
}

std::optional<Placed> Router::pick(const LeastInFlightPolicy & /*policy*/, const Context &context,
                                   const std::vector<EndpointHandle> &candidates)
{
    const std::size_t start = randomBelow(candidates.size());
    EndpointHandle best = candidates[start];
    for (std::size_t offset = 1; offset < candidates.size(); ++offset) {
        const EndpointHandle handle = candidates[(start + offset) % candidates.size()];
        if (context.table.at(handle).load.ownInFlight() < context.table.at(best).load.ownInFlight()) {
            best = handle;
        }
    }
    return placed(best, context);
}

std::optional<Placed> Router::pick(const RandomOfTwoPolicy & /*policy*/, const Context &context,
                                   const std::vector<EndpointHandle> &candidates)
{
    const EndpointHandle one = candidates[randomBelow(candidates.size())];
    const EndpointHandle two = candidates[randomBelow(candidates.size())];
    const bool second = context.table.at(two).load.inFlight(context.now)
                        < context.table.at(one).load.inFlight(context.now);
    return placed(second ? two : one, context);
}

} // namespace LaburnumChute::Decisions
