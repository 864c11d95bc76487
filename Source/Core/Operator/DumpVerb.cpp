#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Operator/OperatorClient.h"
#include "Operator/Verbs.h"

namespace LaburnumChute::Operator {

using nlohmann::json;

namespace {

constexpr unsigned HttpOk = 200;
constexpr int Indent = 2;

/// Returns the part of the state at a JSON pointer. The library reports an invalid pointer only by
/// an exception.
Common::Result<json> partOf(const json &state, const std::string &pointer)
{
    try {
        return state.at(json::json_pointer(pointer));
    } catch (const json::exception &) {
        return Common::makeError(
            Common::ErrorCode::NotFound,
            fmt::format("dump: \"{}\": expected a JSON Pointer to a part of the state, such as "
                        "/decisions/endpoints",
                        pointer));
    }
}

int run(const Invocation &invocation)
{
    const auto count = invocation.words.size();
    if (count != 1 && count != 2) {
        return complain(invocation, "dump: expected an address and at most one JSON Pointer",
                        StatusUsage);
    }
    Readers::HttpClientRequest query;
    query.address = invocation.words[0];
    query.target = "/dump";
    query.timeout = invocation.settings.get(TimeoutSetting);
    const auto answer = fetchAll({query}).front();
    if (!answer) {
        return complain(invocation, "dump: " + answer.error().message, StatusUnreachable);
    }
    const auto state = json::parse(answer->body, nullptr, false);
    if (answer->status != HttpOk || state.is_discarded()) {
        return complain(invocation,
                        fmt::format("dump: {} answered with status {} and no state; expected the "
                                    "operator address of a gateway",
                                    query.address, answer->status),
                        StatusUnreachable);
    }
    const auto part = partOf(state, count == 2 ? invocation.words[1] : std::string());
    if (!part) {
        return complain(invocation, part.error().message, StatusUsage);
    }
    invocation.out << part->dump(Indent) << '\n';
    return StatusDone;
}

} // namespace

Verb dumpVerb()
{
    Verb verb;
    verb.name = "dump";
    verb.operands = "ADDRESS [POINTER]";
    verb.summary = "Print the state of one gateway as JSON";
    verb.description =
        "ADDRESS is the operator address (ip:port) of a gateway. With a JSON Pointer "
        "such as /decisions/endpoints only that part is printed.";
    verb.statuses = {{StatusDone, "the state is printed"},
                     {StatusUsage, "a word or a setting is wrong"},
                     {StatusUnreachable, "the gateway did not answer with its state"}};
    verb.declareSettings = [](Common::Settings &settings) { settings.declare(TimeoutSetting); };
    verb.run = run;
    return verb;
}

} // namespace LaburnumChute::Operator
