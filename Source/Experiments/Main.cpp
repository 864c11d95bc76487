// laburnumchute-decisions: plays seeded traces against the decision code alone and prints one line
// for each policy. Everything is in virtual time; two runs with the same flags print the same.

#include <iostream>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "Common/Common.h"
#include "PlacementComparison.h"
#include "Simulation.h"
#include "Workload.h"

namespace LaburnumChute::Experiments {

namespace {

using namespace Decisions;

const Common::Setting<std::string> TraceName{"trace",
                                             "Trace",
                                             "otaru",
                                             "Trace to play",
                                             "otaru or caroni",
                                             [](const std::string &value) {
                                                 return value == "otaru" || value == "caroni"; }};
const Common::Setting<std::int64_t> Seed{"seed", "Trace", 1, "Seed of the trace", "a whole number"};
const Common::Setting<double> Length{"seconds", "Trace", 300, "Virtual seconds", "a number"};
const Common::Setting<double> Load{"load", "Trace", 0.9, "Offered work as a share of capacity",
                                   "a number"};
const Common::Setting<double> Abandonment{"abandonment", "Trace", 0.6,
                                          "Share of drafts and lines that are abandoned",
                                          "a number from 0 to 0.9"};
const Common::Setting<double> Peaks{"regional-peaks", "Trace", 0,
                                    "Swing of each region's rate around its mean",
                                    "a number from 0 to 1"};
const Common::Setting<std::int64_t> Instances{"instances", "Fleet", 1, "Instances in each region",
                                              "a whole number"};
const Common::Setting<double> Lag{"report-lag", "Fleet", 0.5, "Age of load reports in seconds",
                                  "a number"};
const Common::Setting<double> Lost{
    "lost-share", "Fleet", 0, "Share of engines lost from 100 s to 200 s", "a number from 0 to 1"};
const Common::Setting<double> Slow{"slow-engine", "Fleet", 1,
                                   "Factor on the step time of one engine", "a number"};

const Common::Setting<bool> Placements{"placements", "Trace", false,
                                       "Compare placement policies instead", "true or false"};

struct Policy
{
    std::string name;
    SchedulerOptions options;
};

std::vector<Policy> policies()
{
    std::vector<Policy> result;
    result.push_back({"decisions", {}});
    SchedulerOptions homeOnly;
    homeOnly.spill.enabled = false;
    result.push_back({"  without spill", homeOnly});
    SchedulerOptions noAdmission;
    noAdmission.admission.enabled = false;
    result.push_back({"  without admission", noAdmission});
    SchedulerOptions fifo;
    fifo.queue.order = FifoOrder{};
    result.push_back({"  queue in arrival order", fifo});
    SchedulerOptions lifo;
    lifo.queue.order = AdaptiveLifoOrder{};
    result.push_back({"  adaptive LIFO alone", lifo});
    result.push_back({"round robin", baselineOptions(RoundRobinPolicy{})});
    result.push_back({"least in flight", baselineOptions(LeastInFlightPolicy{})});
    result.push_back({"random of two", baselineOptions(RandomOfTwoPolicy{})});
    return result;
}

void printHeader()
{
    fmt::print("{:<24}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>8}{:>9}{:>9}{:>9}{:>9}  p99 of each kind\n",
               "policy", "cost", "/least", "p50", "p99", "p999", "away", "refused", "unserved",
               "complete", "aban.tok", "wasted");
}

void printLine(const std::string &name, const Figures &figures, double leastCost)
{
    const auto &first = figures.firstToken;
    const auto tokens = static_cast<double>(std::max<std::int64_t>(1, figures.tokens));
    const auto sent = static_cast<double>(std::max<std::size_t>(1, figures.dispatches));
    fmt::print("{:<24}{:>8.4f}{:>8.2f}{:>8.3f}{:>8.3f}{:>8.3f}{:>8.2f}%{:>8}{:>9}{:>9}"
               "{:>8.1f}%{:>9}",
               name, figures.cost(), figures.cost() / leastCost, Figures::quantile(first, 0.5),
               Figures::quantile(first, 0.99), Figures::quantile(first, 0.999),
               100 * static_cast<double>(figures.forwards) / sent, figures.refusals,
               figures.unserved, figures.completed,
               100 * static_cast<double>(figures.abandonedTokens) / tokens,
               figures.tokensAfterLeaving);
    for (const auto &[model, times] : figures.firstTokenByModel) {
        fmt::print("  {} {:.3f}", model, Figures::quantile(times, 0.99));
    }
    fmt::print("\n");
}

int runAll(const Common::Settings &settings)
{
    const EngineProfile profile;
    TraceOptions options;
    options.seed = static_cast<std::uint64_t>(settings.get(Seed));
    options.seconds = settings.get(Length);
    options.load = settings.get(Load);
    options.abandonment = settings.get(Abandonment);
    options.regionalPeaks = settings.get(Peaks);
    SimulationOptions simulation;
    simulation.instancesPerRegion = static_cast<int>(settings.get(Instances));
    simulation.reportLagSeconds = settings.get(Lag);
    simulation.lostShare = settings.get(Lost);
    simulation.slowEngine = settings.get(Slow);
    const bool otaru = settings.get(TraceName) == "otaru";
    const auto trace = otaru ? otaruTrace(options, profile) : caroniTrace(options, profile);
    fmt::print("{}: {} calls, least cost {:.4f}, without foresight {:.4f} engine seconds\n",
               trace.fleet.name, trace.calls.size(), trace.leastCost,
               trace.leastCostWithoutForesight);
    printHeader();
    for (const auto &policy : policies()) {
        Simulation run(trace, profile, policy.options, simulation);
        printLine(policy.name, run.run(), trace.leastCostWithoutForesight);
    }
    return 0;
}

} // namespace

} // namespace LaburnumChute::Experiments

int main(int argc, char **argv)
{
    using namespace LaburnumChute;
    using namespace LaburnumChute::Experiments;
    Common::Settings settings;
    settings.declare(TraceName);
    settings.declare(Seed);
    settings.declare(Length);
    settings.declare(Load);
    settings.declare(Abandonment);
    settings.declare(Peaks);
    settings.declare(Instances);
    settings.declare(Lag);
    settings.declare(Lost);
    settings.declare(Slow);
    settings.declare(Placements);
    const auto words = settings.parse(std::vector<std::string>(argv + 1, argv + argc),
                                      Common::processEnvironment());
    if (!words) {
        std::cerr << "laburnumchute-decisions: " << words.error().message << '\n';
        return 2;
    }
    if (settings.helpWanted()) {
        std::cout << settings.helpText();
        return 0;
    }
    if (settings.get(Placements)) {
        comparePlacements(static_cast<std::uint64_t>(settings.get(Seed)));
        return 0;
    }
    return runAll(settings);
}
