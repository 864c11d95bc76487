#include "Configuration/References.h"

#include <algorithm>

#include <fmt/format.h>

namespace LaburnumChute::Configuration {

using nlohmann::json;

namespace {

const json::json_pointer Root;

template <typename Key, typename Value>
std::string namesOf(const std::map<Key, Value> &table)
{
    std::vector<std::string> names;
    for (const auto &entry : table) {
        names.push_back(entry.first.text());
    }
    constexpr std::size_t MostListed = 12;
    if (names.size() > MostListed) {
        return fmt::format("{} and {} more",
                           fmt::join(names.begin(), names.begin() + MostListed, ", "),
                           names.size() - MostListed);
    }
    return names.empty() ? "none is defined" : fmt::format("{}", fmt::join(names, ", "));
}

/// Reports a name that is not in the table. Empty names have already been reported by the reader.
template <typename Key, typename Value>
void checkName(const std::map<Key, Value> &table, const Key &name, const char *kind,
               const json::json_pointer &at, Problems &problems)
{
    if (!name.empty() && table.count(name) == 0) {
        problems.push_back(makeProblem(at, name.text(),
                                       fmt::format("the name of a {}: {}", kind, namesOf(table))));
    }
}

void checkRegions(const Tables &tables, Problems &problems)
{
    std::map<FailureDomainName, RegionName> owners;
    for (const auto &[name, region] : tables.regions) {
        for (const auto &domain : region.failureDomains) {
            if (!owners.emplace(domain, name).second) {
                problems.push_back(makeProblem(Root / "regions" / name.text() / "failure_domains",
                                               domain.text(),
                                               "a failure domain of one region only"));
            }
        }
    }
    for (const auto &[pair, link] : tables.links) {
        const auto at = Root / "links";
        checkName(tables.regions, pair.first, "region", at, problems);
        checkName(tables.regions, pair.second, "region", at, problems);
    }
    for (const auto &[name, rule] : tables.residencyRules) {
        const auto *listed = std::get_if<RegionSet>(&rule.scope);
        if (!listed) {
            continue;
        }
        for (const auto &region : *listed) {
            checkName(tables.regions, region, "region",
                      Root / "residency_rules" / name.text() / "regions", problems);
        }
    }
}

void checkCustomers(const Tables &tables, Problems &problems)
{
    std::map<std::string, CustomerName> owners;
    for (const auto &[name, customer] : tables.customers) {
        const auto at = Root / "customers" / name.text();
        checkName(tables.priorities, customer.highestPriority, "priority", at / "highest_priority",
                  problems);
        if (customer.defaultResidency) {
            checkName(tables.residencyRules, *customer.defaultResidency, "residency rule",
                      at / "default_residency", problems);
        }
        for (const auto &token : customer.bearerTokens) {
            const auto [owner, fresh] = owners.emplace(token, name);
            if (!fresh) {
                // The token is a secret and is not part of the message.
                problems.push_back(
                    {(at / "bearer_tokens").to_string(), "a token",
                     fmt::format("tokens that customer \"{}\" does not have", owner->second)});
            }
        }
    }
}

void checkRunners(const Tables &tables, const RunnersByRegion &runners,
                  const json::json_pointer &at, Problems &problems)
{
    for (const auto &[region, count] : runners) {
        checkName(tables.regions, region, "region", at, problems);
    }
}

void checkAdapterPlacements(const Tables &tables, const ModelName &name,
                            const ModelPlacement &placement, Problems &problems)
{
    const auto at = Root / "placements" / "models" / name.text() / "adapters";
    const auto model = tables.models.find(name);
    for (const auto &[adapter, runners] : placement.adapters) {
        checkRunners(tables, runners, at / adapter.text(), problems);
        if (model != tables.models.end()) {
            const auto &known = model->second.adapters;
            if (std::find(known.begin(), known.end(), adapter) == known.end()) {
                problems.push_back(makeProblem(at, adapter.text(), "an adapter of the model"));
            }
        }
        for (const auto &[region, count] : runners) {
            const auto all = placement.runners.find(region);
            const auto most = all == placement.runners.end() ? 0 : all->second;
            if (count > most) {
                problems.push_back(
                    makeProblem(at / adapter.text() / region.text(), count,
                                fmt::format("at most the model's {} runners there", most)));
            }
        }
    }
}

void checkPlacements(const Tables &tables, Problems &problems)
{
    for (const auto &[name, placement] : tables.modelPlacements) {
        const auto at = Root / "placements" / "models";
        checkName(tables.models, name, "model", at, problems);
        checkRunners(tables, placement.runners, at / name.text() / "runners", problems);
        checkAdapterPlacements(tables, name, placement, problems);
    }
    for (const auto &[name, runners] : tables.servicePlacements) {
        const auto at = Root / "placements" / "services";
        checkName(tables.services, name, "service", at, problems);
        checkRunners(tables, runners, at / name.text() / "runners", problems);
    }
}

/// Runners of the target of a route; empty if it has no placement.
RunnersByRegion runnersOf(const Tables &tables, const Route &route)
{
    if (const auto *service = std::get_if<ServiceName>(&route.target)) {
        const auto found = tables.servicePlacements.find(*service);
        return found == tables.servicePlacements.end() ? RunnersByRegion() : found->second;
    }
    const auto found = tables.modelPlacements.find(std::get<ModelName>(route.target));
    return found == tables.modelPlacements.end() ? RunnersByRegion() : found->second.runners;
}

/// Whether some region may serve a caller from the given region under all rules.
bool servedFrom(const RegionName &home, const RunnersByRegion &runners,
                const std::vector<const ResidencyRule *> &rules)
{
    return std::any_of(runners.begin(), runners.end(), [&](const auto &entry) {
        return entry.second > 0 && std::all_of(rules.begin(), rules.end(), [&](const auto *rule) {
                   return rule->allows(home, entry.first);
               });
    });
}

const ResidencyRule *findRule(const Tables &tables, const ResidencyRuleName &name)
{
    const auto found = tables.residencyRules.find(name);
    return found == tables.residencyRules.end() ? nullptr : &found->second;
}

void checkReach(const Tables &tables, const Route &route, Problems &problems)
{
    const auto *rule = findRule(tables, route.residency);
    if (!rule) {
        return;
    }
    const auto runners = runnersOf(tables, route);
    const bool served =
        std::any_of(tables.regions.begin(), tables.regions.end(),
                    [&](const auto &region) { return servedFrom(region.first, runners, {rule}); });
    if (!served) {
        problems.push_back(makeProblem(
            Root / "routes" / route.name.text() / "residency", route.residency.text(),
            "a rule that allows at least one region in which the placements want a runner of the "
            "route's target"));
    }
}

void checkTarget(const Tables &tables, const Route &route, Problems &problems)
{
    const auto at = Root / "routes" / route.name.text();
    if (const auto *service = std::get_if<ServiceName>(&route.target)) {
        checkName(tables.services, *service, "service", at / "service", problems);
    } else {
        checkName(tables.models, std::get<ModelName>(route.target), "model", at / "model",
                  problems);
    }
}

void checkRoutes(const Tables &tables, Problems &problems)
{
    std::map<std::pair<std::variant<ModelName, ServiceName>, std::string>, RouteName> owners;
    for (const auto &[name, route] : tables.routes) {
        const auto at = Root / "routes" / name.text();
        checkTarget(tables, route, problems);
        checkName(tables.priorities, route.priority, "priority", at / "priority", problems);
        checkName(tables.residencyRules, route.residency, "residency rule", at / "residency",
                  problems);
        checkReach(tables, route, problems);
        const auto [owner, fresh] = owners.emplace(std::pair(route.target, route.path), name);
        if (!fresh) {
            problems.push_back(makeProblem(
                at / "path", route.path,
                fmt::format("a path and target that route \"{}\" does not have", owner->second)));
        }
    }
}

void warnOfRegions(const Tables &tables, const Route &route, const ResidencyRule &rule,
                   Problems &warnings)
{
    const auto runners = runnersOf(tables, route);
    for (const auto &[home, region] : tables.regions) {
        if (!servedFrom(home, runners, {&rule})) {
            warnings.push_back(makeProblem(
                Root / "routes" / route.name.text() / "residency", route.residency.text(),
                fmt::format("a runner for callers of region \"{}\": all of them are refused",
                            home)));
        }
    }
}

void warnOfCustomers(const Tables &tables, const Route &route, const ResidencyRule &rule,
                     Problems &warnings)
{
    const auto runners = runnersOf(tables, route);
    for (const auto &[name, customer] : tables.customers) {
        const auto *own = findRule(tables, customer.defaultResidency.value_or(route.residency));
        const bool served =
            own
            && std::any_of(tables.regions.begin(), tables.regions.end(), [&](const auto &region) {
                   return servedFrom(region.first, runners, {&rule, own});
               });
        if (!served) {
            warnings.push_back(makeProblem(
                Root / "customers" / name.text() / "default_residency",
                customer.defaultResidency.value_or(route.residency).text(),
                fmt::format("a rule that leaves a region on route \"{}\"", route.name)));
        }
    }
}

} // namespace

void checkReferences(const Tables &tables, Problems &problems)
{
    checkRegions(tables, problems);
    checkCustomers(tables, problems);
    checkPlacements(tables, problems);
    checkRoutes(tables, problems);
}

Problems findWarnings(const Tables &tables)
{
    Problems warnings;
    for (const auto &[name, route] : tables.routes) {
        if (const auto *rule = findRule(tables, route.residency)) {
            warnOfRegions(tables, route, *rule, warnings);
            warnOfCustomers(tables, route, *rule, warnings);
        }
    }
    return warnings;
}

} // namespace LaburnumChute::Configuration
