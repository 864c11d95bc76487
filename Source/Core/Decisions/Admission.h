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

/// Why a request is rejected, and when a retry is likely to be admitted.
struct AdmissionRejection
{
    RejectReason reason = RejectReason::Overloaded;
    Duration retryAfter{0};
};

/// Admission control: admits the work that the endpoints can start in time, measured in decode
/// tokens.
///
/// Load pattern: more work than capacity, from one hot customer or from all. Without admission
/// control the queue grows until every caller has left before the first token, and the little work
/// that is done is wasted. Work is counted instead of requests, since a customer with long prompts
/// would otherwise get many times the capacity of one with short prompts. The limits are dynamic:
/// the admissible backlog is the observed drain rate of the target's queue times the longest wait
/// that the caller's patience allows, so a loss of capacity takes effect within averagingTime.
/// Rejections are immediate and state the time in which the surplus will have drained. Under
/// contention each customer may fill its weighted fair share of the admissible backlog, and one
/// fingerprint hotKeyFraction of it.
class Admission
{
public:
    Admission(const AdmissionOptions &options, std::uint64_t seed);

    void setLimits(const std::vector<CustomerLimit> &limits);
    /// The requested priority, limited to the highest that the customer may use.
    int priority(const RequestFacts &facts) const;

    /// Returns why the request is rejected, or nothing if it is admitted.
    /// @param capacity this instance's part of the capacity in decode tokens per second, used until
    /// a drain rate has been observed; 0 if unknown
    std::optional<AdmissionRejection> check(const RequestFacts &facts, const QueuedRequest &waiting,
                                            const Target &base, double capacity, Time now);

    /// Extends the duration by a random fraction, so that rejected callers do not come back at the
    /// same time.
    Duration withJitter(Duration duration);

    void enqueued(const Target &base, const QueuedRequest &waiting, Time now);
    void dequeued(const Target &base, const QueuedRequest &waiting, Time now);
    /// Work was dispatched to an endpoint.
    void dispatched(const CustomerName &customer, double workTokens, Time now);

    /// Whether the customer's recent use relative to its weight exceeds the mean of the waiting
    /// customers by more than a tolerance.
    bool exceedsFairShare(const CustomerName &customer, Time now) const;
    /// Drain rate of the target's queue in decode tokens per second.
    double drainRate(const Target &base, double capacity, Time now) const;
    /// Expected queueing time of a request that arrives now with the given priority.
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
        /// By priority first: a customer's low-priority backlog must not block its high-priority
        /// requests.
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
    Duration maxWait(const RequestFacts &facts, Time now) const;
    static double workAhead(const Backlog &backlog, int priority);
    /// Queued work of the same customer and priority.
    static double queuedWork(const Backlog &backlog, const QueuedRequest &waiting);
    Backlog &backlog(const Target &base);

    AdmissionOptions options_;
    std::mt19937_64 random_;
    std::unordered_map<CustomerName, CustomerLimit> limits_;
    std::map<Target, Backlog> backlogs_;
    std::unordered_map<CustomerName, DecayingSum> recentWork_;
    /// Number of queued requests by customer, over all targets.
    std::unordered_map<CustomerName, std::size_t> activeCustomers_;
    double activeWeight_ = 0;
    mutable double cachedMeanUse_ = 0;
    mutable Time meanUseAt_{};
    mutable std::size_t meanUseCustomers_ = 0;
};

} // namespace LaburnumChute::Decisions
