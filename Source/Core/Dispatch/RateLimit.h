#pragma once

#include <optional>
#include <vector>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// Rate limit that an endpoint stated in an answer.
struct LimitStatement
{
    /// Requests per second from all instances together; empty if the answer stated no limit.
    std::optional<double> perSecond;
    /// When the answer was received.
    Time at{};
};

/// Rate at which an instance sends requests to the endpoints of a service.
struct InstanceDemand
{
    InstanceId instance;
    double perSecond = 0;
};

/// Rank of an instance by rendezvous hashing with the endpoint's id. All instances compute the same
/// order, and it differs between endpoints.
std::size_t rendezvousRank(const EndpointId &endpoint, const InstanceId &instance,
                           const std::vector<InstanceId> &instances);

/// Fraction of an endpoint's rate limit that an instance may use, from 0 to 1.
///
/// Each instance with a fraction above 0 may accumulate one request, so their number is capped
/// depending on the limit; the others send nothing. Fractions are weighted by demand.
/// @param demands of the live instances of the region, including the instance itself
double limitFraction(const EndpointId &endpoint, const InstanceId &instance, double perSecond,
                     const std::vector<InstanceDemand> &demands);

/// Token bucket that holds an instance to its fraction of an endpoint's rate limit.
///
/// The limit applies to all instances together; if each used it in full, the endpoint would receive
/// a multiple of it.
class RateLimit
{
public:
    /// Applies a statement unless one at least as recent is known.
    /// @return the limit has changed
    bool update(const LimitStatement &statement);
    const LimitStatement &statement() const
    {
        return statement_;
    }
    bool limited() const
    {
        return statement_.perSecond.has_value();
    }
    /// When the last limit ended; empty if none has ended yet.
    std::optional<Time> endedAt() const
    {
        return endedAt_;
    }
    /// Requests per second from all instances together. Never 0, since the end of a limit is only
    /// noticed from answers.
    double perSecond() const;
    /// @param fraction of the limit that this instance may use
    void setFraction(double fraction, Time now);
    bool allows(Time now) const;
    /// Time until the next request may be sent; zero if there is no limit.
    Duration wait(Time now) const;
    void sent(Time now);

private:
    double ownRate() const;
    double available(Time now) const;
    void refill(Time now);

    LimitStatement statement_;
    std::optional<Time> endedAt_;
    double fraction_ = 0;
    /// Fill level of the bucket, in requests.
    double level_ = 0;
    Time refilledAt_{};
};

} // namespace LaburnumChute::Dispatch
