#include "Decisions/Admission.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

/// The assumed capacity counts like this many seconds of observation.
constexpr double PriorSeconds = 1;
/// A share is enforced once the queue is this part of what may wait; before, there is room for all.
constexpr double ContendedFrom = 0.25;
constexpr double ShareTolerance = 1.25;
/// The mean over customers costs one pass over them; it is kept this long.
constexpr Duration MeanLifetime = milliseconds(20);
/// Shorter answers than this would only bring the caller back into the same queue.
constexpr double LeastRetryAfter = 0.2;
constexpr double LongestRetryAfter = 60;
/// Keeps the map of customers small.
constexpr std::size_t MaxUsers = 8192;

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

template <typename Map, typename Key>
void takeFrom(Map &map, const Key &key, double amount)
{
    const auto found = map.find(key);
    if (found == map.end()) {
        return;
    }
    found->second -= amount;
    // Rounding must not leave an entry behind for ever.
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
    for (const auto &[customer, requests] : active_) {
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
    const double others = activeWeight_ - (active_.count(customer) != 0 ? own : 0);
    return others <= 0 ? 1 - options_.reserveShare : own / (own + others);
}

Duration Admission::longestWait(const RequestFacts &facts, Time now) const
{
    Duration longest = options_.maxWaitNormal;
    if (facts.patience == Patience::Short) {
        longest = options_.maxWaitShort;
    } else if (facts.patience == Patience::Long) {
        longest = options_.maxWaitLong;
    }
    return facts.deadline ? std::min(longest, *facts.deadline - now) : longest;
}

Duration Admission::spreadOut(Duration duration)
{
    std::uniform_real_distribution<double> jitter(1, 1 + options_.retryAfterJitter);
    const double seconds =
        std::clamp(Common::toSeconds(duration), LeastRetryAfter, LongestRetryAfter);
    return fromSeconds(seconds * jitter(random_));
}

double Admission::ahead(const Backlog &backlog, int priority)
{
    double sum = 0;
    for (const auto &[level, tokens] : backlog.byPriority) {
        sum += level <= priority ? tokens : 0;
    }
    return sum;
}

double Admission::waitingOf(const Backlog &backlog, const Waiting &waiting)
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
    const double prior = capacity > 0 ? PriorSeconds : 0;
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
    return fromSeconds(std::min(3600.0, ahead(found->second, priority) / rate));
}

std::optional<AdmissionRefusal> Admission::refuse(const RequestFacts &facts, const Waiting &waiting,
                                                  const Target &base, double capacity, Time now)
{
    const auto &state = backlog(base);
    const double rate = drainRate(base, capacity, now);
    // With nothing waiting the request itself shows whether anything drains.
    if (!options_.enabled || state.requests == 0 || rate <= 0) {
        return std::nullopt;
    }
    const auto longest = longestWait(facts, now);
    const double mayWait = rate * std::max(0.0, Common::toSeconds(longest));
    const double before = ahead(state, waiting.priority);
    if (before > mayWait) {
        const bool deadline = facts.deadline && longest == *facts.deadline - now;
        const auto reason = deadline ? RejectReason::DeadlineTooClose : RejectReason::Overloaded;
        return AdmissionRefusal{reason, spreadOut(fromSeconds((before - mayWait) / rate))};
    }
    if (before < ContendedFrom * mayWait) {
        return std::nullopt;
    }
    const double own = waitingOf(state, waiting);
    const double share = fairShare(waiting.customer) * mayWait;
    if (own > 0 && own + waiting.workTokens > share) {
        const double surplus = own + waiting.workTokens - share;
        return AdmissionRefusal{
            RejectReason::CustomerShare,
            spreadOut(fromSeconds(surplus / (rate * fairShare(waiting.customer))))};
    }
    const auto hot = state.byFingerprint.find(waiting.fingerprint);
    const double same = hot == state.byFingerprint.end() ? 0 : hot->second;
    if (same > 0 && same + waiting.workTokens > options_.hotKeyShare * mayWait) {
        return AdmissionRefusal{RejectReason::CustomerShare, spreadOut(fromSeconds(same / rate))};
    }
    return std::nullopt;
}

void Admission::entered(const Target &base, const Waiting &waiting, Time now)
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
    if (active_[waiting.customer]++ == 0) {
        activeWeight_ += weight(waiting.customer);
    }
}

void Admission::left(const Target &base, const Waiting &waiting, Time now)
{
    auto &state = backlog(base);
    state.total = std::max(0.0, state.total - waiting.workTokens);
    takeFrom(state.byPriority, waiting.priority, waiting.workTokens);
    takeFrom(state.byCustomer[waiting.priority], waiting.customer, waiting.workTokens);
    takeFrom(state.byFingerprint, waiting.fingerprint, waiting.workTokens);
    state.drained.add(waiting.workTokens, now);
    state.busySeconds.add(Common::toSeconds(now - state.busySince), now);
    state.busySince = now;
    --state.requests;
    const auto found = active_.find(waiting.customer);
    if (--found->second == 0) {
        active_.erase(found);
        activeWeight_ = std::max(0.0, activeWeight_ - weight(waiting.customer));
    }
}

void Admission::started(const CustomerName &customer, double workTokens, Time now)
{
    if (used_.size() >= MaxUsers) {
        std::erase_if(used_, [now](const auto &entry) { return entry.second.value(now) < 1; });
    }
    used_.try_emplace(customer, options_.averagingTime).first->second.add(workTokens, now);
}

double Admission::relativeUse(const CustomerName &customer, Time now) const
{
    const auto found = used_.find(customer);
    return found == used_.end() ? 0 : found->second.value(now) / weight(customer);
}

double Admission::meanUse(Time now) const
{
    if (now - meanAt_ < MeanLifetime && active_.size() == meanOf_) {
        return mean_;
    }
    double sum = 0;
    for (const auto &[customer, requests] : active_) {
        sum += relativeUse(customer, now);
    }
    mean_ = active_.empty() ? 0 : sum / static_cast<double>(active_.size());
    meanAt_ = now;
    meanOf_ = active_.size();
    return mean_;
}

bool Admission::overShare(const CustomerName &customer, Time now) const
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
