#pragma once

#include <variant>

#include "Decisions/Facts.h"

namespace LaburnumChute::Decisions {

/// Enough runners for the mean demand at a target utilisation.
struct UtilisationPlacement
{
    /// Share of a runner's rate that is planned for.
    double utilisation = 0.7;
};

/// Enough runners for mean + factor * deviation of the demand: the variance sizing of Baarzi and
/// Kesidis, "SHOWAR: Right-Sizing And Efficient Scheduling of Microservices" (SoCC 2021), section
/// 3.1, moved from CPU shares to runners.
struct VariancePlacement
{
    double factor = 3;
};

/// A controller with memory on utilisation and a dead band: the horizontal autoscaler of the same
/// paper, section 3.2 and algorithm 1, with its defaults. Its signal there is the run queue latency
/// of the kernel, which a gateway does not see; utilisation takes its place.
struct ControllerPlacement
{
    double targetUtilisation = 0.7;
    /// Width of the dead band as a share of the target.
    double deadBand = 0.2;
    /// Step as a share of the runners; at least one.
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
    /// Fewer runners are wanted only after demand has asked for fewer this long: unloading a model
    /// is cheap and loading it again costs the rate-limited weight store minutes.
    Duration shrinkAfter = std::chrono::minutes(5);
};

/// How many runners one model or adapter should have.
///
/// Load pattern: demand with daily peaks and minutes of noise on top. Without a rule runners stand
/// idle or every peak meets a model that is still loading; following the noise reloads models
/// for ever. Keep one object for each target; the inputs are the same in every instance that has
/// the same demand, but the state is not, so only whoever gives the orders should ask.
class Placement
{
public:
    explicit Placement(const PlacementOptions &options);

    /// @param tokensPerSecond what one runner does at full batch, in decode tokens
    /// @param current         runners that are loaded now
    int desired(const TargetDemand &demand, double tokensPerSecond, int current, Time now);

private:
    int wanted(const UtilisationPlacement &policy, const TargetDemand &demand,
               double tokensPerSecond, int current);
    int wanted(const VariancePlacement &policy, const TargetDemand &demand, double tokensPerSecond,
               int current);
    int wanted(const ControllerPlacement &policy, const TargetDemand &demand,
               double tokensPerSecond, int current);

    PlacementOptions options_;
    std::optional<Time> fewerSince_;
    double errorSum_ = 0;
    double lastError_ = 0;
};

} // namespace LaburnumChute::Decisions
