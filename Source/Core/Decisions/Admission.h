#pragma once

#include <map>
#include <random>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "Decisions/Decaying.h"
#include "Decisions/Facts.h"
#include "Decisions/Options.h"
#include "Decisions/WaitQueue.h"

namespace LaburnumChute::Decisions {

/// Why a request is not let in, and when a new try has a fair chance.
struct AdmissionRefusal
{
    RejectReason reason = RejectReason::Overloaded;
    Duration retryAfter{0};
};

/// Lets in what the endpoints can begin in time, measured in decode tokens of work.
///
/// Load pattern: more work than capacity, from one hot customer or all. Without it the queue grows
/// until every caller has left before the first token, and what little is served is wasted.
/// Counting requests lets a customer with long histories take many times the share of one with
/// short lines, so work counts and not number. The limits are not fixed: what may wait is the rate
/// at which this target's queue was seen to drain, times the longest wait that the caller's
/// patience allows. A loss of capacity shows in that rate within averagingTime. Refusals come at
/// once and name the time in which the surplus will have drained. Under contention each customer
/// may fill its weight's share of what may wait, and one fingerprint hotKeyShare of it.
class Admission
{
public:
    Admission(const AdmissionOptions &options, std::uint64_t seed);

    void setLimits(const std::vector<CustomerLimit> &limits);
    /// The priority that the customer may use, at best the one it asks for.
    int priority(const RequestFacts &facts) const;

    /// @param capacity decode tokens a second of this instance's share, for as long as no drain of
    ///                 the queue was seen; 0 when unknown
    std::optional<AdmissionRefusal> refuse(const RequestFacts &facts, const Waiting &waiting,
                                           const Target &base, double capacity, Time now);

    /// The duration, longer by a random part, so that the refused do not come back together.
    Duration spreadOut(Duration duration);

    void entered(const Target &base, const Waiting &waiting, Time now);
    void left(const Target &base, const Waiting &waiting, Time now);
    /// Work was sent to an endpoint.
    void started(const CustomerName &customer, double workTokens, Time now);

    /// Whether the customer used more for its weight lately than the mean of those that wait.
    bool overShare(const CustomerName &customer, Time now) const;
    /// Decode tokens a second that leave the target's queue.
    double drainRate(const Target &base, double capacity, Time now) const;
    /// Wait before work that arrives now at the given priority.
    Duration expectedWait(const Target &base, int priority, double capacity, Time now) const;
    nlohmann::json dump(Time now) const;

private:
    struct Backlog
    {
        explicit Backlog(Duration averagingTime)
            : drained(averagingTime)
            , busySeconds(averagingTime)
        {
        }

        std::map<int, double> byPriority;
        /// Of each priority apart: a customer's histories must not shut out its lines.
        std::map<int, std::unordered_map<CustomerName, double>> byCustomer;
        std::unordered_map<std::uint64_t, double> byFingerprint;
        double total = 0;
        std::size_t requests = 0;
        DecayingSum drained;
        DecayingSum busySeconds;
        Time busySince{};
    };

    double weight(const CustomerName &customer) const;
    double fairShare(const CustomerName &customer) const;
    double relativeUse(const CustomerName &customer, Time now) const;
    double meanUse(Time now) const;
    Duration longestWait(const RequestFacts &facts, Time now) const;
    static double ahead(const Backlog &backlog, int priority);
    /// Work of the same customer and priority that waits.
    static double waitingOf(const Backlog &backlog, const Waiting &waiting);
    Backlog &backlog(const Target &base);

    AdmissionOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<CustomerName, CustomerLimit> limits_;
    std::map<Target, Backlog> backlogs_;
    std::unordered_map<CustomerName, DecayingSum> used_;
    /// Waiting requests of each customer, over all targets.
    std::unordered_map<CustomerName, std::size_t> active_;
    double activeWeight_ = 0;
    mutable double mean_ = 0;
    mutable Time meanAt_{};
    mutable std::size_t meanOf_ = 0;
};

} // namespace LaburnumChute::Decisions
