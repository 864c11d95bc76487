#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/Common.h"

namespace LaburnumChute::LoadTool {

/// Bounds of an even distribution.
struct Range
{
    std::size_t from = 0;
    std::size_t to = 0;
};

enum class CallKind { Chat, Completion, Service };

/// Callers of one region who do the same thing. Arrivals do not wait for answers (open loop).
struct CallerGroup
{
    explicit CallerGroup(const nlohmann::json &json);

    std::string name;
    std::string region;
    CallKind kind;
    /// Model, or service.
    std::string target;
    /// Method and path of a service call.
    std::string method = "POST";
    std::string path = "/";
    std::string token;
    std::string priority;
    double ratePerSecond = 1;
    /// Prompts begin with one of so many texts of so many tokens, which engines can cache.
    std::size_t prefixes = 1;
    Range prefixTokens;
    /// What the caller types; different in each request.
    Range lineTokens{20, 60};
    Range answerTokens{20, 80};
    /// Share of requests whose caller waits for the whole answer.
    double wantedShare = 1;
    /// Mean time after which the others leave; exponential.
    Common::milliseconds patience{800};
    /// Share of those who leave that send a new draft at once.
    double retypeShare = 0;
    bool repeatable = true;
    /// The answer must come from the caller's own region.
    bool homeOnly = false;
};

/// What the load tool plays.
struct Plan
{
    explicit Plan(const nlohmann::json &json);

    std::string directory;
    std::string customer;
    /// Targets to call directly, by model or service name; for runs without a gateway.
    std::map<std::string, std::vector<std::string>> straight;
    Common::seconds duration{20};
    std::uint64_t seed = 1;
    /// Control ports whose records tell what ran.
    std::vector<std::string> controls;
    std::map<std::string, std::string> endpointRegions;
    std::string recordFile;
    std::vector<CallerGroup> groups;
};

} // namespace LaburnumChute::LoadTool
