#include "Dispatch/RateLimit.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Lower bound of the rate that is used for a limit.
constexpr double MinPerSecond = 0.25;
/// Time in which an empty bucket fills up; a bucket holds at least one request.
constexpr double BurstSeconds = 0.25;
/// Determine how many instances share a limit. One accumulated request for each of them, plus what
/// the limit allows in 4 s, stays below 1.5 times what it allows in 4 s plus 5.
constexpr double BaseHolders = 4;
constexpr double HoldersPerRequestPerSecond = 1.5;
/// Added to the demand of every instance, so that one that has just begun to send gets a fraction.
constexpr double BaseDemand = 1;
/// Upper bound of the reported wait, and the wait of an instance with a fraction of 0.
constexpr seconds MaxWait{10};

} // namespace

std::size_t rendezvousRank(const EndpointId &endpoint, const InstanceId &instance,
                           const std::vector<InstanceId> &instances)
{
    const auto own = Common::rendezvousWeight(endpoint.text(), instance.text());
    return static_cast<std::size_t>(
        std::count_if(instances.begin(), instances.end(), [&](const InstanceId &other) {
            return Common::rendezvousWeight(endpoint.text(), other.text()) > own;
        }));
}

double limitFraction(const EndpointId &endpoint, const InstanceId &instance, double perSecond,
                     const std::vector<InstanceDemand> &demands)
{
    struct Holder
    {
        std::uint64_t weight = 0;
        const InstanceDemand *demand = nullptr;
    };
    std::vector<Holder> holders;
    holders.reserve(demands.size());
    for (const auto &demand : demands) {
        holders.push_back(
            {Common::rendezvousWeight(endpoint.text(), demand.instance.text()), &demand});
    }
    std::sort(holders.begin(), holders.end(),
              [](const Holder &one, const Holder &other) { return one.weight > other.weight; });
    const double maxHolders = BaseHolders + HoldersPerRequestPerSecond * perSecond;
    if (maxHolders < static_cast<double>(holders.size())) {
        holders.resize(static_cast<std::size_t>(maxHolders));
    }
    double own = 0;
    double sum = 0;
    for (const auto &holder : holders) {
        const double demand = BaseDemand + holder.demand->perSecond;
        sum += demand;
        own = holder.demand->instance == instance ? demand : own;
    }
    return sum > 0 ? own / sum : 0;
}

bool RateLimit::update(const LimitStatement &statement)
{
    if (statement.at <= statement_.at) {
        return false;
    }
    if (limited()) {
        refill(statement.at);
    } else {
        level_ = 0;
        refilledAt_ = statement.at;
    }
    if (limited() && !statement.perSecond) {
        endedAt_ = statement.at;
    }
    const bool changed = statement.perSecond != statement_.perSecond;
    statement_ = statement;
    return changed;
}

double RateLimit::perSecond() const
{
    return std::max(MinPerSecond, statement_.perSecond.value_or(0));
}

double RateLimit::ownRate() const
{
    return perSecond() * fraction_;
}

double RateLimit::available(Time now) const
{
    const double capacity = std::max(1.0, ownRate() * BurstSeconds);
    const double elapsed = std::max(0.0, Common::toSeconds(now - refilledAt_));
    return std::min(capacity, level_ + ownRate() * elapsed);
}

void RateLimit::refill(Time now)
{
    level_ = available(now);
    refilledAt_ = std::max(refilledAt_, now);
}

void RateLimit::setFraction(double fraction, Time now)
{
    refill(now);
    fraction_ = fraction;
}

bool RateLimit::allows(Time now) const
{
    return !limited() || available(now) >= 1;
}

Duration RateLimit::wait(Time now) const
{
    if (allows(now)) {
        return Duration(0);
    }
    if (ownRate() <= 0) {
        return MaxWait;
    }
    const std::chrono::duration<double> wait((1 - available(now)) / ownRate());
    return std::min<Duration>(MaxWait, std::chrono::duration_cast<Duration>(wait));
}

void RateLimit::sent(Time now)
{
    refill(now);
    level_ = std::max(0.0, level_ - 1);
}

} // namespace LaburnumChute::Dispatch
