#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/Common.h"

namespace LaburnumChute::StandIns {

/// What one request did on one endpoint: the evidence by which tests judge the system.
struct RunRecord
{
    std::string requestId;
    std::string idempotencyKey;
    std::string model;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::size_t tokens = 0;
    /// Tokens generated between the close of the caller's connection and the end.
    std::size_t tokensAfterClose = 0;
    std::uint64_t startedAtMs = 0;
    std::uint64_t endedAtMs = 0;
    /// "running", "finished", "cancelled", "closed" (noticed late) or "crashed".
    std::string end = "running";
    double engineSeconds = 0;
    bool answerDropped = false;
    /// Times of the tokens in milliseconds from the start.
    std::vector<std::uint32_t> tokenTimes;
};

nlohmann::json toJson(const RunRecord &record, bool withTokenTimes);

/// Runs of one endpoint in the order of their start.
class RunRecords
{
public:
    /// Index of the new record.
    std::size_t add(RunRecord record);
    RunRecord &at(std::size_t index);
    nlohmann::json toJson(bool withTokenTimes) const;
    void clear();

private:
    std::vector<RunRecord> records_;
    /// Number of records dropped by clear(), so that indices stay valid.
    std::size_t dropped_ = 0;
    RunRecord forgotten_;
};

} // namespace LaburnumChute::StandIns
