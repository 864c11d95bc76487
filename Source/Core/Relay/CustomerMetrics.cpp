#include "Relay/CustomerMetrics.h"

namespace LaburnumChute::Relay {

namespace {

constexpr std::size_t MaxSeries = 64;
constexpr const char *OtherCustomers = "(others)";

} // namespace

CustomerMetrics::CustomerMetrics(Common::MetricsRegistry &registry)
    : registry_(registry)
{
}

CustomerMetrics::Series CustomerMetrics::makeSeries(const std::string &label)
{
    const Common::Labels labels = {{"customer", label}};
    const auto counter = [&](const char *name, const char *help) -> Common::Counter & {
        return registry_.counter(name, help, labels);
    };
    const auto gauge = [&](const char *name, const char *help) -> Common::Gauge & {
        return registry_.gauge(name, help, labels);
    };
    return {counter("laburnumchute_customer_admitted_total", "Requests within the usage limit"),
            counter("laburnumchute_customer_over_limit_total",
                    "Requests rejected because the customer exceeds its usage limit"),
            counter("laburnumchute_customer_refunded_total",
                    "Admitted requests whose usage was returned since they were not run"),
            gauge("laburnumchute_customer_limit_per_second", "Usage limit over all instances"),
            gauge("laburnumchute_customer_own_usage_per_second", "Usage admitted by this instance"),
            gauge("laburnumchute_customer_usage_per_second",
                  "Estimated usage admitted by all instances")};
}

CustomerMetrics::Series &CustomerMetrics::seriesOf(const Common::CustomerName &customer)
{
    const auto found = series_.find(customer);
    if (found != series_.end()) {
        return found->second;
    }
    const bool own = series_.size() < MaxSeries;
    const auto label = own ? customer : Common::CustomerName(OtherCustomers);
    return series_.try_emplace(label, makeSeries(label.text())).first->second;
}

void CustomerMetrics::countAdmitted(const Common::CustomerName &customer)
{
    seriesOf(customer).admitted.add();
}

void CustomerMetrics::countOverLimit(const Common::CustomerName &customer)
{
    seriesOf(customer).overLimit.add();
}

void CustomerMetrics::countRefunded(const Common::CustomerName &customer)
{
    seriesOf(customer).refunded.add();
}

void CustomerMetrics::update(const std::vector<Customers::Customer> &customers,
                             const Customers::UsageLimiter &limiter, Common::Time now)
{
    for (const auto &customer : customers) {
        if (const auto status = limiter.status(customer.name, now)) {
            auto &series = seriesOf(customer.name);
            series.limit.set(status->limit);
            series.ownUsage.set(status->ownRate);
            series.allUsage.set(status->ownRate + status->othersRate);
        }
    }
}

} // namespace LaburnumChute::Relay
