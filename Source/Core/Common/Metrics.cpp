#include "Common/Metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace LaburnumChute::Common {

namespace {

namespace bh = boost::histogram;

constexpr double LowestSeconds = 1e-5;
constexpr double HighestSeconds = 1e3;
constexpr unsigned BinsPerDecade = 20;
constexpr unsigned Decades = 8;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Cells = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;

const std::vector<double> &prometheusBounds()
{
    static const std::vector<double> bounds = {
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.84, 1, 2.5, 5, 10, 30, 60, 300};
    return bounds;
}

std::string escaped(const std::string &value)
{
    std::string result;
    for (const char letter : value) {
        if (letter == '\\' || letter == '"') {
            result += '\\';
        }
        result += letter == '\n' ? ' ' : letter;
    }
    return result;
}

std::string labelText(const Labels &labels, const std::string &extra = {})
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escaped(value));
    }
    if (!extra.empty()) {
        text += (text.empty() ? "" : ",") + extra;
    }
    return text.empty() ? text : "{" + text + "}";
}

void appendHead(std::string &text, const std::string &name, const std::string &help,
                const char *type)
{
    text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void appendHistogram(std::string &text, const std::string &name, const Labels &labels,
                     const DurationHistogram &histogram)
{
    const auto counts = histogram.cumulative(prometheusBounds());
    for (std::size_t index = 0; index < counts.size(); ++index) {
        const auto bound = fmt::format("le=\"{}\"", prometheusBounds()[index]);
        text += fmt::format("{}_bucket{} {}\n", name, labelText(labels, bound), counts[index]);
    }
    const auto total = histogram.count();
    text += fmt::format("{}_bucket{} {}\n", name, labelText(labels, "le=\"+Inf\""), total);
    text += fmt::format("{}_sum{} {}\n", name, labelText(labels), histogram.sumSeconds());
    text += fmt::format("{}_count{} {}\n", name, labelText(labels), total);
}

} // namespace

struct DurationHistogram::Storage
{
    bh::histogram<std::tuple<Axis>, Cells> bins = bh::make_histogram_with(
        Cells(), Axis(BinsPerDecade *Decades, LowestSeconds, HighestSeconds));
    std::atomic<std::uint64_t> nanoseconds{0};
};

DurationHistogram::DurationHistogram()
    : storage_(std::make_unique<Storage>())
{
}

DurationHistogram::~DurationHistogram() = default;

void DurationHistogram::record(Duration duration)
{
    const auto kept = std::max(duration, Duration::zero());
    storage_->bins(toSeconds(kept));
    storage_->nanoseconds.fetch_add(static_cast<std::uint64_t>(kept.count()),
                                    std::memory_order_relaxed);
}

std::uint64_t DurationHistogram::count() const
{
    std::uint64_t total = 0;
    for (auto &&cell : bh::indexed(storage_->bins, bh::coverage::all)) {
        total += *cell;
    }
    return total;
}

double DurationHistogram::sumSeconds() const
{
    return toSeconds(std::chrono::nanoseconds(storage_->nanoseconds.load()));
}

Duration DurationHistogram::quantile(double fraction) const
{
    const auto total = count();
    if (total == 0) {
        return Duration::zero();
    }
    const double wanted = fraction * static_cast<double>(total);
    double seen = 0;
    for (auto &&cell : bh::indexed(storage_->bins, bh::coverage::all)) {
        seen += static_cast<double>(*cell);
        if (seen >= wanted && *cell > 0) {
            const double edge = std::min(cell.bin().upper(), HighestSeconds);
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(edge));
        }
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(HighestSeconds));
}

std::vector<std::uint64_t> DurationHistogram::cumulative(const std::vector<double> &bounds) const
{
    std::vector<std::uint64_t> counts(bounds.size(), 0);
    for (auto &&cell : bh::indexed(storage_->bins, bh::coverage::all)) {
        for (std::size_t index = 0; index < bounds.size(); ++index) {
            counts[index] +=
                cell.bin().upper() <= bounds[index] * 1.0001 ? std::uint64_t(*cell) : 0;
        }
    }
    return counts;
}

template <typename Metric>
Metric &MetricsRegistry::find(std::map<std::string, Family<Metric>> &families,
                              const std::string &name, const std::string &help,
                              const Labels &labels)
{
    auto &family = families[name];
    family.help = help;
    auto &metric = family.series[labels];
    if (!metric) {
        metric = std::make_unique<Metric>();
    }
    return *metric;
}

Counter &MetricsRegistry::counter(const std::string &name, const std::string &help,
                                  const Labels &labels)
{
    const std::lock_guard lock(mutex_);
    return find(counters_, name, help, labels);
}

Gauge &MetricsRegistry::gauge(const std::string &name, const std::string &help,
                              const Labels &labels)
{
    const std::lock_guard lock(mutex_);
    return find(gauges_, name, help, labels);
}

DurationHistogram &MetricsRegistry::histogram(const std::string &name, const std::string &help,
                                              const Labels &labels)
{
    const std::lock_guard lock(mutex_);
    return find(histograms_, name, help, labels);
}

std::string MetricsRegistry::prometheusText() const
{
    const std::lock_guard lock(mutex_);
    std::string text;
    for (const auto &[name, family] : counters_) {
        appendHead(text, name, family.help, "counter");
        for (const auto &[labels, metric] : family.series) {
            text += fmt::format("{}{} {}\n", name, labelText(labels), metric->value());
        }
    }
    for (const auto &[name, family] : gauges_) {
        appendHead(text, name, family.help, "gauge");
        for (const auto &[labels, metric] : family.series) {
            text += fmt::format("{}{} {}\n", name, labelText(labels), metric->value());
        }
    }
    for (const auto &[name, family] : histograms_) {
        appendHead(text, name, family.help, "histogram");
        for (const auto &[labels, metric] : family.series) {
            appendHistogram(text, name, labels, *metric);
        }
    }
    return text;
}

} // namespace LaburnumChute::Common
