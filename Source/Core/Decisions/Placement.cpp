#include "Decisions/Placement.h"

#include <algorithm>
#include <cmath>

namespace LaburnumChute::Decisions {

namespace {

/// Keeps a long overload from holding the controller up for as long again.
constexpr double MaxErrorSum = 3;

int roundedUp(double runners)
{
    return static_cast<int>(std::ceil(runners - 1e-9));
}

} // namespace

Placement::Placement(const PlacementOptions &options)
    : options_(options)
{
}

int Placement::wanted(const UtilisationPlacement &policy, const TargetDemand &demand,
                      double tokensPerSecond, int /*current*/)
{
    return roundedUp(demand.mean / (tokensPerSecond * policy.utilisation));
}

int Placement::wanted(const VariancePlacement &policy, const TargetDemand &demand,
                      double tokensPerSecond, int /*current*/)
{
    return roundedUp((demand.mean + policy.factor * demand.deviation) / tokensPerSecond);
}

int Placement::wanted(const ControllerPlacement &policy, const TargetDemand &demand,
                      double tokensPerSecond, int current)
{
    const double utilisation = demand.mean / (tokensPerSecond * std::max(1, current));
    const double error = utilisation - policy.targetUtilisation;
    errorSum_ = std::clamp(errorSum_ + error, -MaxErrorSum, MaxErrorSum);
    const double output = policy.proportional * error + policy.integral * errorSum_
                          + policy.derivative * (error - lastError_);
    lastError_ = error;
    const int step = std::max(1, static_cast<int>(policy.step * current));
    const double band = policy.targetUtilisation * policy.deadBand / 2;
    if (output > band) {
        return current + step;
    }
    return output < -band ? current - step : current;
}

int Placement::desired(const TargetDemand &demand, double tokensPerSecond, int current, Time now)
{
    if (tokensPerSecond <= 0) {
        return std::max(options_.minimum, current);
    }
    const int runners = std::visit(
        [&](const auto &policy) { return wanted(policy, demand, tokensPerSecond, current); },
        options_.policy);
    const int target = std::max(options_.minimum, runners);
    if (target >= current) {
        fewerSince_.reset();
        return target;
    }
    if (!fewerSince_) {
        fewerSince_ = now;
    }
    return now - *fewerSince_ >= options_.shrinkAfter ? target : current;
}

} // namespace LaburnumChute::Decisions
