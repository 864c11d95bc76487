#pragma once

#include <array>
#include <optional>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// An endpoint's statement of how long work currently takes on its machine.
struct WorkFigure
{
    /// 100 is usual, 250 is 2.5 times as long.
    int percent = 100;
    /// When the answer that stated it was received.
    Time at{};
};

/// What the figures of one service's endpoints are worth: how long they hold, and whether they
/// explain measured times.
///
/// False figures would direct requests to slow endpoints, so figures are used only while they
/// reduce the errors of expected times.
class SpeedModel
{
public:
    SpeedModel();

    /// Records two successive figures of one endpoint, as relative deviations from its mean.
    void figuresSeen(double first, double second, Duration interval);
    /// Records an answer.
    /// @param expected time expected without figures
    /// @param expectedWithFigure time expected with the figures known at its send and now
    void answerSeen(Duration expected, Duration expectedWithFigure, Duration took);

    /// Time after which a deviation has decayed to 1/e.
    Duration holdTime() const;
    /// Whether expected times have smaller errors with figures than without.
    bool explainsTimes() const
    {
        return explains_;
    }

private:
    static constexpr std::size_t HoldTimes = 11;

    /// Decaying sums of squared errors of the predictions by each possible hold time.
    std::array<double, HoldTimes> holdErrors_{};
    std::size_t bestHoldTime_ = 0;
    // Decaying sums over answers. The error is the logarithm of actual to expected time, the change
    // the logarithm by which the figure changes the expectation.
    double answers_ = 0;
    double errors_ = 0;
    double squaredErrors_ = 0;
    double changes_ = 0;
    double products_ = 0;
    double squaredChanges_ = 0;
    bool explains_ = false;
};

/// Estimates how long work on an endpoint takes relative to the endpoint's usual speed.
///
/// Load pattern: at any moment some endpoints' machines are shared with other work, and are several
/// times slower for some hundred milliseconds. An instance hears from an endpoint less often than
/// that, so it uses figures that other instances of the region report, and figures lose their value
/// with age.
class EndpointSpeed
{
public:
    EndpointSpeed() = default;
    /// @param since when the endpoint's run was first listed; earlier figures are of another run
    explicit EndpointSpeed(Time since)
        : since_(since)
    {
    }

    /// Records a figure of an answer that this instance received.
    void record(const WorkFigure &figure, SpeedModel &model);
    /// Records a figure that another instance received, unless one at least as recent is known.
    void learn(const WorkFigure &figure);

    /// Expected time of work now relative to the usual time; 1 if there is no figure.
    double factor(const SpeedModel &model, Time now) const;
    const std::optional<WorkFigure> &last() const
    {
        return last_;
    }
    /// The last figure that this instance received since the previous call, if other instances need
    /// it: it deviates from the mean, or contradicts what was known before.
    std::optional<WorkFigure> takeReport();

private:
    /// Relative deviation from the endpoint's mean.
    double deviation(int percent) const;

    Time since_{};
    std::optional<WorkFigure> last_;
    /// Mean of the figures that this instance received.
    double mean_ = 100;
    int received_ = 0;
    std::optional<WorkFigure> toReport_;
};

/// A measured time as it would be at the usual speed.
/// @param fixed the part of the time that does not depend on the machine
Duration atUsualSpeed(Duration time, double factor, Duration fixed);

} // namespace LaburnumChute::Dispatch
