#pragma once

#include <variant>

#include "Decisions/Facts.h"

namespace LaburnumChute::Decisions {

/// Enough replicas for the mean demand at a target utilisation.
struct UtilisationPlacement
{
    /// Fraction of a replica's rate that is planned for.
    double utilisation = 0.7;
};

/// Enough replicas for mean + factor * deviation of the demand: the variance sizing of Baarzi and
/// Kesidis, "SHOWAR: Right-Sizing And Efficient Scheduling of Microservices" (SoCC 2021), section
/// 3.1, applied to replicas instead of CPU shares.
struct VariancePlacement
{
    double factor = 3;
};

/// A PID controller of the utilisation with a dead band: the horizontal autoscaler of the same
/// paper, section 3.2 and algorithm 1, with its defaults. The paper controls the run queue latency
/// of the kernel, which a gateway does not see; utilisation replaces it.
struct ControllerPlacement
{
    double targetUtilisation = 0.7;
    /// Width of the dead band as a fraction of the target.
    double deadBand = 0.2;
    /// Step as a fraction of the replicas; at least one.
    double step = 0.1;
    double proportional = 1.0 / 3;
    double integral = 1.0 / 3;
    double derivative = 1.0 / 3;
};

using PlacementPolicy = std::variant<UtilisationPlacement, VariancePlacement, ControllerPlacement>;

struct PlacementOptions
{
    PlacementPolicy policy = UtilisationPlacement{};
    int minimum = 1;
    /// The number of replicas is reduced only after demand was lower for this long: unloading a
    /// model is cheap, but loading it again takes minutes of the rate-limited weight store.
    Duration shrinkAfter = std::chrono::minutes(5);
};

/// Autoscaling: how many replicas one model or adapter should have.
///
/// Load pattern: demand with daily peaks and noise on a scale of minutes. Without scaling, replicas
/// are idle or every peak meets a model that is still loading; following the noise would reload
/// models continually. Keep one object per target. Instances with the same demand have the same
/// inputs but not the same state, so only the instance that orders changes should ask.
class Placement
{
public:
    explicit Placement(const PlacementOptions &options);

    /// @param tokensPerSecond rate of one replica at full batch, in decode tokens
    /// @param current replicas that are loaded now
    int desired(const TargetDemand &demand, double tokensPerSecond, int current, Time now);

private:
    int desiredReplicas(const UtilisationPlacement &policy, const TargetDemand &demand,
                        double tokensPerSecond, int current);
    int desiredReplicas(const VariancePlacement &policy, const TargetDemand &demand,
                        double tokensPerSecond, int current);
    int desiredReplicas(const ControllerPlacement &policy, const TargetDemand &demand,
                        double tokensPerSecond, int current);

    PlacementOptions options_;
    std::optional<Time> lowDemandSince_;
    double errorSum_ = 0;
    double lastError_ = 0;
};

} // namespace LaburnumChute::Decisions
