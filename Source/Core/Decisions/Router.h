#pragma once

#include <functional>
#include <optional>
#include <random>

#include "Decisions/Ejection.h"
#include "Decisions/EndpointTable.h"
#include "Decisions/Options.h"
#include "Decisions/PrefixIndex.h"

namespace LaburnumChute::Decisions {

struct Placed
{
    EndpointHandle handle = 0;
    /// Prompt tokens thought not to be cached there.
    double prefillTokens = 0;
    Duration expectedFirstToken{0};
};

/// Chooses the endpoint of the home region for one request.
///
/// Load pattern: long prompts beside short ones, callers that come back with the same prefix, and
/// many instances that see the same stale reports. Counting requests alone sends a short line
/// behind a long prefill and away from its cached prefix. The choice is by expected time to first
/// token: prefill queued there, plus the uncached part of this prompt, plus the wait for a place in
/// the batch, times how much slower than expected the endpoint has been. Candidates are the holders
/// of the prefix and a few at random (all, where there are few), so that instances with the same
/// stale view do not all choose the same endpoint.
class Router
{
public:
    /// False for an endpoint that this request must not go to.
    using Allowed = std::function<bool(EndpointHandle)>;

    Router(const RoutingOptions &options, std::uint64_t seed);

    /// None when no allowed endpoint has room; the baselines do not look at room.
    std::optional<Placed> choose(const RequestFacts &facts, const EndpointTable &table,
                                 const PrefixIndex &prefixes, const Ejection &ejection, Time now,
                                 const Allowed &allowed, bool mayHold);
    /// Expected time to first token on the endpoint if the request went there now.
    Duration expectedFirstToken(const EndpointState &state, double prefillTokens, Time now) const;

private:
    struct Context
    {
        const RequestFacts &facts;
        const EndpointTable &table;
        const Ejection &ejection;
        const PrefixHolders &holders;
        const Allowed &allowed;
        Time now;
        bool mayHold;
    };

    std::optional<Placed> pick(const ExpectedCostPolicy &policy, const Context &context,
                               const std::vector<EndpointHandle> &candidates);
    std::optional<Placed> pick(const RoundRobinPolicy &policy, const Context &context,
                               const std::vector<EndpointHandle> &candidates);
    std::optional<Placed> pick(const LeastInFlightPolicy &policy, const Context &context,
                               const std::vector<EndpointHandle> &candidates);
    std::optional<Placed> pick(const RandomOfTwoPolicy &policy, const Context &context,
                               const std::vector<EndpointHandle> &candidates);
    Placed placed(EndpointHandle handle, const Context &context) const;
    double cost(const Placed &placed, const ExpectedCostPolicy &policy,
                const Context &context) const;
    std::size_t randomBelow(std::size_t bound);

    RoutingOptions options_;
    std::mt19937_64 random_;
    std::size_t turn_ = 0;
};

} // namespace LaburnumChute::Decisions
