#include "Decisions/RetryBudget.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

RetryBudget::RetryBudget(const RetryOptions &options)
    : options_(options)
    , balance_(options.budgetMaximum)
{
}

void RetryBudget::deposit()
{
    balance_ = std::min(options_.budgetMaximum, balance_ + options_.budgetRatio);
}

bool RetryBudget::tryWithdraw()
{
    if (!available()) {
        return false;
    }
    balance_ -= 1;
    return true;
}

Duration RetryBudget::backoff(int attempt, std::mt19937_64 &random) const
{
    const auto factor = 1 << std::clamp(attempt - 1, 0, 10);
    const auto longest = std::min(options_.backoff * factor, options_.maxBackoff);
    std::uniform_int_distribution<Duration::rep> spread(0, longest.count());
    return Duration(spread(random));
}

bool mayRetry(const RequestFacts &facts, Outcome outcome, bool sawFirstToken)
{
    if (facts.noRetry) {
        return false;
    }
    switch (outcome) {
    case Outcome::NotStarted:
        return true;
    case Outcome::Failed:
    case Outcome::EndpointDied:
        return facts.repeatable && !sawFirstToken;
    case Outcome::TimedOut:
    case Outcome::Completed:
    case Outcome::Cancelled:
        return false;
    }
    return false;
}

RunState runStateAfter(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotStarted:
        return RunState::NotRun;
    case Outcome::Completed:
        return RunState::Ran;
    case Outcome::Cancelled:
    case Outcome::Failed:
    case Outcome::EndpointDied:
    case Outcome::TimedOut:
        return RunState::Unknown;
    }
    return RunState::Unknown;
}

} // namespace LaburnumChute::Decisions
