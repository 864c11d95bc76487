#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/Common.h"

namespace LaburnumChute::LoadTool {

/// How a request ended for its caller.
enum class End {
    Complete,
    /// The caller left.
    Cancelled,
    /// All tries were refused.
    Refused,
    /// The last try broke off, or ran into the caller's last bound.
    Broken,
    /// Not repeatable and its outcome was not learned: the caller must ask by other means.
    Unknown,
};

std::string_view toString(End end);

/// One request as its caller saw it.
struct Outcome
{
    std::string id;
    std::string group;
    std::string region;
    bool model = true;
    bool wanted = true;
    bool homeOnly = false;
    End end = End::Broken;
    unsigned lastStatus = 0;
    std::string lastProblem;
    int tries = 0;
    /// Request ids of all tries.
    std::vector<std::string> tryIds;
    std::string idempotencyKey;
    /// The endpoint that answered.
    std::string servedBy;
    std::uint64_t startedAtMs = 0;
    std::uint64_t cancelledAtMs = 0;
    std::optional<Common::Duration> firstToken;
    /// The answer was not streamed: its first byte came with its last.
    bool whole = false;
    Common::Duration total{};
    std::vector<Common::Duration> gaps;
    std::size_t tokens = 0;
    /// What differs from the answer that the engine must have generated; empty when nothing does.
    std::string corrupt;
    /// Refusals that claimed "not run", by request id of the try.
    std::vector<std::string> notRun;
};

nlohmann::json toJson(const Outcome &outcome);

} // namespace LaburnumChute::LoadTool
