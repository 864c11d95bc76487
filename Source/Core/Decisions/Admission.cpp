#include "Decisions/Admission.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

/// Weight of the given capacity in the drain rate, as seconds of observation.
constexpr double CapacityPriorSeconds = 1;
/// Fair shares are enforced once the backlog reaches this fraction of the admissible backlog; below
/// it there is enough for all.
constexpr double ContentionThreshold = 0.25;
constexpr double ShareTolerance = 1.25;
/// The mean over all customers costs a pass over them, so it is cached for this long.
constexpr Duration MeanLifetime = milliseconds(20);
/// A shorter delay would only bring the caller back into the same queue.
constexpr double MinRetryAfterSeconds = 0.2;
constexpr double MaxRetryAfterSeconds = 60;
/// Bounds the number of tracked customers.
constexpr std::size_t MaxTrackedCustomers = 8192;

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

template <typename Map, typename Key>
void subtract(Map &map, const Key &key, double amount)
{
    const auto found = map.find(key);
    if (found == map.end()) {
        return;
    }
    found->second -= amount;
    // Rounding errors must not keep an entry forever.
    if (found->second < 1e-6) {
        map.erase(found);
    }
}

} // namespace

Admission::Admission(const AdmissionOptions &options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
}

void Admission::setLimits(const std::vector<CustomerLimit> &limits)
{
    limits_.clear();
    for (const auto &limit : limits) {
        limits_[limit.customer] = limit;
    }
    activeWeight_ = 0;
    for (const auto &[customer, requests] : activeCustomers_) {
        activeWeight_ += weight(customer);
    }
}

int Admission::priority(const RequestFacts &facts) const
{
    const auto found = limits_.find(facts.customer);
    const int highest = found == limits_.end() ? 0 : found->second.highestPriority;
    return std::max(highest, facts.priority);
}

double Admission::weight(const CustomerName &customer) const
{
    const auto found = limits_.find(customer);
    return found == limits_.end() ? 1 : std::max(1e-3, found->second.weight);
}

double Admission::fairShare(const CustomerName &customer) const
{
    const double own = weight(customer);
    const double others = activeWeight_ - (activeCustomers_.count(customer) != 0 ? own : 0);
    return others <= 0 ? 1 - options_.reserveFraction : own / (own + others);
}

Duration Admission::maxWait(const RequestFacts &facts, Time now) const
{
    Duration longest = options_.maxWaitNormal;
    if (facts.patience == Patience::Short) {
        longest = options_.maxWaitShort;
    } else if (facts.patience == Patience::Long) {
        longest = options_.maxWaitLong;
    }
    return facts.deadline ? std::min(longest, *facts.deadline - now) : longest;
}

Duration Admission::withJitter(Duration duration)
{
    std::uniform_real_distribution<double> jitter(1, 1 + options_.retryAfterJitter);
    const double seconds =
        std::clamp(Common::toSeconds(duration), MinRetryAfterSeconds, MaxRetryAfterSeconds);
    return fromSeconds(seconds * jitter(random_));
}

double Admission::workAhead(const Backlog &backlog, int priority)
{
    double sum = 0;
    for (const auto &[level, tokens] : backlog.byPriority) {
        sum += level <= priority ? tokens : 0;
    }
    return sum;
}

double Admission::queuedWork(const Backlog &backlog, const QueuedRequest &waiting)
{
    const auto level = backlog.byCustomer.find(waiting.priority);
    if (level == backlog.byCustomer.end()) {
        return 0;
    }
    const auto customer = level->second.find(waiting.customer);
    return customer == level->second.end() ? 0 : customer->second;
}

Admission::Backlog &Admission::backlog(const Target &base)
{
    return backlogs_.try_emplace(base, options_.averagingTime).first->second;
}

double Admission::drainRate(const Target &base, double capacity, Time now) const
{
    const auto found = backlogs_.find(base);
    if (found == backlogs_.end()) {
        return capacity;
    }
    const auto &backlog = found->second;
    double busy = backlog.busySeconds.value(now);
    if (backlog.requests > 0) {
        busy += Common::toSeconds(now - backlog.busySince);
    }
    const double prior = capacity > 0 ? CapacityPriorSeconds : 0;
    if (busy + prior <= 0) {
        return 0;
    }
    return (backlog.drained.value(now) + capacity * prior) / (busy + prior);
}

Duration Admission::expectedWait(const Target &base, int priority, double capacity, Time now) const
{
    const auto found = backlogs_.find(base);
    const double rate = drainRate(base, capacity, now);
    if (found == backlogs_.end() || rate <= 0) {
        return Duration(0);
    }
    return fromSeconds(std::min(3600.0, workAhead(found->second, priority) / rate));
}

