#pragma once

#include <unordered_map>

#include "Common/Common.h"
#include "Customers/Customers.h"

namespace LaburnumChute::Relay {

/// Metrics by customer. Customers beyond a fixed number share one series, so that the number of
/// series stays bounded.
class CustomerMetrics
{
public:
    explicit CustomerMetrics(Common::MetricsRegistry &registry);

    void countAdmitted(const Common::CustomerName &customer);
    void countOverLimit(const Common::CustomerName &customer);
    void countRefunded(const Common::CustomerName &customer);
    /// Updates limits and usage.
    void update(const std::vector<Customers::Customer> &customers,
                const Customers::UsageLimiter &limiter, Common::Time now);

private:
    struct Series
    {
        Common::Counter &admitted;
        Common::Counter &overLimit;
        Common::Counter &refunded;
        Common::Gauge &limit;
        Common::Gauge &ownUsage;
        Common::Gauge &allUsage;
    };

    Series &seriesOf(const Common::CustomerName &customer);
    Series makeSeries(const std::string &label);

    Common::MetricsRegistry &registry_;
    std::unordered_map<Common::CustomerName, Series> series_;
};

} // namespace LaburnumChute::Relay
