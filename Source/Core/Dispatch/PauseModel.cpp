#include "Dispatch/PauseModel.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Upper bound of the first class: prompts that are shorter are prefilled between two events.
constexpr double FirstBound = 1000;
/// Counts follow a change of the load within a few minutes.
constexpr seconds HalfLife{60};
/// Counts change little within this time.
constexpr milliseconds RefreshInterval{100};
/// Streams that show a share, and that one instance may report even if others report none.
constexpr double MinStreams = 30;
/// A lower share costs less than the differences between expected times of similar engines.
constexpr double RelevantShare = 0.05;
/// Certainty with which the share is above that before it is used, in standard deviations.
constexpr double RequiredCertainty = 3;
/// Use ends below this fraction of the relevant share, so that it does not begin and end in turns.
constexpr double EndFraction = 0.5;
/// With fewer streams left beside prompts, what was counted is outdated.
constexpr double OutdatedBelow = 3;

void add(PauseCounts &sum, const PauseCounts &counts)
{
    for (std::size_t index = 0; index < PauseClasses; ++index) {
        sum[index].streams += counts[index].streams;
        sum[index].paused += counts[index].paused;
    }
}

/// Sum over the class and all larger ones.
PauseCount from(const PauseCounts &counts, std::size_t first)
{
    PauseCount sum;
    for (std::size_t index = first; index < PauseClasses; ++index) {
        sum.streams += counts[index].streams;
        sum.paused += counts[index].paused;
    }
    return sum;
}

/// Share without prompts; those pauses have other causes.
double baseShare(const PauseCounts &counts)
{
    return counts[0].streams > 0 ? counts[0].paused / counts[0].streams : 0;
}

bool showsPauses(const PauseCounts &counts)
{
    const double base = baseShare(counts);
    for (std::size_t first = 1; first < PauseClasses; ++first) {
        const auto larger = from(counts, first);
        // One stream of either kind is added, since a share of 0 or 1 has no standard deviation.
        const double share = (larger.paused + 1) / (larger.streams + 2);
        const double deviation = std::sqrt(share * (1 - share) / (larger.streams + 2));
        if (larger.streams >= MinStreams
            && share - base - RequiredCertainty * deviation > RelevantShare) {
            return true;
        }
    }
    return false;
}

/// The counts, scaled down to at most as many streams as all others together counted.
PauseCounts bounded(PauseCounts counts, double streamsOfAllOthers)
{
    const double most = std::max(MinStreams, streamsOfAllOthers);
    const double streams = from(counts, 0).streams;
    const double factor = streams > most ? most / streams : 1;
    for (auto &count : counts) {
        count.streams *= factor;
        count.paused *= factor;
    }
    return counts;
}

} // namespace

std::size_t pauseClass(double prefillTokens)
{
    std::size_t index = 0;
    double bound = FirstBound;
    while (index + 1 < PauseClasses && prefillTokens >= bound) {
        bound *= 2;
        ++index;
    }
    return index;
}

void RecentPrompts::began(std::int64_t prefillTokens, Time sentAt, Time until)
{
    last_[pauseClass(static_cast<double>(prefillTokens))] = {sentAt, until};
}

std::size_t RecentPrompts::largest(Time since, Time sentAt) const
{
    for (std::size_t index = PauseClasses - 1; index > 0; --index) {
        if (last_[index].until > since && last_[index].sentAt != sentAt) {
            return index;
        }
    }
    return 0;
}

PauseCounts PauseModel::Counted::decayed(Time now) const
{
    const double left =
        std::exp2(-std::max(0.0, Common::toSeconds(now - at)) / Common::toSeconds(HalfLife));
    auto result = counts;
    for (auto &count : result) {
        count.streams *= left;
        count.paused *= left;
    }
    return result;
}

void PauseModel::ended(std::size_t largestPrompt, bool paused, Time now)
{
    own_.counts = own_.decayed(now);
    own_.at = now;
    auto &count = own_.counts.at(largestPrompt);
    ++count.streams;
    count.paused += paused ? 1 : 0;
    changed_ = true;
}

void PauseModel::learn(const InstanceId &instance, const PauseReport &report, Time now)
{
    auto &counted = others_[instance];
    counted.at = now;
    counted.counts = {};
    for (std::size_t index = 0; index < std::min(PauseClasses, report.classes.size()); ++index) {
        const auto &stated = report.classes[index];
        counted.counts[index] = {static_cast<double>(stated.streams),
                                 static_cast<double>(std::min(stated.paused, stated.streams))};
    }
    changed_ = true;
}

void PauseModel::keep(const std::vector<InstanceId> &instances)
{
    const auto removed =
        std::erase_if(others_, [&](const auto &item) { return !contains(instances, item.first); });
    changed_ = changed_ || removed > 0;
}

