#pragma once

// Internal to the simulation: its gateways and engines.

#include <string>
#include <unordered_map>

#include "Simulation.h"

namespace LaburnumChute::Experiments {

/// One way between regions.
inline constexpr double RegionLinkSeconds = 0.055;

inline Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

struct Simulation::Gateway
{
    Gateway(const Decisions::SchedulerOptions &policy, const std::string &id, int regionIndex,
            const std::string &region, std::uint64_t seed)
        : region(regionIndex)
        , scheduler(policy, Common::InstanceId(id), Common::RegionName(region), seed)
    {
    }

    int region;
    Decisions::Scheduler scheduler;
    /// Gateway that forwarded a call here.
    std::unordered_map<std::size_t, Gateway *> origin;
    std::unordered_map<std::size_t, Gateway *> forwardedTo;
};

struct Simulation::Engine
{
    Engine(const Fleet::Runner &engineRunner, const EngineProfile &profile)
        : runner(engineRunner)
        , fake(profile)
    {
    }

    Fleet::Runner runner;
    FakeEngine fake;
    bool stepping = false;
    bool lost = false;
    std::unordered_map<std::string, Gateway *> gatewayOf;
};

struct Simulation::Caller
{
    Gateway *gateway = nullptr;
    bool left = false;
    bool completed = false;
    bool gaveUp = false;
    double firstToken = -1;
};

} // namespace LaburnumChute::Experiments
