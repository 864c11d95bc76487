#include "Decisions/Placement.h"

#include <algorithm>
#include <cmath>

namespace LaburnumChute::Decisions {

namespace {

/// Anti-windup limit of the integral: without it the controller would stay up after a long overload
/// for as long again.
constexpr double MaxErrorSum = 3;

int roundedUp(double replicas)
{
    return static_cast<int>(std::ceil(replicas - 1e-9));
}

} // namespace

Placement::Placement(const PlacementOptions &options)
    : options_(options)
{
}

int Placement::desiredReplicas(const UtilisationPlacement &policy, const TargetDemand &demand,
                               double tokensPerSecond, int /*current*/)
{
    return roundedUp(demand.mean / (tokensPerSecond * policy.utilisation));
}

int Placement::desiredReplicas(const VariancePlacement &policy, const TargetDemand &demand,
                               double tokensPerSecond, int /*current*/)
{
    return roundedUp((demand.mean + policy.factor * demand.deviation) / tokensPerSecond);
}

int Placement::desiredReplicas(const ControllerPlacement &policy, const TargetDemand &demand,
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
    const int replicas = std::visit(
        [&](const auto &policy) {
            return desiredReplicas(policy, demand, tokensPerSecond, current);
        },
        options_.policy);
    const int target = std::max(options_.minimum, replicas);
    if (target >= current) {
        lowDemandSince_.reset();
        return target;
    }
    if (!lowDemandSince_) {
        lowDemandSince_ = now;
    }
    return now - *lowDemandSince_ >= options_.shrinkAfter ? target : current;
}

} // namespace LaburnumChute::Decisions
