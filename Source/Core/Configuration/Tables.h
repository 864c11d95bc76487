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

/// What lies between two regions, the same in both directions.
struct Link
{
    Duration oneWayDelay{};
    /// Each way, shared by all traffic.
    double megabitsPerSecond = 0;
};

/// Two regions in no direction: the smaller name first.
using RegionPair = std::pair<RegionName, RegionName>;
RegionPair makeRegionPair(const RegionName &left, const RegionName &right);

struct Priority
{
    PriorityName name;
    /// 0 is served first.
    int level = 0;
};

/// The regions a residency rule allows: any region, only the caller's, or those listed.
struct AnyRegion
{
};
struct HomeRegion
{
};
using RegionSet = std::set<RegionName>;
using ResidencyScope = std::variant<AnyRegion, HomeRegion, RegionSet>;

/// A hard bound on where the data of a request may be.
struct ResidencyRule
{
    ResidencyRuleName name;
    ResidencyScope scope;

    /// Whether the data of a caller at home in one region may be served in another.
    bool allows(const RegionName &home, const RegionName &region) const;
};

struct Customer
{
    CustomerName name;
    /// Weight of its part of a contended resource, relative to the other customers.
    double share = 1;
    PriorityName highestPriority;
    /// Secrets: never to be logged or dumped.
    std::vector<std::string> bearerTokens;
    /// Narrows the rule of each route when a request names no rule of its own.
    std::optional<ResidencyRuleName> defaultResidency;
};

struct Model
{
    ModelName name;
    std::string version;
    std::vector<AdapterName> adapters;
    std::int64_t contextLimitTokens = 0;
    /// Whether every engine of its pool refuses orders with an old fencing number.
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
    /// For calls that no entry of `calls` covers.
    bool repeatable = false;
    std::vector<ServiceCall> calls;

    /// Whether a call may run twice. The path is the one below /services/<name>. The longest prefix
    /// decides. Where the path has more than one spelling (percent-encoding, "//", "/.") the
    /// prefixes prove nothing about what the service will run: "/%6frders" is "/orders" to it. Such
    /// a path counts as repeatable only if all calls of the service are; otherwise an order would
    /// run twice and the caller would find two.
    bool isRepeatable(std::string_view method, std::string_view path) const;
};

/// Where requests for one model (exact path) or one service (path prefix) go, and how.
struct Route
{
    RouteName name;
    /// Of the caller's interface for a model; below /services/<name> for a service.
    std::string path;
    std::variant<ModelName, ServiceName> target;
    PriorityName priority;
    ResidencyRuleName residency;
    /// Only narrows: a call is repeatable if both the route and the service say so.
    bool repeatable = true;
    /// For callers that name no deadline: how long they wait for the first byte.
    Duration deadline{};
};

using RunnersByRegion = std::map<RegionName, int>;

/// How many runners of a model, or of a service, stand in each region.
struct ModelPlacement
{
    RunnersByRegion runners;
    /// Of these, how many hold each adapter.
    std::map<AdapterName, RunnersByRegion> adapters;
};

/// Bounds of the decisions under load; one that is absent leaves the instance's own setting in
/// force.
struct DecisionLimits
{
    /// Longest wait in a queue before a request is turned away.
    std::optional<Duration> queueWait;
    /// Retries as a share of first tries, 0 to 1.
    std::optional<double> retryShare;
    /// Share of a region's requests that may be sent away from it, 0 to 1.
    std::optional<double> awayShare;
    /// Share of a pool's endpoints that may be ejected at once, 0 to 1.
    std::optional<double> ejectedShare;
};

/// All of one document, by name.
struct Tables
{
    std::map<RegionName, Region> regions;
    std::map<RegionPair, Link> links;
    /// For pairs that `links` does not name.
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

/// Whether a path lies under a prefix, by whole segments: "/orders" covers "/orders/7" and not
/// "/orders-archive".
bool isUnder(std::string_view prefix, std::string_view path);

} // namespace LaburnumChute::Configuration
