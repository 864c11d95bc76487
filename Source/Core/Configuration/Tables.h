#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Configuration {

using Common::AdapterName;
using Common::CustomerName;
using Common::Duration;
using Common::FailureDomainName;
using Common::ModelName;
using Common::RegionName;
using Common::ServiceName;

using PriorityName = Common::Name<struct PriorityNameTag>;
using ResidencyRuleName = Common::Name<struct ResidencyRuleNameTag>;
using RouteName = Common::Name<struct RouteNameTag>;

struct Region
{
    RegionName name;
    std::vector<FailureDomainName> failureDomains;
};

/// Connection between two regions, with the same properties in both directions.
struct Link
{
    Duration oneWayDelay{};
    /// In each direction, shared by all traffic.
    double megabitsPerSecond = 0;
};

/// Unordered pair of regions: the smaller name comes first.
using RegionPair = std::pair<RegionName, RegionName>;
RegionPair makeRegionPair(const RegionName &left, const RegionName &right);

struct Priority
{
    PriorityName name;
    /// 0 is the highest.
    int level = 0;
};

/// Regions that a residency rule allows: any, only that of the caller, or the listed ones.
struct AnyRegion
{
};
struct HomeRegion
{
};
using RegionSet = std::set<RegionName>;
using ResidencyScope = std::variant<AnyRegion, HomeRegion, RegionSet>;

/// Regions in which the data of a request may be processed. Never violated.
struct ResidencyRule
{
    ResidencyRuleName name;
    ResidencyScope scope;

    /// Whether data of a caller from one region may be processed in another region.
    bool allows(const RegionName &home, const RegionName &region) const;
};

struct Customer
{
    CustomerName name;
    /// Weight in the sharing of contended resources, relative to other customers.
    double share = 1;
    PriorityName highestPriority;
    /// Secrets; must not be logged or dumped.
    std::vector<std::string> bearerTokens;
    /// Applies in addition to the rule of the route if the request names no rule.
    std::optional<ResidencyRuleName> defaultResidency;
};

struct Model
{
    ModelName name;
    std::string version;
    std::vector<AdapterName> adapters;
    std::int64_t contextLimitTokens = 0;
    /// Whether all engines of the pool reject orders with an outdated fencing number.
    bool checksFences = false;
};

/// Whether the calls with one method ("*" for all) under one path prefix may run twice.
struct ServiceCall
{
    std::string method;
    std::string pathPrefix;
    bool repeatable = false;
};

struct Service
{
    ServiceName name;
    /// Applies to calls that are not covered by an entry of `calls`.
    bool repeatable = false;
    std::vector<ServiceCall> calls;

    /// Whether a call may run twice. The path is the one below /services/<name>. The longest prefix
    /// decides. Where the path has more than one spelling (percent-encoding, "//", "/.") the
    /// prefixes prove nothing about what the service will run: "/%6frders" is "/orders" to it. Such
    /// a path counts as repeatable only if all calls of the service are; otherwise an order would
    /// run twice and the caller would find two.
    bool isRepeatable(std::string_view method, std::string_view path) const;
};

/// Rules for the requests to one model (exact path) or one service (path prefix).
struct Route
{
    RouteName name;
    /// Of the caller's interface for a model; below /services/<name> for a service.
    std::string path;
    std::variant<ModelName, ServiceName> target;
    PriorityName priority;
    ResidencyRuleName residency;
    /// A call is repeatable only if both its route and its service allow it.
    bool repeatable = true;
    /// Maximum time to the first byte for requests without a deadline.
    Duration deadline{};
};

using RunnersByRegion = std::map<RegionName, int>;

/// Number of runners of a model or service in each region.
struct ModelPlacement
{
    RunnersByRegion runners;
    /// Number of these runners that have each adapter.
    std::map<AdapterName, RunnersByRegion> adapters;
};

/// Bounds of the decisions under load. The setting of the instance applies where one is absent.
struct DecisionLimits
{
    /// Maximum time in the queue before a request is rejected.
    std::optional<Duration> queueWait;
    /// Retries as a fraction of first attempts, 0 to 1.
    std::optional<double> retryShare;
    /// Fraction of a region's requests that may be forwarded to other regions, 0 to 1.
    std::optional<double> awayShare;
    /// Fraction of a pool's endpoints that may be ejected at the same time, 0 to 1.
    std::optional<double> ejectedShare;
};

/// Contents of a document, by name.
struct Tables
{
    std::map<RegionName, Region> regions;
    std::map<RegionPair, Link> links;
    /// Applies to pairs that are not in `links`.
    std::optional<Link> defaultLink;
    std::map<PriorityName, Priority> priorities;
    std::map<ResidencyRuleName, ResidencyRule> residencyRules;
    std::map<CustomerName, Customer> customers;
    std::map<ModelName, Model> models;
    std::map<ServiceName, Service> services;
    std::map<RouteName, Route> routes;
    std::map<ModelName, ModelPlacement> modelPlacements;
    std::map<ServiceName, RunnersByRegion> servicePlacements;
    DecisionLimits limits;
};

/// Returns true if the prefix consists of leading segments of the path: "/orders" covers
/// "/orders/7" but not "/orders-archive".
bool isUnder(std::string_view prefix, std::string_view path);

} // namespace LaburnumChute::Configuration
