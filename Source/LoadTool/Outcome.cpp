#include "LoadTool/Outcome.h"

namespace LaburnumChute::LoadTool {

std::string_view toString(End end)
{
    switch (end) {
    case End::Complete:
        return "complete";
    case End::Cancelled:
        return "cancelled";
    case End::Refused:
        return "refused";
    case End::Broken:
        return "broken";
    case End::Unknown:
        return "unknown";
    }
    return "";
}

nlohmann::json toJson(const Outcome &outcome)
{
    const auto ms = [](Common::Duration duration) { return Common::toSeconds(duration) * 1000; };
    nlohmann::json json = {{"id", outcome.id},
                           {"group", outcome.group},
                           {"region", outcome.region},
                           {"wanted", outcome.wanted},
                           {"end", toString(outcome.end)},
                           {"status", outcome.lastStatus},
                           {"problem", outcome.lastProblem},
                           {"tries", outcome.tryIds},
                           {"served_by", outcome.servedBy},
                           {"started_at_ms", outcome.startedAtMs},
                           {"total_ms", ms(outcome.total)},
                           {"tokens", outcome.tokens},
                           {"corrupt", outcome.corrupt}};
    if (outcome.firstToken) {
        json["first_token_ms"] = ms(*outcome.firstToken);
    }
    if (outcome.cancelledAtMs != 0) {
        json["cancelled_at_ms"] = outcome.cancelledAtMs;
    }
    if (!outcome.idempotencyKey.empty()) {
        json["idempotency_key"] = outcome.idempotencyKey;
    }
    return json;
}

} // namespace LaburnumChute::LoadTool
