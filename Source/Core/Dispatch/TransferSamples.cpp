#include "Dispatch/TransferSamples.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Weight of the samples that an estimate uses. Half of them being new changes the median, so the
/// estimate follows a change within about five transfers of the region.
constexpr double MaxWeight = 8;
/// A report has at most a quarter of that, so that one faulty instance changes the estimate little.
constexpr double MaxReportedWeight = MaxWeight / 4;
constexpr std::size_t MaxOwn = 8;
/// A report covers samples of this time. Older ones would delay what it shows of a change.
constexpr seconds ReportedTime{1};
/// After this time a sample has half of the weight of a new one. When a path is tried again after
/// half a minute, a single new sample outweighs the old ones.
constexpr seconds WeightHalfLife{10};
/// Samples further from the median than this many median deviations are taken as that far from it.
constexpr double MaxDeviations = 3;
/// Smallest deviation for that limit, as a fraction of the median.
constexpr double MinRelativeDeviation = 0.1;

/// The value at which half of the weight is reached.
double median(std::vector<std::pair<double, double>> valuesAndWeights)
{
    std::sort(valuesAndWeights.begin(), valuesAndWeights.end());
    double half = 0;
    for (const auto &[value, weight] : valuesAndWeights) {
        half += weight / 2;
    }
    double sum = 0;
    for (const auto &[value, weight] : valuesAndWeights) {
        sum += weight;
        if (sum >= half) {
            return value;
        }
    }
    return 0;
}

double totalWeight(const std::vector<TransferSample> &samples)
{
    double sum = 0;
    for (const auto &sample : samples) {
        sum += sample.weight;
    }
    return sum;
}

} // namespace

void TransferSamples::add(const TransferSample &sample)
{
    own_.push_back(sample);
    if (own_.size() > MaxOwn) {
        own_.pop_front();
    }
}

void TransferSamples::learn(const InstanceId &instance, TransferSample sample)
{
    const bool valid = std::isfinite(sample.factor) && std::isfinite(sample.deviation)
                       && sample.factor > 0 && sample.weight > 0;
    if (!valid) {
        return;
    }
    sample.weight = std::min(sample.weight, MaxReportedWeight);
    sample.factor = std::clamp(sample.factor, MinTransferFactor, MaxTransferFactor);
    sample.deviation = std::clamp(sample.deviation, 0.0, MaxTransferFactor);
    reported_[instance] = sample;
}

void TransferSamples::keep(const std::vector<InstanceId> &instances)
{
    std::erase_if(reported_, [&](const auto &item) { return !contains(instances, item.first); });
}

std::optional<TransferSample> TransferSamples::own() const
{
    if (own_.empty()) {
        return std::nullopt;
    }
    TransferSample mean{0, 0, 0, own_.back().at};
    const auto recent = [&](const auto &sample) { return mean.at - sample.at <= ReportedTime; };
    for (const auto &sample : own_) {
        if (recent(sample)) {
            mean.weight += sample.weight;
            mean.factor += sample.weight * sample.factor;
        }
    }
    mean.factor /= mean.weight;
    for (const auto &sample : own_) {
        if (recent(sample)) {
            mean.deviation += sample.weight / mean.weight * std::abs(sample.factor - mean.factor);
        }
    }
    return mean;
}

std::optional<Time> TransferSamples::latest() const
{
    std::optional<Time> latest;
    if (!own_.empty()) {
        latest = own_.back().at;
    }
    for (const auto &[instance, sample] : reported_) {
        latest = std::max(latest.value_or(sample.at), sample.at);
    }
    return latest;
}

std::vector<TransferSample> TransferSamples::weighted() const
{
    struct Source
    {
        TransferSample sample;
        bool reported;
    };
    std::vector<Source> sources;
    for (const auto &sample : own_) {
        sources.push_back({sample, false});
    }
    for (const auto &[instance, sample] : reported_) {
        sources.push_back({sample, true});
    }
    std::sort(sources.begin(), sources.end(),
              [](const auto &left, const auto &right) { return left.sample.at > right.sample.at; });
    double sum = 0;
    for (auto &[sample, reported] : sources) {
        const double age = Common::toSeconds(sources.front().sample.at - sample.at);
        sample.weight *= std::exp2(-age / Common::toSeconds(WeightHalfLife));
        sample.weight = std::min(sample.weight, MaxWeight - sum);
        sum += sample.weight;
    }
    std::vector<TransferSample> samples;
    for (auto &[sample, reported] : sources) {
        if (reported) {
            // No more than all others together.
            sample.weight = std::min(sample.weight, std::max(1.0, sum - sample.weight));
        }
        samples.push_back(sample);
    }
    return samples;
}

TransferSample TransferSamples::estimate(const TransferSample &prior) const
{
    auto samples = weighted();
    const double weight = totalWeight(samples);
    samples.push_back(prior);
    const double all = weight + prior.weight;
    std::vector<std::pair<double, double>> factors;
    for (const auto &sample : samples) {
        factors.emplace_back(sample.factor, sample.weight);
    }
    const double centre = median(factors);
    // Samples that contradict the prior make it wrong, not themselves uncertain.
    std::vector<std::pair<double, double>> deviations = {{prior.deviation, prior.weight}};
    samples.pop_back();
    for (const auto &sample : samples) {
        deviations.emplace_back(std::abs(sample.factor - centre) + sample.deviation, sample.weight);
    }
    const double deviation = std::max(median(deviations), prior.deviation * prior.weight / all);
    // A single answer that was late for another reason must not end the copies on the path.
    const double limit = MaxDeviations * std::max(deviation, MinRelativeDeviation * centre);
    const auto limited = [&](double factor) {
        return std::clamp(factor, centre - limit, centre + limit);
    };
    double sum = prior.weight * limited(prior.factor);
    for (const auto &sample : samples) {
        sum += sample.weight * limited(sample.factor);
    }
    return {weight, sum / all, deviation, latest().value_or(Time())};
}

} // namespace LaburnumChute::Dispatch
