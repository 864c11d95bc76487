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

/// Label names and values of a time series, sorted by name.
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

/// Distribution of durations from 10 µs to 1000 s in 20 logarithmic bins per decade, which limits
/// the error of a quantile to 12%.
class DurationHistogram
{
public:
    DurationHistogram();
    ~DurationHistogram();

    void record(Duration duration);
    std::uint64_t count() const;
    double sumSeconds() const;
    /// Upper edge of the bin that contains the quantile (0 to 1); zero if there are no values.
    Duration quantile(double fraction) const;
    /// Cumulative counts for the upper bounds, in seconds, in the form of Prometheus histograms.
    std::vector<std::uint64_t> cumulative(const std::vector<double> &bounds) const;

private:
    struct Storage;
    std::unique_ptr<Storage> storage_;
};

/// Owns all metrics of a process. Returned references stay valid for its lifetime, so that no
/// lookup is needed while a request is served.
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
