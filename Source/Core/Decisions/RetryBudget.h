#pragma once

#include <random>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// Limits retries and hedges to a fraction of first attempts.
///
/// Load pattern: a short outage during which every request fails. Without a budget each request is
/// attempted three times, the load triples when the endpoints return, they time out under it, and
/// the retries prolong the outage after its cause is gone (metastable failure). With the budget the
/// total load is at most (1 + budgetRatio) times the first attempts, whatever fails.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryOptions &options);

    void deposit();
    bool available() const
    {
        return balance_ >= 1;
    }
    /// Withdraws one retry or hedge; false if the budget is used up.
    bool tryWithdraw();
    double balance() const
    {
        return balance_;
    }

    /// Exponential backoff with full jitter, so that requests that failed together are not retried
    /// together.
    Duration backoff(int attempt, std::mt19937_64 &random) const;

private:
    RetryOptions options_;
    double balance_;
};

/// Whether a request may be retried after this outcome, regardless of the budget. A request that
/// may have run is retried only if it is repeatable and did not time out, and not after its first
/// token, since the caller would see two beginnings.
bool mayRetry(const RequestFacts &facts, Outcome outcome, bool sawFirstToken);

/// The run state that a rejection after this outcome may report.
RunState runStateAfter(Outcome outcome);

} // namespace LaburnumChute::Decisions
