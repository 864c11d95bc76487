#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "LoadTool/Outcome.h"
#include "LoadTool/Plan.h"

namespace LaburnumChute::LoadTool {

/// What a run came to: the callers' view and, from the endpoints' records, what it cost.
struct Report
{
    std::size_t requests = 0;
    std::size_t wanted = 0;
    std::size_t complete = 0;
    std::size_t cancelled = 0;
    /// Cancelled requests that no endpoint ever began.
    std::size_t cancelledUnrun = 0;
    std::size_t tries = 0;
    std::size_t tokens = 0;
    std::size_t tokensAfterCancel = 0;
    double engineSeconds = 0;
    std::size_t answered = 0;
    std::size_t away = 0;
    std::size_t cachedPromptTokens = 0;
    std::size_t promptTokens = 0;
    std::vector<Common::Duration> firstToken;
    std::vector<Common::Duration> betweenTokens;
    /// Whole times of answers that were not streamed.
    std::vector<Common::Duration> wholeTimes;
    std::vector<Common::Duration> serviceTimes;

    // What must be zero.
    std::size_t lost = 0;
    std::size_t corrupt = 0;
    std::size_t duplicateRuns = 0;
    std::size_t wrongNotRun = 0;
    std::size_t residencyBreaches = 0;

    /// First few of what went wrong, for people.
    std::vector<std::string> remarks;

    bool good() const;
};

/// records: the bodies of GET /record?times=true of all control ports.
Report evaluate(const Plan &plan, const std::vector<Outcome> &outcomes,
                const std::vector<nlohmann::json> &records);

/// The table that a person reads.
std::string table(const Report &report);

/// Quantile of a list, 0 to 1; zero of an empty one.
Common::Duration quantile(std::vector<Common::Duration> values, double fraction);

} // namespace LaburnumChute::LoadTool
