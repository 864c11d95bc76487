#pragma once

#include <random>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// Retries and hedges as a share of first tries.
///
/// Load pattern: a short outage during which every request fails. Without a budget each is tried
/// three times, the load triples as the endpoints come back, they time out under it, and the
/// retries keep the outage alive after its cause is gone (metastable failure). With the budget the
/// whole load is at most (1 + budgetShare) times the first tries, whatever fails.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryOptions &options);

    void firstTry();
    bool available() const
    {
        return saved_ >= 1;
    }
    /// Takes one retry or hedge out of the budget; false when it is spent.
    bool take();
    double saved() const
    {
        return saved_;
    }

    /// Exponential with full jitter, so that requests that failed together do not return together.
    Duration backoff(int attempt, std::mt19937_64 &random) const;

private:
    RetryOptions options_;
    double saved_;
};

/// Whether a request may be tried again after this outcome, leaving the budget aside: never when
/// the run is unknown and the request is not repeatable, nor after its first token, since the
/// caller would see two beginnings.
bool mayRetry(const RequestFacts &facts, Outcome outcome, bool sawFirstToken);

/// What a refusal after this outcome may claim about the run.
RunState runAfter(Outcome outcome);

} // namespace LaburnumChute::Decisions
