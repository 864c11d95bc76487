#include <nlohmann/json.hpp>

#include "Operator/OperatorClient.h"
#include "Operator/Status.h"
#include "Operator/Verbs.h"

namespace LaburnumChute::Operator {

namespace {

constexpr int Indent = 2;
constexpr std::size_t DumpLimitBytes = 64UL * 1024 * 1024;

const Common::Setting<bool> JsonSetting{"json", "operator", false, "Print JSON in place of tables",
                                        "true or false"};

Common::Result<InstanceView> viewOf(const Common::Result<Readers::HttpClientResponse> &answer)
{
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    return readInstanceView(answer->body);
}

FleetStatus ask(const Invocation &invocation)
{
    std::vector<Readers::HttpClientRequest> queries;
    for (const auto &address : invocation.words) {
        Readers::HttpClientRequest query;
        query.address = address;
        query.target = "/dump";
        query.timeout = invocation.settings.get(TimeoutSetting);
        query.bodyLimitBytes = DumpLimitBytes;
        queries.push_back(std::move(query));
    }
    const auto answers = fetchAll(queries);
    std::vector<AskedInstance> asked;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        asked.push_back({queries[index].address, viewOf(answers[index])});
    }
    return FleetStatus(std::move(asked));
}

int run(const Invocation &invocation)
{
    if (invocation.words.empty()) {
        return complain(invocation, "status: expected at least one address (ip:port)", StatusUsage);
    }
    const auto status = ask(invocation);
    if (invocation.settings.get(JsonSetting)) {
        invocation.out << status.document().dump(Indent) << '\n';
    } else {
        invocation.out << status.table();
    }
    if (!status.allAnswered()) {
        return StatusUnreachable;
    }
    return status.sameConfiguration() ? StatusDone : StatusRefused;
}

} // namespace

Verb statusVerb()
{
    Verb verb;
    verb.name = "status";
    verb.operands = "ADDRESS...";
    verb.summary = "Show who is alive, which configuration is in force where, and each endpoint";
    verb.description = "Asks the gateways at these operator addresses (ip:port) all at once. "
                       "Members and endpoints are shown as the gateways see them, so that a "
                       "difference between two views stands out.";
    verb.statuses = {{StatusDone, "all answered and have the same configuration number in force"},
                     {StatusRefused, "all answered, with different configuration numbers"},
                     {StatusUsage, "a word or a setting is wrong"},
                     {StatusUnreachable, "a gateway did not answer with its state"}};
    verb.declareSettings = [](Common::Settings &settings) {
        settings.declare(JsonSetting);
        settings.declare(TimeoutSetting);
    };
    verb.run = run;
    return verb;
}

} // namespace LaburnumChute::Operator
