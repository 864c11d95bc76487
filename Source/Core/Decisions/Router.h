#pragma once

#include <functional>
#include <optional>
#include <random>

#include "Decisions/Ejection.h"
#include "Decisions/EndpointTable.h"
#include "Decisions/Options.h"
#include "Decisions/PrefixIndex.h"

namespace LaburnumChute::Decisions {

struct EndpointChoice
{
    EndpointHandle handle = 0;
    /// Prompt tokens that are probably not cached on the endpoint.
    double prefillTokens = 0;
    Duration expectedFirstToken{0};
};

/// Chooses an endpoint of the home region for a request.
///
/// Load pattern: long prompts next to short ones, callers that return with the same prefix, and
/// many instances that see the same stale reports. Balancing by the number of requests alone sends
/// a short prompt behind a long prefill and away from its cached prefix. Endpoints are compared by
/// expected time to first token: the prefill queued there, plus the uncached part of this prompt,
/// plus the wait for a slot in the batch, times how much slower than expected the endpoint has
/// been. Candidates are the holders of the prefix and a few random endpoints (all, if there are
/// few), so that instances with the same stale view do not all choose the same endpoint.
class Router
{
public:
    /// Whether the request may use an endpoint.
    using Allowed = std::function<bool(EndpointHandle)>;

    Router(const RoutingOptions &options, std::uint64_t seed);

    /// Returns nothing if no allowed endpoint has spare capacity, or if a full endpoint is cheaper
    /// and the request may wait for it. The baselines ignore capacity.
    std::optional<EndpointChoice> choose(const RequestFacts &facts, const EndpointTable &table,
                                         const PrefixIndex &prefixes, const Ejection &ejection,
                                         Time now, const Allowed &allowed, bool mayWaitForBetter);
    /// Expected time to first token on the endpoint if the request were sent there now.
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
        bool mayWaitForBetter;
    };

    std::optional<EndpointChoice> pick(const ExpectedCostPolicy &policy, const Context &context,
                                       const std::vector<EndpointHandle> &candidates);
    std::optional<EndpointChoice> pick(const RoundRobinPolicy &policy, const Context &context,
                                       const std::vector<EndpointHandle> &candidates);
    std::optional<EndpointChoice> pick(const LeastInFlightPolicy &policy, const Context &context,
                                       const std::vector<EndpointHandle> &candidates);
    std::optional<EndpointChoice> pick(const RandomOfTwoPolicy &policy, const Context &context,
                                       const std::vector<EndpointHandle> &candidates);
    EndpointChoice makeChoice(EndpointHandle handle, const Context &context) const;
    double cost(const EndpointChoice &choice, const ExpectedCostPolicy &policy,
                const Context &context) const;
    std::size_t randomBelow(std::size_t bound);

    RoutingOptions options_;
    std::mt19937_64 random_;
    std::size_t nextRoundRobin_ = 0;
};

} // namespace LaburnumChute::Decisions
