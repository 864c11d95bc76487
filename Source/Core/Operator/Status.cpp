#include "Operator/Status.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace LaburnumChute::Operator {

using nlohmann::json;

namespace {

/// Member of an object, or the default if it is absent or has another type.
template <typename T>
T member(const json &object, const char *name, T absent)
{
    if (!object.is_object()) {
        return absent;
    }
    const auto found = object.find(name);
    if (found == object.end()) {
        return absent;
    }
    if constexpr (std::is_same_v<T, bool>) {
        return found->is_boolean() ? found->template get<bool>() : absent;
    } else if constexpr (std::is_integral_v<T>) {
        return found->is_number_unsigned() ? found->template get<T>() : absent;
    } else {
        return found->is_string() ? found->template get<T>() : absent;
    }
}

json part(const json &object, const char *name)
{
    return object.is_object() && object.contains(name) ? object[name] : json();
}

EndpointView readEndpoint(const json &entry)
{
    EndpointView view;
    view.id = Common::EndpointId(member<std::string>(entry, "id", "?"));
    view.listed = member(entry, "listed", false);
    view.leaving = member(entry, "leaving", false);
    view.excluded = member(part(entry, "health"), "excluded", false);
    view.ownInFlight = member<std::uint64_t>(entry, "own_in_flight", 0);
    return view;
}

using Row = std::vector<std::string>;

/// Formats a table with columns as wide as their widest cell, separated by two spaces.
std::string layOut(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += fmt::format("{:<{}}", row[column], widths[column] + 2);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

json endpointDocument(const std::string &id, const std::string &state, std::uint64_t inFlight)
{
    return {{"id", id}, {"state", state}, {"in_flight", inFlight}};
}

json instanceDocument(const AskedInstance &asked)
{
    if (!asked.view) {
        return {{"address", asked.address}, {"error", asked.view.error().message}};
    }
    const auto &view = *asked.view;
    return {{"address", asked.address},
            {"instance", view.instance.text()},
            {"region", view.region.text()},
            {"state", view.draining ? "draining" : "serving"},
            {"configuration_number", view.configuration},
            {"last_rejection", view.lastRejection},
            {"requests_in_flight", view.requestsInFlight},
            {"members", view.members}};
}

} // namespace

Common::Result<InstanceView> readInstanceView(std::string_view dump)
{
    const auto state = json::parse(dump, nullptr, false);
    if (!state.is_object() || !state.contains("instance")) {
        return Common::makeError(
            Common::ErrorCode::ProtocolViolation,
            "the answer is no dump; expected the operator address of a gateway");
    }
    const auto platform = part(state, "platform");
    InstanceView view;
    view.instance = Common::InstanceId(member<std::string>(state, "instance", "?"));
    view.region = Common::RegionName(member<std::string>(state, "region", "?"));
    view.draining = member(state, "draining", false);
    view.requestsInFlight = member<std::uint64_t>(state, "requests_in_flight", 0);
    view.configuration = member<std::uint64_t>(platform, "configuration_number", 0);
    view.lastRejection = member<std::string>(platform, "last_rejection", "");
    const auto members = part(part(platform, "cluster"), "members");
    if (members.is_array()) {
        for (const auto &entry : members) {
            view.members[member<std::string>(entry, "id", "?")] =
                member<std::string>(entry, "state", "?");
        }
    }
    const auto endpoints = part(part(state, "decisions"), "endpoints");
    if (endpoints.is_array()) {
        std::transform(endpoints.begin(), endpoints.end(), std::back_inserter(view.endpoints),
                       readEndpoint);
    }
    return view;
}

FleetStatus::FleetStatus(std::vector<AskedInstance> asked)
    : asked_(std::move(asked))
{
}

bool FleetStatus::allAnswered() const
{
    return std::all_of(asked_.begin(), asked_.end(),
                       [](const AskedInstance &asked) { return asked.view.has_value(); });
}

bool FleetStatus::sameConfiguration() const
{
    std::set<Common::ConfigurationNumber> numbers;
    for (const auto &asked : asked_) {
        if (asked.view) {
            numbers.insert(asked.view->configuration);
        }
    }
    return numbers.size() <= 1;
}

std::map<std::string, FleetStatus::EndpointSummary> FleetStatus::endpoints() const
{
    std::map<std::string, EndpointSummary> result;
    for (const auto &asked : asked_) {
        if (!asked.view) {
            continue;
        }
        for (const auto &endpoint : asked.view->endpoints) {
            auto &summary = result[endpoint.id.text()];
            ++summary.views;
            summary.listed += endpoint.listed ? 1 : 0;
            summary.leaving += endpoint.leaving ? 1 : 0;
            summary.excluded += endpoint.excluded ? 1 : 0;
            summary.inFlight += endpoint.ownInFlight;
        }
    }
    return result;
}

std::string FleetStatus::stateOf(const EndpointSummary &summary)
{
    if (summary.leaving > 0) {
        return fmt::format("leaving for {} of {}", summary.leaving, summary.views);
    }
    if (summary.listed < summary.views) {
        return fmt::format("not listed for {} of {}", summary.views - summary.listed,
                           summary.views);
    }
    if (summary.excluded > 0) {
        return fmt::format("ejected by {} of {}", summary.excluded, summary.views);
    }
    return "live";
}

std::string FleetStatus::instanceTable() const
{
    std::vector<Row> rows = {
        {"ADDRESS", "INSTANCE", "REGION", "STATE", "CONFIGURATION", "IN FLIGHT", "REMARK"}};
    for (const auto &asked : asked_) {
        if (!asked.view) {
            rows.push_back(
                {asked.address, "-", "-", "no answer", "-", "-", asked.view.error().message});
            continue;
        }
        const auto &view = *asked.view;
        const auto remark =
            view.lastRejection.empty()
                ? std::string()
                : "refused: " + view.lastRejection.substr(0, view.lastRejection.find('\n'));
        rows.push_back({asked.address, view.instance.text(), view.region.text(),
                        view.draining ? "draining" : "serving", std::to_string(view.configuration),
                        std::to_string(view.requestsInFlight), remark});
    }
    return layOut(rows);
}

std::string FleetStatus::memberTable() const
{
    std::map<std::pair<std::string, std::string>, std::vector<std::string>> observers;
    for (const auto &asked : asked_) {
        if (!asked.view) {
            continue;
        }
        for (const auto &[id, state] : asked.view->members) {
            observers[{id, state}].push_back(asked.view->instance.text());
        }
    }
    std::vector<Row> rows = {{"MEMBER", "STATE", "SEEN SO BY"}};
    for (const auto &[key, names] : observers) {
        rows.push_back({key.first, key.second, fmt::format("{}", fmt::join(names, ", "))});
    }
    return layOut(rows);
}

std::string FleetStatus::endpointTable() const
{
    std::vector<Row> rows = {{"ENDPOINT", "STATE", "IN FLIGHT"}};
    for (const auto &[id, summary] : endpoints()) {
        rows.push_back({id, stateOf(summary), std::to_string(summary.inFlight)});
    }
    return layOut(rows);
}

std::string FleetStatus::table() const
{
    return instanceTable() + "\n" + memberTable() + "\n" + endpointTable();
}

json FleetStatus::document() const
{
    json instances = json::array();
    for (const auto &asked : asked_) {
        instances.push_back(instanceDocument(asked));
    }
    json endpointList = json::array();
    for (const auto &[id, summary] : endpoints()) {
        endpointList.push_back(endpointDocument(id, stateOf(summary), summary.inFlight));
    }
    return {{"instances", instances},
            {"endpoints", endpointList},
            {"all_answered", allAnswered()},
            {"same_configuration", sameConfiguration()}};
}

} // namespace LaburnumChute::Operator