std::optional<AdmissionRejection> Admission::check(const RequestFacts &facts,
                                                   const QueuedRequest &waiting, const Target &base,
                                                   double capacity, Time now)
{
    const auto &state = backlog(base);
    const double rate = drainRate(base, capacity, now);
    // Without a queue there is no observed drain rate; admitting the request provides one.
    if (!options_.enabled || state.requests == 0 || rate <= 0) {
        return std::nullopt;
    }
    const auto longest = maxWait(facts, now);
    const double maxQueuedWork = rate * std::max(0.0, Common::toSeconds(longest));
    const double queuedAhead = workAhead(state, waiting.priority);
    if (queuedAhead > maxQueuedWork) {
        const bool deadline = facts.deadline && longest == *facts.deadline - now;
        const auto reason = deadline ? RejectReason::DeadlineTooClose : RejectReason::Overloaded;
        return AdmissionRejection{reason,
                                  withJitter(fromSeconds((queuedAhead - maxQueuedWork) / rate))};
    }
    if (queuedAhead < ContentionThreshold * maxQueuedWork) {
        return std::nullopt;
    }
    const double own = queuedWork(state, waiting);
    const double share = fairShare(waiting.customer) * maxQueuedWork;
    if (own > 0 && own + waiting.workTokens > share) {
        const double surplus = own + waiting.workTokens - share;
        return AdmissionRejection{
            RejectReason::CustomerShare,
            withJitter(fromSeconds(surplus / (rate * fairShare(waiting.customer))))};
    }
    const auto sameFingerprint = state.byFingerprint.find(waiting.fingerprint);
    const double sameWork =
        sameFingerprint == state.byFingerprint.end() ? 0 : sameFingerprint->second;
    if (sameWork > 0 && sameWork + waiting.workTokens > options_.hotKeyFraction * maxQueuedWork) {
        return AdmissionRejection{RejectReason::CustomerShare,
                                  withJitter(fromSeconds(sameWork / rate))};
    }
    return std::nullopt;
}

void Admission::enqueued(const Target &base, const QueuedRequest &waiting, Time now)
{
    auto &state = backlog(base);
    if (state.requests++ == 0) {
        state.busySince = now;
    }
    state.total += waiting.workTokens;
    state.byPriority[waiting.priority] += waiting.workTokens;
    state.byCustomer[waiting.priority][waiting.customer] += waiting.workTokens;
    if (waiting.fingerprint != 0) {
        state.byFingerprint[waiting.fingerprint] += waiting.workTokens;
    }
    if (activeCustomers_[waiting.customer]++ == 0) {
        activeWeight_ += weight(waiting.customer);
    }
}

void Admission::dequeued(const Target &base, const QueuedRequest &waiting, Time now)
{
    auto &state = backlog(base);
    state.total = std::max(0.0, state.total - waiting.workTokens);
    subtract(state.byPriority, waiting.priority, waiting.workTokens);
    subtract(state.byCustomer[waiting.priority], waiting.customer, waiting.workTokens);
    subtract(state.byFingerprint, waiting.fingerprint, waiting.workTokens);
    state.drained.add(waiting.workTokens, now);
    state.busySeconds.add(Common::toSeconds(now - state.busySince), now);
    state.busySince = now;
    --state.requests;
    const auto found = activeCustomers_.find(waiting.customer);
    if (--found->second == 0) {
        activeCustomers_.erase(found);
        activeWeight_ = std::max(0.0, activeWeight_ - weight(waiting.customer));
    }
}

void Admission::dispatched(const CustomerName &customer, double workTokens, Time now)
{
    if (recentWork_.size() >= MaxTrackedCustomers) {
        std::erase_if(recentWork_,
                      [now](const auto &entry) { return entry.second.value(now) < 1; });
    }
    recentWork_.try_emplace(customer, options_.averagingTime).first->second.add(workTokens, now);
}

double Admission::relativeUse(const CustomerName &customer, Time now) const
{
    const auto found = recentWork_.find(customer);
    return found == recentWork_.end() ? 0 : found->second.value(now) / weight(customer);
}

double Admission::meanUse(Time now) const
{
    if (now - meanUseAt_ < MeanLifetime && activeCustomers_.size() == meanUseCustomers_) {
        return cachedMeanUse_;
    }
    double sum = 0;
    for (const auto &[customer, requests] : activeCustomers_) {
        sum += relativeUse(customer, now);
    }
    cachedMeanUse_ =
        activeCustomers_.empty() ? 0 : sum / static_cast<double>(activeCustomers_.size());
    meanUseAt_ = now;
    meanUseCustomers_ = activeCustomers_.size();
    return cachedMeanUse_;
}

bool Admission::exceedsFairShare(const CustomerName &customer, Time now) const
{
    return relativeUse(customer, now) > ShareTolerance * meanUse(now);
}

nlohmann::json Admission::dump(Time now) const
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto &[target, state] : backlogs_) {
        result[toString(target)] = {{"waiting_requests", state.requests},
                                    {"waiting_tokens", state.total},
                                    {"drain_tokens_per_second", drainRate(target, 0, now)}};
    }
    return result;
}

} // namespace LaburnumChute::Decisions
