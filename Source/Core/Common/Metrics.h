#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Common/Time.h"

namespace LaburnumChute::Common {

/// Label names and values of one time series, in a fixed order.
using Labels = std::map<std::string, std::string>;

class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

class Gauge
{
public:
    void set(double value)
    {
        value_.store(value, std::memory_order_relaxed);
    }
    double value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> value_{0};
};

/// Distribution of durations on a logarithmic axis from 10 µs to 1000 s, 20 bins a decade, so that
/// a quantile is read with an error of at most 12%.
class DurationHistogram
{
public:
    DurationHistogram();
    ~DurationHistogram();

    void record(Duration duration);
    std::uint64_t count() const;
    double sumSeconds() const;
    /// The upper edge of the bin in which the quantile (0 to 1) falls; zero when empty.
    Duration quantile(double fraction) const;
    /// Cumulative counts at the given upper bounds in seconds, as Prometheus wants them.
    std::vector<std::uint64_t> cumulative(const std::vector<double> &bounds) const;

private:
    struct Storage;
    std::unique_ptr<Storage> storage_;
};

/// Owns all metrics of a process. The references it hands out live as long as it does, so that the
/// path of a request looks nothing up.
class MetricsRegistry
{
public:
    Counter &counter(const std::string &name, const std::string &help, const Labels &labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, const Labels &labels = {});
    DurationHistogram &histogram(const std::string &name, const std::string &help,
                                 const Labels &labels = {});

    /// Prometheus text exposition format 0.0.4.
    std::string prometheusText() const;

private:
    template <typename Metric>
    struct Family
    {
        std::string help;
        std::map<Labels, std::unique_ptr<Metric>> series;
    };
    template <typename Metric>
    static Metric &find(std::map<std::string, Family<Metric>> &families, const std::string &name,
                        const std::string &help, const Labels &labels);

    mutable std::mutex mutex_;
    std::map<std::string, Family<Counter>> counters_;
    std::map<std::string, Family<Gauge>> gauges_;
    std::map<std::string, Family<DurationHistogram>> histograms_;
};

} // namespace LaburnumChute::Common
