#include "PlacementComparison.h"

#include <cmath>
#include <deque>
#include <numbers>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "Decisions/Decisions.h"
#include "Decisions/DemandMeter.h"

namespace LaburnumChute::Experiments {

namespace {

using namespace Decisions;

constexpr int WindowSeconds = 5;
constexpr int Windows = 7 * 86400 / WindowSeconds;
constexpr int DecideEvery = 60 / WindowSeconds;
/// A load from the rate-limited weight store.
constexpr int LoadWindows = 180 / WindowSeconds;
constexpr double RunnerTokensPerSecond = 740;

std::vector<double> demandTrace(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::normal_distribution<double> noise(0, 1);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<double> result;
    double slow = 0;
    int burst = 0;
    for (int window = 0; window < Windows; ++window) {
        const double day = 2 * std::numbers::pi * window * WindowSeconds / 86400;
        slow = 0.999 * slow + 0.01 * noise(random);
        burst = burst > 0 ? burst - 1 : (uniform(random) < 0.0005 ? 120 : 0);
        const double mean = 4000 * (1 + 0.6 * std::sin(day)) * (1 + slow);
        const double value = mean * (burst > 0 ? 1.5 : 1) * (1 + 0.2 * noise(random));
        result.push_back(std::max(0.0, value));
    }
    return result;
}

struct Result
{
    double meanRunners = 0;
    double shortShare = 0;
    int loads = 0;
};

Result play(const std::vector<double> &demand, const PlacementPolicy &policy)
{
    PlacementOptions options;
    options.policy = policy;
    Placement placement(options);
    DemandMeter meter(seconds(WindowSeconds), 60);
    const Target target = Target::model(Common::ModelName("model"));
    Time now = Time() + std::chrono::hours(1);
    int ready = 6;
    std::deque<int> readyAt;
    Result result;
    double wanted = 0;
    double missed = 0;
    for (int window = 0; window < static_cast<int>(demand.size()); ++window) {
        while (!readyAt.empty() && readyAt.front() <= window) {
            readyAt.pop_front();
            ++ready;
        }
        const double tokens = demand[static_cast<std::size_t>(window)];
        meter.add(target, tokens * WindowSeconds, now);
        wanted += tokens;
        missed += std::max(0.0, tokens - ready * RunnerTokensPerSecond);
        const int held = ready + static_cast<int>(readyAt.size());
        result.meanRunners += held;
        now += seconds(WindowSeconds);
        const auto measured = meter.demand(now);
        if (window % DecideEvery != 0 || measured.empty()) {
            continue;
        }
        const int next = placement.desired(measured.front(), RunnerTokensPerSecond, held, now);
        for (int more = held; more < next; ++more) {
            readyAt.push_back(window + LoadWindows);
            ++result.loads;
        }
        for (int less = held; less > next; --less) {
            if (readyAt.empty()) {
                --ready;
            } else {
                readyAt.pop_back();
            }
        }
    }
    result.meanRunners /= static_cast<double>(demand.size());
    result.shortShare = missed / wanted;
    return result;
}

} // namespace

void comparePlacements(std::uint64_t seed)
{
    const auto demand = demandTrace(seed);
    const std::vector<std::pair<std::string, PlacementPolicy>> policies{
        {"plain target 0.80", UtilisationPlacement{0.80}},
        {"plain target 0.75", UtilisationPlacement{0.75}},
        {"plain target 0.70", UtilisationPlacement{0.70}},
        {"plain target 0.60", UtilisationPlacement{0.60}},
        {"mean + 1 deviation", VariancePlacement{1}},
        {"mean + 2 deviations", VariancePlacement{2}},
        {"mean + 3 deviations", VariancePlacement{3}},
        {"controller 0.70", ControllerPlacement{0.70}},
        {"controller 0.60", ControllerPlacement{0.60}},
    };
    fmt::print("{:<22}{:>14}{:>14}{:>8}\n", "placement", "mean runners", "work short", "loads");
    for (const auto &[name, policy] : policies) {
        const auto result = play(demand, policy);
        fmt::print("{:<22}{:>14.2f}{:>13.3f}%{:>8}\n", name, result.meanRunners,
                   100 * result.shortShare, result.loads);
    }
}

} // namespace LaburnumChute::Experiments
