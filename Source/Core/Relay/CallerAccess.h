#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Catalog/Catalog.h"
#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// Properties of a request that identify its route and its customer.
struct CallerTarget
{
    /// The Host header; null if there is none.
    const std::string *host = nullptr;
    /// Path and query.
    std::string_view target;
    /// Values of all headers with API keys.
    std::vector<std::string_view> keys;
};

/// The request may be served.
struct CallerAccess
{
    const Catalog::Route *route = nullptr;
    /// Null if the request is served without a customer.
    const Customers::Customer *customer = nullptr;
    /// Regions that may serve the request; empty allows all.
    std::vector<Common::RegionName> regions;
    int priority = 0;
};

/// The request may not be served under this configuration.
struct AccessRefusal
{
    unsigned status = 0;
    std::string_view reason;
    /// A newer configuration may allow the request. An instance must not give the refusal unless
    /// its configuration is current.
    bool mayChange = false;
    /// Set if the request is valid, but cannot be served until operators change the configuration.
    std::optional<Common::milliseconds> retryAfter;
};

/// Determines route, customer and allowed regions of a request.
tl::expected<CallerAccess, AccessRefusal> decideAccess(const Catalog::RouteTable &routes,
                                                       const CallerTarget &request);

} // namespace LaburnumChute::Relay
