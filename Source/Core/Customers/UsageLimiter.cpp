#include "Customers/UsageLimiter.h"

#include <algorithm>
#include <limits>

namespace LaburnumChute::Customers {

namespace {

/// Keeps a heartbeat with a report within one datagram.
constexpr std::size_t MaxReportedCustomers = 64;
/// Usage that others have admitted, but have not reported yet, is assumed to be that of this time.
constexpr milliseconds ReportAge{250};
/// Usage of another instance or region before its first report is assumed for at most this long.
constexpr milliseconds MaxUnreportedTime{2000};
/// Smallest burst, as time at the limit, for customers whose configured burst is too small to admit
/// anything.
constexpr double MinBurstSeconds = 0.1;
/// Multiple of its equal share of the limit at which an instance announces its usage at once.
constexpr double SuddenUsage = 2;
/// While more than this fraction of the allowed usage remains, the usual reports are soon enough.
constexpr double AmpleFraction = 0.6;
constexpr milliseconds MinRetryAfter{200};
constexpr milliseconds MaxRetryAfter{3000};

/// Fraction of the slack that adds to the allowed usage. The rest is for usage that is admitted
/// before the other instances learn of it, which is small for customers with low limits.
constexpr double UsedSlackFraction = 0.25;

std::uint32_t reportedRate(double perSecond)
{
    constexpr double Largest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(perSecond, 0.0, Largest));
}

} // namespace

std::uint32_t shortId(const CustomerName &name)
{
    return static_cast<std::uint32_t>(Common::stableHash(name.text()));
}

UsageLimiter::UsageLimiter(UsageLimiterOptions options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
}

void UsageLimiter::setBounds(Duration window, double slack)
{
    window_ = window;
    slack_ = slack;
}

UsageLimiter::Account *UsageLimiter::find(std::uint32_t customer)
{
    const auto found = byShortId_.find(customer);
    return found == byShortId_.end() ? nullptr : found->second;
}

UsageLimiter::Account UsageLimiter::makeAccount(const UsageLimit &limit, Time now) const
{
    Account account{limit, 0, UsageWindow(window_, 0, now), {}, 0};
    const double seconds = Common::toSeconds(window_);
    account.limit.burst = std::max({limit.burst, limit.perSecond * MinBurstSeconds, 1.0});
    account.allowed = limit.perSecond * seconds + account.limit.burst + UsedSlackFraction * slack_;
    // If the whole system has just restarted, its usage is unknown and may be as high as allowed.
    // Half of the burst serves requests until the other instances have reported.
    const double assumed = account.allowed - account.limit.burst / 2;
    account.window = UsageWindow(window_, assumed / seconds, now);
    return account;
}

void UsageLimiter::setCustomers(const std::vector<Customer> &customers, Time now)
{
    std::unordered_map<CustomerName, Account> accounts;
    for (const auto &customer : customers) {
        if (!customer.limit) {
            continue;
        }
        auto account = makeAccount(*customer.limit, now);
        const auto known = accounts_.find(customer.name);
        if (known != accounts_.end()) {
            advance(known->second, now);
            account.window = known->second.window;
            account.own = known->second.own;
        }
        accounts.emplace(customer.name, account);
    }
    accounts_ = std::move(accounts);
    if (!accounts_.empty()) {
        limitedSince_ = limitedSince_.value_or(now);
    }
    byShortId_.clear();
    for (auto &[name, account] : accounts_) {
        byShortId_[shortId(name)] = &account;
    }
    for (const auto &[instance, source] : instances_) {
        addRates(source, 1, now);
    }
    for (const auto &[region, source] : regions_) {
        addRates(source, 1, now);
    }
}

void UsageLimiter::advance(Account &account, Time now)
{
    account.window.advance(account.othersRate, now);
}

// Reports.

/// @param factor 1 to add the rates of the source to the accounts, -1 to remove them
void UsageLimiter::addRates(const Source &source, double factor, Time now)
{
    for (const auto &usage : source.rates) {
        if (auto *account = find(usage.customer)) {
            advance(*account, now);
            const double change = factor * usage.perSecond;
            account->othersRate = std::max(0.0, account->othersRate + change);
        }
    }
}

