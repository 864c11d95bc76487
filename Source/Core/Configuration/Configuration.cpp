#include <algorithm>

#include "Configuration/Model.h"

namespace LaburnumChute::Configuration {

namespace {

template <typename Key, typename Value>
const Value *find(const std::map<Key, Value> &table, const Key &key)
{
    const auto found = table.find(key);
    return found == table.end() ? nullptr : &found->second;
}

int countIn(const RunnersByRegion &runners, const RegionName &region)
{
    const auto *count = find(runners, region);
    return count ? *count : 0;
}

/// Returns true for paths that a service may normalize to another path.
bool hasOtherSpellings(std::string_view path)
{
    return path.find('%') != std::string_view::npos || path.find("//") != std::string_view::npos
           || path.find("/.") != std::string_view::npos || path.find('\\') != std::string_view::npos
           || path.find(';') != std::string_view::npos;
}

} // namespace

RegionPair makeRegionPair(const RegionName &left, const RegionName &right)
{
    return left < right ? RegionPair(left, right) : RegionPair(right, left);
}

bool isUnder(std::string_view prefix, std::string_view path)
{
    while (!prefix.empty() && prefix.back() == '/') {
        prefix.remove_suffix(1);
    }
    if (path.substr(0, prefix.size()) != prefix) {
        return false;
    }
    return path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool ResidencyRule::allows(const RegionName &home, const RegionName &region) const
{
    if (std::holds_alternative<AnyRegion>(scope)) {
        return true;
    }
    if (const auto *listed = std::get_if<RegionSet>(&scope)) {
        return listed->count(region) > 0;
    }
    return home == region;
}

bool Service::isRepeatable(std::string_view method, std::string_view path) const
{
    if (hasOtherSpellings(path)) {
        return repeatable && std::all_of(calls.begin(), calls.end(), [](const ServiceCall &call) {
                   return call.repeatable;
               });
    }
    const ServiceCall *best = nullptr;
    for (const auto &call : calls) {
        const bool covers =
            (call.method == "*" || call.method == method) && isUnder(call.pathPrefix, path);
        if (!covers || (best && best->pathPrefix.size() > call.pathPrefix.size())) {
            continue;
        }
        // Of two prefixes of equal length, the one for the specific method takes precedence.
        if (!best || call.pathPrefix.size() > best->pathPrefix.size() || call.method != "*") {
            best = &call;
        }
    }
    return best ? best->repeatable : repeatable;
}

Configuration::Configuration(Tables tables)
    : tables_(std::move(tables))
{
    for (const auto &[name, customer] : tables_.customers) {
        tokenHolders_.push_back(&customer);
        for (const auto &token : customer.bearerTokens) {
            tokens_.add(token, tokenHolders_.size() - 1);
        }
    }
    for (const auto &[name, route] : tables_.routes) {
        if (const auto *model = std::get_if<ModelName>(&route.target)) {
            modelRoutes_[*model][route.path] = &route;
        } else {
            serviceRoutes_[std::get<ServiceName>(route.target)].push_back(&route);
        }
    }
    for (auto &[service, routes] : serviceRoutes_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->path.size() > right->path.size();
        });
    }
}

const Region *Configuration::region(const RegionName &name) const
{
    return find(tables_.regions, name);
}

const Priority *Configuration::priority(const PriorityName &name) const
{
    return find(tables_.priorities, name);
}

const ResidencyRule *Configuration::residencyRule(const ResidencyRuleName &name) const
{
    return find(tables_.residencyRules, name);
}

const Customer *Configuration::customer(const CustomerName &name) const
{
    return find(tables_.customers, name);
}

const Customer *Configuration::customerByToken(std::string_view token) const
{
    const auto holder = tokens_.find(token);
    return holder ? tokenHolders_[*holder] : nullptr;
}

const Model *Configuration::model(const ModelName &name) const
{
    return find(tables_.models, name);
}

const Service *Configuration::service(const ServiceName &name) const
{
    return find(tables_.services, name);
}

const Route *Configuration::route(std::string_view path, const ModelName &model) const
{
    const auto *routes = find(modelRoutes_, model);
    if (!routes) {
        return nullptr;
    }
    const auto found = routes->find(path);
    return found == routes->end() ? nullptr : found->second;
}

const Route *Configuration::route(const ServiceName &service, std::string_view path) const
{
    const auto *routes = find(serviceRoutes_, service);
    if (!routes) {
        return nullptr;
    }
    const auto found = std::find_if(routes->begin(), routes->end(),
                                    [&](const Route *route) { return isUnder(route->path, path); });
    return found == routes->end() ? nullptr : *found;
}

const Link *Configuration::link(const RegionName &left, const RegionName &right) const
{
    const auto *named = find(tables_.links, makeRegionPair(left, right));
    if (named) {
        return named;
    }
    return tables_.defaultLink ? &*tables_.defaultLink : nullptr;
}

int Configuration::runners(const ModelName &model, const RegionName &region) const
{
    const auto *placement = find(tables_.modelPlacements, model);
    return placement ? countIn(placement->runners, region) : 0;
}

int Configuration::runners(const ServiceName &service, const RegionName &region) const
{
    const auto *placement = find(tables_.servicePlacements, service);
    return placement ? countIn(*placement, region) : 0;
}

bool Configuration::isRepeatable(const Route &route, std::string_view method,
                                 std::string_view path) const
{
    const auto *name = std::get_if<ServiceName>(&route.target);
    if (!name) {
        return route.repeatable;
    }
    const auto *target = service(*name);
    return route.repeatable && target && target->isRepeatable(method, path);
}

} // namespace LaburnumChute::Configuration
