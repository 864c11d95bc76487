#include "Configuration/Sections.h"

#include <algorithm>

#include <fmt/format.h>

#include "Configuration/ObjectReader.h"
#include "Configuration/Parser.h"

namespace LaburnumChute::Configuration {

using nlohmann::json;

namespace {

constexpr double Day = 86'400'000;
constexpr Range DelayRange{0, 60'000};
constexpr Range RateRange{0.001, 1e7};
constexpr Range ShareRange{0.001, 1e6};
constexpr Range LevelRange{0, 100};
constexpr Range ContextRange{1, 1e9};
constexpr Range RunnerRange{0, 1e6};
constexpr Range PartRange{0, 1};
constexpr Range DeadlineRange{1, Day};

template <typename Name>
std::vector<Name> toNames(const std::vector<std::string> &texts)
{
    std::vector<Name> names;
    names.reserve(texts.size());
    for (const auto &text : texts) {
        names.emplace_back(text);
    }
    return names;
}

void readRegions(ObjectReader &document, Problems &problems, Tables &tables)
{
    document.forEach("regions", [&](const std::string &name, const json &value, const auto &at) {
        ObjectReader reader(value, at, problems);
        Region region{RegionName(name),
                      toNames<FailureDomainName>(reader.texts("failure_domains"))};
        if (region.failureDomains.empty()) {
            reader.report("failure_domains", "at least one failure domain");
        }
        reader.finish();
        tables.regions[region.name] = std::move(region);
    });
    if (tables.regions.empty()) {
        document.report("regions", "at least one region");
    }
}

Link readLink(const json &value, const json::json_pointer &at, Problems &problems)
{
    ObjectReader reader(value, at, problems);
    const Link link{reader.milliseconds("one_way_delay_ms", DelayRange),
                    reader.number("megabits_per_second", RateRange)};
    reader.finish();
    return link;
}

void readLinks(ObjectReader &document, Problems &problems, Tables &tables)
{
    document.forEach("links", [&](const std::string &left, const json &rights, const auto &at) {
        if (!rights.is_object()) {
            problems.push_back(makeProblem(at, rights, "an object from region to link"));
            return;
        }
        for (const auto &[right, value] : rights.items()) {
            const auto pair = makeRegionPair(RegionName(left), RegionName(right));
            const auto link = readLink(value, at / right, problems);
            if (left == right || !tables.links.emplace(pair, link).second) {
                problems.push_back(makeProblem(
                    at / right, value, "each pair of two regions once; it holds both ways"));
            }
        }
    });
    if (const auto *link = document.raw("default_link")) {
        tables.defaultLink = readLink(*link, document.at() / "default_link", problems);
    }
}

void readPriorities(ObjectReader &document, Problems &problems, Tables &tables)
{
    document.forEach("priorities", [&](const std::string &name, const json &value, const auto &at) {
        ObjectReader reader(value, at, problems);
        const auto level = static_cast<int>(reader.wholeNumber("level", LevelRange));
        reader.finish();
        tables.priorities[PriorityName(name)] = {PriorityName(name), level};
    });
}

ResidencyScope readScope(ObjectReader &reader)
{
    const auto *regions = reader.raw("regions");
    if (regions && regions->is_array() && !regions->empty()) {
        RegionSet listed;
        for (const auto &name : reader.texts("regions")) {
            listed.emplace(name);
        }
        return listed;
    }
    if (regions && *regions == "any") {
        return AnyRegion();
    }
    if (!regions || *regions != "home") {
        reader.report("regions", "\"any\", \"home\" or an array of at least one region");
    }
    return HomeRegion();
}

void readResidencyRules(ObjectReader &document, Problems &problems, Tables &tables)
{
    document.forEach("residency_rules",
                     [&](const std::string &name, const json &value, const auto &at) {
                         ObjectReader reader(value, at, problems);
                         ResidencyRule rule{ResidencyRuleName(name), readScope(reader)};
                         reader.finish();
                         tables.residencyRules[rule.name] = std::move(rule);
                     });
}

void readCustomers(ObjectReader &document, Problems &problems, Tables &tables)
{
    document.forEach("customers", [&](const std::string &name, const json &value, const auto &at) {
        ObjectReader reader(value, at, problems);
        Customer customer;
        customer.name = CustomerName(name);
        customer.share = reader.number("share", ShareRange);
        customer.highestPriority = PriorityName(reader.text("highest_priority"));
        customer.bearerTokens = reader.texts("bearer_tokens");
        if (const auto rule = reader.optionalText("default_residency")) {
            customer.defaultResidency = ResidencyRuleName(*rule);
        }
        reader.finish();
        tables.customers[customer.name] = std::move(customer);
    });
}

void readModels(ObjectReader &document, Problems &problems, Tables &tables)
{
    document.forEach("models", [&](const std::string &name, const json &value, const auto &at) {
        ObjectReader reader(value, at, problems);
        Model model;
        model.name = ModelName(name);
        model.version = reader.text("version");
        model.adapters = toNames<AdapterName>(reader.texts("adapters"));
        model.contextLimitTokens = reader.wholeNumber("context_limit_tokens", ContextRange);
        model.checksFences = reader.flag("checks_fences", false);
        reader.finish();
        tables.models[model.name] = std::move(model);
    });
}

/// "POST /orders": a method or "*", one space, a path.
std::optional<ServiceCall> parseCall(const std::string &text)
{
    const auto space = text.find(' ');
    if (space == std::string::npos || space == 0 || text.size() < space + 2
        || text[space + 1] != '/') {
        return std::nullopt;
    }
    return ServiceCall{text.substr(0, space), text.substr(space + 1)};
}

std::vector<ServiceCall> readCalls(const json &calls, const json::json_pointer &at,
                                   Problems &problems)
{
    if (!calls.is_object()) {
        problems.push_back(makeProblem(at, calls, "an object from call to its properties"));
        return {};
    }
    std::vector<ServiceCall> result;
    for (const auto &[text, value] : calls.items()) {
        auto call = parseCall(text);
        if (!call) {
            problems.push_back(
                makeProblem(at, text, "a call such as \"POST /orders\" or \"* /orders\""));
            continue;
        }
        ObjectReader reader(value, at / text, problems);
        call->repeatable = reader.flag("repeatable", false);
        reader.finish();
        result.push_back(*call);
    }
    return result;
}

void readServices(ObjectReader &document, Problems &problems, Tables &tables)
{
    document.forEach("services", [&](const std::string &name, const json &value, const auto &at) {
        ObjectReader reader(value, at, problems);
        Service service{ServiceName(name), reader.flag("repeatable", false), {}};
        if (const auto *calls = reader.raw("calls")) {
            service.calls = readCalls(*calls, at / "calls", problems);
        }
        if (name.find('/') != std::string::npos) {
            problems.push_back(makeProblem(at, name, "a name without \"/\", being part of a path"));
        }
        reader.finish();
        tables.services[service.name] = std::move(service);
    });
}

void readTarget(ObjectReader &reader, Route &route)
{
    const auto model = reader.optionalText("model");
    const auto service = reader.optionalText("service");
    if (model.has_value() == service.has_value()) {
        reader.report(model ? "service" : "model", "either a model or a service");
    }
    if (service) {
        route.target = ServiceName(*service);
    } else {
        route.target = ModelName(model.value_or(std::string()));
    }
}

void readRoutes(ObjectReader &document, Problems &problems, Tables &tables)
{
    document.forEach("routes", [&](const std::string &name, const json &value, const auto &at) {
        ObjectReader reader(value, at, problems);
        Route route;
        route.name = RouteName(name);
        route.path = reader.text("path");
        if (!route.path.empty() && route.path[0] != '/') {
            reader.report("path", "a path that begins with \"/\"");
        }
        readTarget(reader, route);
        route.priority = PriorityName(reader.text("priority"));
        route.residency = ResidencyRuleName(reader.text("residency"));
        route.repeatable = reader.flag("repeatable", true);
        route.deadline = reader.milliseconds("deadline_ms", DeadlineRange);
        reader.finish();
        tables.routes[route.name] = std::move(route);
    });
}

RunnersByRegion readRunners(const json &value, const json::json_pointer &at, Problems &problems)
{
    RunnersByRegion runners;
    ObjectReader reader(value, at, problems);
    if (!value.is_object()) {
        return runners;
    }
    for (const auto &entry : value.items()) {
        if (entry.key().rfind("_comment", 0) != 0) {
            runners[RegionName(entry.key())] =
                static_cast<int>(reader.wholeNumber(entry.key(), RunnerRange));
        }
    }
    return runners;
}

RunnersByRegion readRunners(ObjectReader &reader, Problems &problems)
{
    const auto *runners = reader.raw("runners");
    if (!runners) {
        reader.report("runners", "an object from region to number of runners");
        return {};
    }
    return readRunners(*runners, reader.at() / "runners", problems);
}

void readPlacements(ObjectReader &document, Problems &problems, Tables &tables)
{
    const auto *value = document.raw("placements");
    if (!value) {
        return;
    }
    ObjectReader placements(*value, document.at() / "placements", problems);
    placements.forEach("models", [&](const std::string &name, const json &entry, const auto &at) {
        ObjectReader reader(entry, at, problems);
        ModelPlacement placement{readRunners(reader, problems), {}};
        reader.forEach("adapters", [&](const std::string &adapter, const json &runners,
                                       const auto &adapterAt) {
            placement.adapters[AdapterName(adapter)] = readRunners(runners, adapterAt, problems);
        });
        reader.finish();
        tables.modelPlacements[ModelName(name)] = std::move(placement);
    });
    placements.forEach("services", [&](const std::string &name, const json &entry, const auto &at) {
        ObjectReader reader(entry, at, problems);
        tables.servicePlacements[ServiceName(name)] = readRunners(reader, problems);
        reader.finish();
    });
    placements.finish();
}

void readLimits(ObjectReader &document, Problems &problems, Tables &tables)
{
    const auto *value = document.raw("limits");
    if (!value) {
        return;
    }
    ObjectReader reader(*value, document.at() / "limits", problems);
    tables.limits.queueWait = reader.optionalMilliseconds("queue_wait_ms", DeadlineRange);
    tables.limits.retryShare = reader.optionalNumber("retry_share", PartRange);
    tables.limits.awayShare = reader.optionalNumber("away_share", PartRange);
    tables.limits.ejectedShare = reader.optionalNumber("ejected_share", PartRange);
    reader.finish();
}

} // namespace

Tables readTables(const json &document, Problems &problems)
{
    Tables tables;
    ObjectReader reader(document, json::json_pointer(), problems);
    reader.wholeNumber("schema", {SchemaVersion, SchemaVersion});
    readRegions(reader, problems, tables);
    readLinks(reader, problems, tables);
    readPriorities(reader, problems, tables);
    readResidencyRules(reader, problems, tables);
    readCustomers(reader, problems, tables);
    readModels(reader, problems, tables);
    readServices(reader, problems, tables);
    readRoutes(reader, problems, tables);
    readPlacements(reader, problems, tables);
    readLimits(reader, problems, tables);
    reader.finish();
    return tables;
}

} // namespace LaburnumChute::Configuration
