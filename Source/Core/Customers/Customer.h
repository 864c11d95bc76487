#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Customers {

using Common::CustomerName;
using Common::Duration;
using Common::InstanceId;
using Common::milliseconds;
using Common::RegionName;
using Common::Time;

/// What the usage of a customer is measured in.
enum class UsageUnit {
    Requests,
    /// Tokens of the prompt plus the maximum of generated tokens.
    Tokens,
};

/// Limit for the usage of a customer, over all instances together.
struct UsageLimit
{
    double perSecond = 0;
    /// Usage that may accumulate while the customer uses less than its limit.
    double burst = 0;
};

/// A customer as published in the configuration.
struct Customer
{
    CustomerName name;
    std::vector<std::string> keys;
    /// Replaces the priority of the route; 0 is the highest.
    std::optional<int> priority;
    /// Regions that may serve the customer's requests; empty allows all.
    std::vector<RegionName> homes;
    UsageUnit unit = UsageUnit::Requests;
    /// Usage of a request that states no tokens; applies to UsageUnit::Tokens only.
    double defaultTokens = 1;
    /// Empty if the usage is not limited.
    std::optional<UsageLimit> limit;
};

/// Usage of one request in the customer's unit.
/// @param tokens the sum of the stated token counts; empty if the request states none
double usageOf(const Customer &customer, std::optional<double> tokens);

} // namespace LaburnumChute::Customers
