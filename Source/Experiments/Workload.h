#pragma once

#include <optional>
#include <string>
#include <vector>

#include "FakeEngine.h"

namespace LaburnumChute::Experiments {

/// One request of a trace and what its caller will do.
struct Call
{
    double atSeconds = 0;
    int region = 0;
    std::string customer;
    Decisions::Target target;
    int priority = 0;
    Decisions::Patience patience = Decisions::Patience::Normal;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    std::int64_t outputTokens = 0;
    std::vector<std::uint64_t> blocks;
    /// The caller leaves this long after the request, whatever has come by then. None: wanted.
    std::optional<double> leavesAfterSeconds;
    /// Index of the call that this one replaces; the caller tells the gateway.
    std::optional<std::size_t> supersedes;
    /// Bound to its home region.
    bool homeOnly = false;
};

struct Fleet
{
    std::string name;
    std::vector<std::string> regions;
    double linkMegabitsPerSecond = 140;
    struct Runner
    {
        std::string id;
        int region = 0;
        Decisions::Target target;
    };
    std::vector<Runner> runners;
};

struct TraceOptions
{
    std::uint64_t seed = 1;
    double seconds = 300;
    /// Offered work as a share of what the fleet does at full batches.
    double load = 0.9;
    /// Share of the drafts or prompt lines that are abandoned.
    double abandonment = 0.6;
    /// How far each region's rate swings around its mean, with a period of 120 s and shifted peaks.
    double regionalPeaks = 0;
};

struct Trace
{
    Fleet fleet;
    std::vector<Call> calls;
    /// Engine seconds per wanted request if none but wanted requests ran, each block was computed
    /// once and every batch was full: no policy can go below it.
    double leastCost = 0;
    /// As above, with abandoned requests run from their arrival until their caller leaves: what a
    /// policy without foresight pays if it starts each request at once.
    double leastCostWithoutForesight = 0;
};

/// Otaru: 12 inscription and 3 order desk runners in 3 regions; drafts that are retyped.
Trace otaruTrace(const TraceOptions &options, const EngineProfile &profile);
/// Caroni: 9 hotline and 3 dispatch desk runners in 3 regions; prompt lines beside call histories.
Trace caroniTrace(const TraceOptions &options, const EngineProfile &profile);

} // namespace LaburnumChute::Experiments
