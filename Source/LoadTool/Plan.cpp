#include "LoadTool/Plan.h"

namespace LaburnumChute::LoadTool {

namespace {

Range range(const nlohmann::json &json, const char *name, Range otherwise)
{
    const auto found = json.find(name);
    return found == json.end() ? otherwise : Range{found->at(0), found->at(1)};
}

CallKind kind(const std::string &text)
{
    if (text == "service") {
        return CallKind::Service;
    }
    return text == "completion" ? CallKind::Completion : CallKind::Chat;
}

} // namespace

CallerGroup::CallerGroup(const nlohmann::json &json)
    : name(json.at("name"))
    , region(json.at("region"))
    , kind(LoadTool::kind(json.value("kind", "chat")))
    , target(json.at("target"))
{
    method = json.value("method", method);
    path = json.value("path", path);
    token = json.value("token", token);
    priority = json.value("priority", priority);
    ratePerSecond = json.value("rate_per_second", ratePerSecond);
    prefixes = json.value("prefixes", prefixes);
    prefixTokens = range(json, "prefix_tokens", prefixTokens);
    lineTokens = range(json, "line_tokens", lineTokens);
    answerTokens = range(json, "answer_tokens", answerTokens);
    wantedShare = json.value("wanted_share", wantedShare);
    patience = Common::milliseconds(json.value("patience_ms", patience.count()));
    retypeShare = json.value("retype_share", retypeShare);
    repeatable = json.value("repeatable", repeatable);
    homeOnly = json.value("home_only", homeOnly);
}

Plan::Plan(const nlohmann::json &json)
{
    directory = json.value("directory", directory);
    customer = json.value("customer", customer);
    straight = json.value("straight", straight);
    duration = Common::seconds(json.value("seconds", duration.count()));
    seed = json.value("seed", seed);
    controls = json.value("controls", controls);
    endpointRegions = json.value("endpoint_regions", endpointRegions);
    recordFile = json.value("record_file", recordFile);
    for (const auto &group : json.at("callers")) {
        groups.emplace_back(group);
    }
}

} // namespace LaburnumChute::LoadTool
