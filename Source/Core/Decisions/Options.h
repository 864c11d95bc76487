#pragma once

#include <cstddef>
#include <cstdint>
#include <variant>

#include "Common/Common.h"

namespace LaburnumChute::Decisions {

using Common::Duration;
using Common::milliseconds;
using Common::seconds;

/// Endpoint by expected time to first token among a few random candidates; the default.
struct ExpectedCostPolicy
{
    /// Random candidates compared, besides those whose cache is known to hold the prefix.
    int choices = 3;
};
/// The built-in baselines dispatch at once and look at nothing else.
struct RoundRobinPolicy
{
};
struct LeastInFlightPolicy
{
};
struct RandomOfTwoPolicy
{
};
using RoutingPolicy =
    std::variant<ExpectedCostPolicy, RoundRobinPolicy, LeastInFlightPolicy, RandomOfTwoPolicy>;

struct RoutingOptions
{
    RoutingPolicy policy = ExpectedCostPolicy{};
};

struct QueueOptions
{
    /// Requests kept waiting at most, over all targets.
    std::size_t limit = 4096;
};

struct RetryOptions
{
    /// Tries of one request in all.
    int maxAttempts = 3;
};

/// All thresholds of the scheduler.
struct SchedulerOptions
{
    RoutingOptions routing;
    QueueOptions queue;
    RetryOptions retry;
};

} // namespace LaburnumChute::Decisions