PauseReport PauseModel::report(Time now) const
{
    PauseReport report;
    const auto rounded = [](double count) {
        constexpr double Most = std::numeric_limits<std::uint16_t>::max();
        return static_cast<std::uint16_t>(std::lround(std::min(count, Most)));
    };
    for (const auto &count : own_.decayed(now)) {
        report.classes.push_back({rounded(count.streams), rounded(count.paused)});
    }
    while (!report.classes.empty() && report.classes.back().streams == 0) {
        report.classes.pop_back();
    }
    return report;
}

std::vector<PauseCounts> PauseModel::countsOfOthers(Time now) const
{
    double streams = from(own_.decayed(now), 0).streams;
    for (const auto &[instance, counted] : others_) {
        streams += from(counted.decayed(now), 0).streams;
    }
    std::vector<PauseCounts> result;
    for (const auto &[instance, counted] : others_) {
        const auto counts = counted.decayed(now);
        result.push_back(bounded(counts, streams - from(counts, 0).streams));
    }
    return result;
}

void PauseModel::refresh(Time now)
{
    if (!changed_ || now - refreshedAt_ < RefreshInterval) {
        return;
    }
    changed_ = false;
    refreshedAt_ = now;
    const auto others = countsOfOthers(now);
    const auto most =
        std::max_element(others.begin(), others.end(), [](const auto &left, const auto &right) {
            return from(left, 0).paused < from(right, 0).paused;
        });
    // Without the instance that reports most pauses, whose report may be wrong.
    auto confirmed = own_.decayed(now);
    for (auto other = others.begin(); other != others.end(); ++other) {
        if (other != most) {
            add(confirmed, *other);
        }
    }
    auto sum = confirmed;
    if (most != others.end()) {
        add(sum, *most);
    }
    update(sum, showsPauses(confirmed) && showsPauses(sum));
}

void PauseModel::update(const PauseCounts &sum, bool certain)
{
    sum_ = sum;
    // The largest mean over the classes up to each one and the smallest over those from it on:
    // isotonic regression, by which neighboring classes support each other.
    const double base = baseShare(sum);
    for (std::size_t index = 0; index < PauseClasses; ++index) {
        double share = 0;
        for (std::size_t first = 0; first <= index; ++first) {
            double smallest = 1;
            PauseCount mean;
            for (std::size_t last = first; last < PauseClasses; ++last) {
                mean.streams += sum[last].streams;
                mean.paused += sum[last].paused;
                if (last >= index && mean.streams > 0) {
                    smallest = std::min(smallest, mean.paused / mean.streams);
                }
            }
            share = std::max(share, mean.streams > 0 ? smallest : 0);
        }
        shares_[index] = index == 0 ? 0 : std::max(0.0, share - base);
    }
    const auto beside = from(sum, 1);
    meanShare_ = beside.streams > 0 ? std::max(0.0, beside.paused / beside.streams - base) : 0;
    const double largestShare = *std::max_element(shares_.begin(), shares_.end());
    active_ = certain
              || (active_ && beside.streams >= OutdatedBelow
                  && largestShare >= EndFraction * RelevantShare);
}

double PauseModel::share(double prefillTokens) const
{
    return active_ ? shares_[pauseClass(prefillTokens)] : 0;
}

nlohmann::json PauseModel::dump() const
{
    auto classes = nlohmann::json::array();
    double tokens = 0;
    for (std::size_t index = 0; index < PauseClasses; ++index) {
        classes.push_back({{"from_tokens", tokens},
                           {"streams", sum_[index].streams},
                           {"paused", sum_[index].paused},
                           {"share", shares_[index]}});
        tokens = index == 0 ? FirstBound : 2 * tokens;
    }
    return {{"active", active_}, {"classes", classes}};
}

PauseModel &PauseModels::of(const ServiceName &service)
{
    auto &entry = models_[service];
    entry.id = shortId(service);
    return entry.model;
}

void PauseModels::learn(const InstanceId &instance, const std::vector<PauseReport> &reports,
                        Time now)
{
    for (auto &[service, entry] : models_) {
        for (const auto &report : reports) {
            if (report.service == entry.id) {
                entry.model.learn(instance, report, now);
            }
        }
    }
}

void PauseModels::keep(const std::vector<InstanceId> &instances)
{
    for (auto &[service, entry] : models_) {
        entry.model.keep(instances);
    }
}

std::vector<PauseReport> PauseModels::reports(Time now) const
{
    std::vector<PauseReport> reports;
    for (const auto &[service, entry] : models_) {
        auto report = entry.model.report(now);
        report.service = entry.id;
        if (!report.classes.empty()) {
            reports.push_back(std::move(report));
        }
    }
    return reports;
}

} // namespace LaburnumChute::Dispatch
