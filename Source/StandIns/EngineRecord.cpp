#include "StandIns/EngineRecord.h"

namespace LaburnumChute::StandIns {

nlohmann::json toJson(const RunRecord &record, bool withTokenTimes)
{
    nlohmann::json json = {{"request_id", record.requestId},
                           {"idempotency_key", record.idempotencyKey},
                           {"model", record.model},
                           {"prompt_tokens", record.promptTokens},
                           {"cached_tokens", record.cachedTokens},
                           {"tokens", record.tokens},
                           {"tokens_after_close", record.tokensAfterClose},
                           {"started_at_ms", record.startedAtMs},
                           {"ended_at_ms", record.endedAtMs},
                           {"end", record.end},
                           {"engine_seconds", record.engineSeconds},
                           {"answer_dropped", record.answerDropped}};
    if (withTokenTimes) {
        json["token_times_ms"] = record.tokenTimes;
    }
    return json;
}

std::size_t RunRecords::add(RunRecord record)
{
    records_.push_back(std::move(record));
    return dropped_ + records_.size() - 1;
}

RunRecord &RunRecords::at(std::size_t index)
{
    return index < dropped_ ? forgotten_ : records_.at(index - dropped_);
}

nlohmann::json RunRecords::toJson(bool withTokenTimes) const
{
    auto list = nlohmann::json::array();
    for (const auto &record : records_) {
        list.push_back(StandIns::toJson(record, withTokenTimes));
    }
    return list;
}

void RunRecords::clear()
{
    dropped_ += records_.size();
    records_.clear();
}

} // namespace LaburnumChute::StandIns