void UsageLimiter::setRates(Source &source, Rates rates, Time now)
{
    addRates(source, -1, now);
    source.rates = std::move(rates);
    addRates(source, 1, now);
}

void UsageLimiter::applyReport(Source &source, const UsageReport &report, Time now)
{
    const bool isFirst = source.reportedAt == Time();
    setRates(source, report.usages, now);
    source.unseen = false;
    source.shares = sharesOf(source.rates, now);
    if (isFirst) {
        const auto unreported =
            std::min<Duration>(now - limitedSince_.value_or(now), MaxUnreportedTime);
        for (const auto &usage : source.rates) {
            if (auto *account = find(usage.customer)) {
                account->window.add(usage.perSecond * Common::toSeconds(unreported));
            }
        }
    }
    source.instances = report.instances;
    source.reportedAt = now;
}

void UsageLimiter::setInstanceReport(const InstanceId &instance, const UsageReport &report,
                                     Time now)
{
    applyReport(instances_[instance], report, now);
}

void UsageLimiter::setRegionReport(const RegionName &region, const UsageReport &report, Time now)
{
    auto &source = regions_[region];
    // An instance that has just started knows only a part of its region.
    const bool isRecent = now - source.reportedAt <= options_.regionReportTimeout;
    if (isRecent && report.instances * 2 < source.instances) {
        return;
    }
    applyReport(source, report, now);
}

void UsageLimiter::removeInstance(const InstanceId &instance, Time now)
{
    const auto found = instances_.find(instance);
    if (found != instances_.end()) {
        setRates(found->second, {}, now);
        instances_.erase(found);
    }
}

std::vector<double> UsageLimiter::sharesOf(const Rates &rates, Time now)
{
    std::vector<double> shares;
    shares.reserve(rates.size());
    for (const auto &usage : rates) {
        const auto *account = find(usage.customer);
        const double total =
            account != nullptr ? account->own.perSecond(now) + account->othersRate : 0;
        shares.push_back(usage.perSecond / std::max<double>(total, usage.perSecond + 1.0));
    }
    return shares;
}

void UsageLimiter::assumeUnseen(Source &source, Time now)
{
    auto rates = source.rates;
    for (std::size_t index = 0; index < rates.size(); ++index) {
        auto &usage = rates[index];
        if (auto *account = find(usage.customer)) {
            const double share = options_.unseenFraction * source.shares[index];
            usage.perSecond =
                std::max(usage.perSecond, reportedRate(share * account->limit.perSecond));
            // The other side may use its share of what the window still allows at once.
            advance(*account, now);
            account->window.add(share * std::max(0.0, account->remaining()));
        }
    }
    setRates(source, std::move(rates), now);
    source.unseen = true;
}

template <typename Key>
void UsageLimiter::expire(std::map<Key, Source> &sources, Time now)
{
    for (auto source = sources.begin(); source != sources.end();) {
        if (now - source->second.reportedAt > options_.unseenRetention) {
            setRates(source->second, {}, now);
            source = sources.erase(source);
        } else {
            ++source;
        }
    }
}

void UsageLimiter::setInstances(const std::set<InstanceId> &ownRegion, std::size_t allInstances,
                                Time now)
{
    allInstances_ = std::max<std::size_t>(1, allInstances);
    for (auto &[name, account] : accounts_) {
        advance(account, now);
    }
    for (auto &[instance, source] : instances_) {
        if (!source.unseen && ownRegion.count(instance) == 0) {
            assumeUnseen(source, now);
        }
    }
    for (auto &[region, source] : regions_) {
        if (!source.unseen && now - source.reportedAt > options_.regionReportTimeout) {
            assumeUnseen(source, now);
        }
    }
    expire(instances_, now);
    expire(regions_, now);
}

/// Accounts far from their limit are left out, which keeps the reports of idle instances empty.
bool UsageLimiter::isReported(const Account &account, double rate) const
{
    const double threshold = options_.reportThreshold * account.limit.perSecond;
    const bool ownIsHigh = rate * static_cast<double>(allInstances_) >= threshold;
    return rate >= 1 && (ownIsHigh || rate + account.othersRate >= threshold);
}

