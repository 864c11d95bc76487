#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Operator/OperatorClient.h"
#include "Operator/TextFile.h"
#include "Operator/Verbs.h"

namespace LaburnumChute::Operator {

using nlohmann::json;

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpConflict = 409;
constexpr int Indent = 2;
constexpr std::int64_t NoBase = -1;

const Common::Setting<std::int64_t> BaseSetting{
    "base",
    "operator",
    NoBase,
    "Number of the version that the patch was made for",
    "a whole number from 0",
    [](const std::int64_t &value) { return value >= NoBase; }};
const Common::Setting<std::string> GatewaySetting{
    "gateway", "operator", "", "Operator address of the gateway to ask", "ip:port"};

std::string detailOf(const json &problem, unsigned status)
{
    if (problem.is_object() && problem.contains("detail") && problem["detail"].is_string()) {
        return problem["detail"].get<std::string>();
    }
    return fmt::format("the gateway answered with status {}", status);
}

int printConflict(const Invocation &invocation, const json &problem)
{
    const auto detail = detailOf(problem, HttpConflict);
    const bool named = problem.is_object() && problem.contains("current_number");
    if (!named) {
        return complain(invocation, "patch: " + detail, StatusConflict);
    }
    return complain(
        invocation,
        fmt::format("patch: --base: {}; read version {} again and make the patch for it", detail,
                    problem["current_number"].dump()),
        StatusConflict);
}

int printPublication(const Invocation &invocation, json document)
{
    if (!document.is_object() || !document.contains("content")) {
        return complain(invocation, "patch: the gateway's answer holds no document",
                        StatusUnreachable);
    }
    const auto warnings = document.value("warnings", json());
    if (warnings.is_string() && !warnings.get_ref<const std::string &>().empty()) {
        invocation.error << "warning: " << warnings.get<std::string>() << '\n';
    }
    document.erase("warnings");
    invocation.out << document.dump(Indent) << '\n';
    return StatusDone;
}

int judge(const Invocation &invocation, const Common::Result<Readers::HttpClientResponse> &answer)
{
    if (!answer) {
        return complain(invocation, "patch: " + answer.error().message, StatusUnreachable);
    }
    auto document = json::parse(answer->body, nullptr, false);
    if (answer->status == HttpOk) {
        return printPublication(invocation, std::move(document));
    }
    if (answer->status == HttpConflict) {
        return printConflict(invocation, document);
    }
    constexpr unsigned FirstServerError = 500;
    return complain(invocation, "patch: " + detailOf(document, answer->status),
                    answer->status < FirstServerError ? StatusRefused : StatusUnreachable);
}

int run(const Invocation &invocation)
{
    if (invocation.words.size() != 1) {
        return complain(invocation, "patch: expected the name of one file", StatusUsage);
    }
    const auto base = invocation.settings.get(BaseSetting);
    if (base == NoBase) {
        return complain(invocation,
                        "patch: --base is missing; expected the number of the version that the "
                        "patch was made for",
                        StatusUsage);
    }
    const auto gateway = invocation.settings.get(GatewaySetting);
    if (gateway.empty()) {
        return complain(invocation, "patch: --gateway is missing; expected ip:port", StatusUsage);
    }
    const auto patch = readTextFile(invocation.words[0]);
    if (!patch) {
        return complain(invocation, patch.error().message, StatusUnreachable);
    }
    Readers::HttpClientRequest query;
    query.address = gateway;
    query.method = "POST";
    query.target = fmt::format("/configuration/patch?base={}", base);
    query.headers = {{"Content-Type", "application/json"}};
    query.body = *patch;
    query.timeout = invocation.settings.get(TimeoutSetting);
    return judge(invocation, fetchAll({query}).front());
}

} // namespace

Verb patchVerb()
{
    Verb verb;
    verb.name = "patch";
    verb.operands = "FILE";
    verb.summary = "Apply a patch to the configuration in force and print what to publish";
    verb.description =
        "FILE holds a JSON Patch (RFC 6902, an array) or a JSON Merge Patch (RFC 7396, an object). "
        "The gateway applies it to the version in force, checks the result and prints "
        "{\"follows\": N, \"content\": ...}. Nothing is written: publish the result with the "
        "platform's own means, which accept only the first publication that follows N.";
    verb.statuses = {{StatusDone, "the document to publish is printed"},
                     {StatusRefused, "the patch, or the document it makes, is not valid"},
                     {StatusUsage, "a word or a setting is wrong"},
                     {StatusUnreachable, "the file or the gateway cannot be read"},
                     {StatusConflict,
                      "another version than --base is in force (its number is printed), or the "
                      "patch does not fit the document"}};
    verb.takesFiles = true;
    verb.declareSettings = [](Common::Settings &settings) {
        settings.declare(BaseSetting);
        settings.declare(GatewaySetting);
        settings.declare(TimeoutSetting);
    };
    verb.run = run;
    return verb;
}

} // namespace LaburnumChute::Operator
