#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Customers/Customer.h"
#include "Customers/UsageRate.h"
#include "Customers/UsageReport.h"
#include "Customers/UsageWindow.h"

namespace LaburnumChute::Customers {

struct UsageLimiterOptions
{
    /// A region without reports for this long counts as unseen. Reports arrive several times per
    /// second while the region can be reached.
    milliseconds regionReportTimeout{1500};
    /// Usage of an unseen instance or region is assumed for this long. It may be partitioned off
    /// and still admit requests; longer than any window in which a limit is enforced.
    milliseconds unseenRetention{30000};
    /// Fraction of the limit, relative to its share of the usage, that an unseen instance or region
    /// is assumed to use. With 1, nothing above the limit is admitted during a partition, but after
    /// the loss of a region its callers would be rejected although nobody else uses its share.
    double unseenFraction = 0.85;
    /// Usage below this fraction of the limit is not reported.
    double reportThreshold = 0.25;
};

/// Decision on the usage of one request.
struct UsageVerdict
{
    bool admitted = true;
    /// Until the usage is expected to be below the limit again.
    Duration retryAfter{0};
    // Inputs of the decision, for the log. Rates are per second.
    double limit = 0;
    double ownRate = 0;
    double othersRate = 0;
    /// Usage that the limit still allows; negative if more than the limit has been admitted.
    double remaining = 0;
};

/// Enforces customers' usage limits over all instances without a coordinator.
///
/// Load pattern: a customer sends a multiple of its usual load to all instances at once, or its
/// callers move to another region within a second, while other customers send one request per
/// second to each of many instances. Fixed fractions per instance would reject large requests of
/// small customers. Instead, every instance estimates the usage of all instances in the same
/// sliding window: it counts its own usage at once and that of others by integrating the rates that
/// they report. A limit allows the usage of the window at its rate plus the burst. Usage that was
/// admitted before it was known is compensated before more is admitted.
class UsageLimiter
{
public:
    UsageLimiter(UsageLimiterOptions options, std::uint64_t seed);

    /// Sets the window in which limits are enforced, and the amount by which all instances together
    /// may exceed a limit. Takes effect with the next configuration.
    void setBounds(Duration window, double slack);
    /// Applies the limits of a configuration. The usage of customers that stay is kept.
    void setCustomers(const std::vector<Customer> &customers, Time now);
    /// @param ownRegion live instances of this region, apart from this one
    /// @param allInstances number of live instances of all regions, including this one
    void setInstances(const std::set<InstanceId> &ownRegion, std::size_t allInstances, Time now);
    /// Removes the usage of an instance that announced that it stops.
    void removeInstance(const InstanceId &instance, Time now);
    /// Report of another instance of this region on its own usage.
    void setInstanceReport(const InstanceId &instance, const UsageReport &report, Time now);
    /// Report of an instance of another region on the usage of its region.
    void setRegionReport(const RegionName &region, const UsageReport &report, Time now);
    /// Usage of this instance, for the others of this region.
    UsageReport instanceReport(Time now) const;
    /// Usage of this region, for instances of other regions.
    UsageReport regionReport(Time now) const;

    /// Whether the usage of some customer, and of this instance among others, is close to its
    /// limit. Then every instance of the region must learn of it within one interval of the
    /// reports.
    bool nearLimit(Time now) const;

    /// Decides on a request and counts its usage if it is admitted.
    UsageVerdict admit(const CustomerName &customer, double usage, Time now);
    /// Returns the usage of an admitted request that was not run.
    void refund(const CustomerName &customer, double usage, Time now);
    /// Current inputs of the decision; empty for a customer without a limit.
    std::optional<UsageVerdict> status(const CustomerName &customer, Time now) const;

private:
    struct Account
    {
        UsageLimit limit;
        /// Usage that the limit allows in the window.
        double allowed = 0;
        /// Estimated usage of all instances.
        UsageWindow window;
        UsageRate own;
        double othersRate = 0;

        double remaining() const
        {
            return allowed - window.sum();
        }
    };
    using Rates = std::vector<CustomerUsage>;
    struct Source
    {
        std::uint16_t instances = 0;
        /// Rates that are contained in the accounts: reported ones or, if unseen, assumed ones.
        Rates rates;
        /// For each rate, its fraction of the customer's usage at the time of the report.
        std::vector<double> shares;
        Time reportedAt{};
        bool unseen = false;
    };

    static void advance(Account &account, Time now);
    Account makeAccount(const UsageLimit &limit, Time now) const;
    void applyReport(Source &source, const UsageReport &report, Time now);
    void setRates(Source &source, Rates rates, Time now);
    void addRates(const Source &source, double factor, Time now);
    std::vector<double> sharesOf(const Rates &rates, Time now);
    void assumeUnseen(Source &source, Time now);
    template <typename Key>
    void expire(std::map<Key, Source> &sources, Time now);
    bool isReported(const Account &account, double rate) const;
    Rates ownRates(Time now) const;
    Rates limitedNumber(Rates rates) const;
    UsageVerdict describe(const Account &account, Time now) const;
    Account *find(std::uint32_t customer);

    UsageLimiterOptions options_;
    std::mt19937_64 random_;
    /// When the first customers with limits became known. Nothing was admitted before.
    std::optional<Time> limitedSince_;
    std::unordered_map<CustomerName, Account> accounts_;
    std::unordered_map<std::uint32_t, Account *> byShortId_;
    std::map<InstanceId, Source> instances_;
    std::map<RegionName, Source> regions_;
    std::size_t allInstances_ = 1;
    Duration window_ = Common::seconds(1);
    double slack_ = 0;
};

} // namespace LaburnumChute::Customers