UsageLimiter::Rates UsageLimiter::ownRates(Time now) const
{
    Rates rates;
    for (const auto &[name, account] : accounts_) {
        const double rate = account.own.perSecond(now);
        if (isReported(account, rate)) {
            rates.push_back({shortId(name), reportedRate(rate)});
        }
    }
    return rates;
}

UsageLimiter::Rates UsageLimiter::limitedNumber(Rates rates) const
{
    const auto limitFraction = [this](const CustomerUsage &usage) {
        const auto found = byShortId_.find(usage.customer);
        return found == byShortId_.end() ? 0.0 : usage.perSecond / found->second->limit.perSecond;
    };
    if (rates.size() > MaxReportedCustomers) {
        const auto end = rates.begin() + MaxReportedCustomers;
        std::partial_sort(rates.begin(), end, rates.end(),
                          [&](const CustomerUsage &one, const CustomerUsage &other) {
                              return limitFraction(one) > limitFraction(other);
                          });
        rates.erase(end, rates.end());
    }
    return rates;
}

UsageReport UsageLimiter::instanceReport(Time now) const
{
    return {1, limitedNumber(ownRates(now))};
}

UsageReport UsageLimiter::regionReport(Time now) const
{
    UsageReport report;
    std::map<std::uint32_t, double> sums;
    const auto addRates = [&sums](const Rates &rates) {
        for (const auto &usage : rates) {
            sums[usage.customer] += usage.perSecond;
        }
    };
    addRates(ownRates(now));
    for (const auto &[instance, source] : instances_) {
        if (!source.unseen) {
            ++report.instances;
            addRates(source.rates);
        }
    }
    for (const auto &[customer, perSecond] : sums) {
        report.usages.push_back({customer, reportedRate(perSecond)});
    }
    report.usages = limitedNumber(std::move(report.usages));
    return report;
}

bool UsageLimiter::nearLimit(Time now) const
{
    return std::any_of(accounts_.begin(), accounts_.end(), [&](const auto &entry) {
        const auto &account = entry.second;
        const double rate = account.own.perSecond(now);
        const double ifAllWereAlike = rate * static_cast<double>(allInstances_);
        const bool rises = ifAllWereAlike >= SuddenUsage * account.limit.perSecond
                           && account.remaining() < AmpleFraction * account.allowed;
        const bool nearlyUsed = account.remaining() < account.limit.burst;
        return rises || (nearlyUsed && isReported(account, rate));
    });
}

// Decisions.

UsageVerdict UsageLimiter::describe(const Account &account, Time now) const
{
    UsageVerdict verdict;
    verdict.limit = account.limit.perSecond;
    verdict.ownRate = account.own.perSecond(now);
    verdict.othersRate = account.othersRate;
    verdict.remaining = account.remaining() - account.othersRate * Common::toSeconds(ReportAge);
    return verdict;
}

UsageVerdict UsageLimiter::admit(const CustomerName &customer, double usage, Time now)
{
    const auto found = accounts_.find(customer);
    if (found == accounts_.end()) {
        return {};
    }
    auto &account = found->second;
    advance(account, now);
    auto verdict = describe(account, now);
    // Usage may exceed what remains, or small limits would reject every large request.
    verdict.admitted = verdict.remaining > 0;
    if (verdict.admitted) {
        account.window.add(usage);
        account.own.add(usage, now);
        return verdict;
    }
    const auto wait = std::clamp<Duration>(account.window.timeUntilLeft(-verdict.remaining, now),
                                           MinRetryAfter, MaxRetryAfter);
    // Spread, so that the callers do not all return at the same time.
    std::uniform_real_distribution<double> factor(1, 2);
    verdict.retryAfter = std::chrono::duration_cast<Duration>(wait * factor(random_));
    return verdict;
}

void UsageLimiter::refund(const CustomerName &customer, double usage, Time now)
{
    const auto found = accounts_.find(customer);
    if (found == accounts_.end()) {
        return;
    }
    auto &account = found->second;
    advance(account, now);
    account.window.add(-usage);
    account.own.add(-usage, now);
}

std::optional<UsageVerdict> UsageLimiter::status(const CustomerName &customer, Time now) const
{
    const auto found = accounts_.find(customer);
    return found == accounts_.end() ? std::nullopt : std::optional(describe(found->second, now));
}

} // namespace LaburnumChute::Customers
