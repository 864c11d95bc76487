#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Bounds of the factor by which transfers take longer than their nominal time. Transfers between
/// regions may take ten times as long.
inline constexpr double MinTransferFactor = 0.25;
inline constexpr double MaxTransferFactor = 16;

/// Measured factor of one transfer, or the mean of several.
struct TransferSample
{
    /// 1 for a transfer whose time is known exactly.
    double weight = 0;
    double factor = 1;
    double deviation = 0;
    /// When the latest of the transfers was measured.
    Time at{};
};

/// Samples of transfers on one path: those of this instance, and the latest report of each other
/// instance of the region.
///
/// Load pattern: many instances with few transfers each. All of them use the latest few samples of
/// the region, so the factor follows a change within a few transfers, whoever makes them.
class TransferSamples
{
public:
    void add(const TransferSample &sample);
    /// Replaces what the instance reported before. Invalid values are ignored or bounded.
    void learn(const InstanceId &instance, TransferSample sample);
    /// Removes the reports of instances that are not in the list.
    void keep(const std::vector<InstanceId> &instances);

    /// Mean of this instance's latest samples, for a report.
    std::optional<TransferSample> own() const;
    /// Estimate from the samples of the region.
    /// @param prior has the weight of this part of a sample
    TransferSample estimate(const TransferSample &prior) const;
    /// When the latest sample of the region was measured.
    std::optional<Time> latest() const;

private:
    /// The latest samples, weighted by age relative to the latest one.
    std::vector<TransferSample> weighted() const;

    /// The latest one last.
    std::deque<TransferSample> own_;
    std::map<InstanceId, TransferSample> reported_;
};

} // namespace LaburnumChute::Dispatch
