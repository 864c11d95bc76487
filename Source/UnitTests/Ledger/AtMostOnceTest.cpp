#include <functional>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "LedgerSimulation.h"

namespace LaburnumChute::Ledger {

using namespace std::chrono_literals;

namespace {

using Index = LedgerSimulation::Index;
using Phase = LedgerSimulation::Phase;
using AttemptState = LedgerSimulation::AttemptState;

/// One random step. `choice` selects the process, submission or attempt that it applies to.
struct Step
{
    enum class Kind {
        Mint,
        Submit,
        Deliver,
        AbandonForward,
        Dispatch,
        Abandon,
        Run,
        Reject,
        Finished,
        NotStarted,
        CloseConnection,
        Start,
        Kill,
        Advance,
        Tick,
        Close,
        HandOver
    };
    Kind kind = Kind::Mint;
    std::size_t choice = 0;
    std::size_t detail = 0;
};

void showValue(const Step &step, std::ostream &stream)
{
    stream << static_cast<int>(step.kind) << ' ' << step.choice << ' ' << step.detail;
}

rc::Gen<Step> arbitraryStep()
{
    using Kind = Step::Kind;
    const auto kind = rc::gen::weightedElement<Kind>({{4, Kind::Mint},
                                                      {12, Kind::Submit},
                                                      {6, Kind::Deliver},
                                                      {2, Kind::AbandonForward},
                                                      {10, Kind::Dispatch},
                                                      {2, Kind::Abandon},
                                                      {10, Kind::Run},
                                                      {3, Kind::Reject},
                                                      {8, Kind::Finished},
                                                      {4, Kind::NotStarted},
                                                      {3, Kind::CloseConnection},
                                                      {1, Kind::Start},
                                                      {1, Kind::Kill},
                                                      {3, Kind::Advance},
                                                      {2, Kind::Tick},
                                                      {1, Kind::Close},
                                                      {2, Kind::HandOver}});
    const auto number = rc::gen::resize(1000, rc::gen::inRange<std::size_t>(0, 1000));
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, kind),
                                rc::gen::set(&Step::choice, number),
                                rc::gen::set(&Step::detail, number));
}

/// Applies random steps to a simulation of three instances. An instance may be replaced while its
/// earlier process continues to run.
class StepRunner
{
public:
    StepRunner()
        : simulation_(options())
    {
        for (const auto &instance : Instances) {
            simulation_.start(instance);
        }
    }

    void apply(const Step &step)
    {
        using Kind = Step::Kind;
        switch (step.kind) {
        case Kind::Mint:
        case Kind::Start:
        case Kind::Kill:
        case Kind::Advance:
        case Kind::Tick:
        case Kind::Close:
        case Kind::HandOver:
            return applyToProcess(step);
        case Kind::Submit:
        case Kind::Deliver:
        case Kind::AbandonForward:
        case Kind::Dispatch:
        case Kind::Abandon:
            return applyToSubmission(step);
        default:
            return applyToAttempt(step);
        }
    }

    const LedgerSimulation &simulation() const
    {
        return simulation_;
    }

private:
    static constexpr const char *Instances[] = {"a", "b", "c"};
    static constexpr std::size_t MaxProcesses = 7;
    static constexpr std::size_t MaxKeys = 8;

    static LedgerOptions options()
    {
        LedgerOptions options;
        options.keyLifetime = 10s;
        options.keptAnswerTime = 20s;
        options.maxRecords = 3;
        options.maxKeptAnswerBytes = 70;
        options.duplicateWindow = 2s;
        options.maxDuplicateHints = 3;
        options.maxAdoptedRecords = 4;
        return options;
    }

    template <typename Items, typename Condition>
    static std::optional<Index> pick(const Items &items, std::size_t choice, Condition condition)
    {
        std::vector<Index> matching;
        for (Index at = 0; at < items.size(); ++at) {
            if (condition(items[at])) {
                matching.push_back(at);
            }
        }
        return matching.empty() ? std::nullopt : std::optional(matching[choice % matching.size()]);
    }

    std::optional<Index> pickLiveProcess(std::size_t choice)
    {
        return pick(simulation_.processes(), choice,
                    [](const LedgerSimulation::Process &process) { return process.alive; });
    }

    void applyToProcess(const Step &step)
    {
        static constexpr Common::Duration Durations[] = {200ms, 1s, 3s, 10s, 20s};
        using Kind = Step::Kind;
        const auto process = pickLiveProcess(step.choice);
        if (step.kind == Kind::Start) {
            if (simulation_.processes().size() < MaxProcesses) {
                simulation_.start(Instances[step.choice % std::size(Instances)]);
            }
        } else if (step.kind == Kind::Advance) {
            simulation_.advance(Durations[step.choice % std::size(Durations)]);
        } else if (process) {
            applyToLiveProcess(*process, step);
        }
    }

    void applyToLiveProcess(Index process, const Step &step)
    {
        using Kind = Step::Kind;
        if (step.kind == Kind::Mint && simulation_.keys().size() < MaxKeys) {
            simulation_.mint(process);
        } else if (step.kind == Kind::Kill) {
            simulation_.kill(process);
        } else if (step.kind == Kind::Tick) {
            simulation_.tick(process);
        } else if (step.kind == Kind::Close) {
            simulation_.close(process);
        } else if (step.kind == Kind::HandOver) {
            simulation_.handOver(process, *pickLiveProcess(step.detail));
        }
    }

    void applyToSubmission(const Step &step)
    {
        using Kind = Step::Kind;
        if (step.kind == Kind::Submit) {
            return submit(step);
        }
        const auto submission = pick(simulation_.submissions(), step.choice,
                                     [&](const LedgerSimulation::Submitted &submitted) {
                                         return isApplicable(step.kind, submitted);
                                     });
        if (!submission) {
            return;
        }
        if (step.kind == Kind::Deliver) {
            deliver(*submission, step);
        } else if (step.kind == Kind::AbandonForward) {
            simulation_.abandonForward(*submission);
        } else if (step.kind == Kind::Dispatch) {
            simulation_.dispatch(*submission);
        } else {
            simulation_.abandon(*submission);
        }
    }

    void submit(const Step &step)
    {
        const auto entry = pickLiveProcess(step.detail);
        if (entry && !simulation_.keys().empty()) {
            const auto body = step.detail % 8 == 0 ? 2U : 1U;
            simulation_.submit(step.choice % simulation_.keys().size(), body, step.choice % 5,
                               *entry);
        }
    }

    void deliver(Index submission, const Step &step)
    {
        const auto &owner = simulation_.keys()[simulation_.submissions()[submission].key].owner;
        const auto process = pick(
            simulation_.processes(), step.detail, [&](const LedgerSimulation::Process &candidate) {
                return candidate.alive && (candidate.instance == owner || step.detail % 16 == 0);
            });
        if (process) {
            simulation_.deliver(submission, *process);
        }
    }

    bool isApplicable(Step::Kind kind, const LedgerSimulation::Submitted &submitted) const
    {
        if (kind == Step::Kind::Deliver) {
            return submitted.phase == Phase::Forwarded;
        }
        if (kind == Step::Kind::AbandonForward) {
            return submitted.phase == Phase::Forwarded
                   || (submitted.phase != Phase::Done && submitted.holder != submitted.entry);
        }
        return submitted.phase == Phase::Reserved
               && simulation_.processes()[submitted.holder].alive;
    }

    void applyToAttempt(const Step &step)
    {
        using Kind = Step::Kind;
        const auto attempt = pick(simulation_.attempts(), step.choice,
                                  [&](const LedgerSimulation::EndpointAttempt &sent) {
                                      return isApplicable(step.kind, sent);
                                  });
        if (!attempt) {
            return;
        }
        if (step.kind == Kind::Run) {
            simulation_.run(*attempt);
        } else if (step.kind == Kind::Reject) {
            simulation_.reject(*attempt);
        } else if (step.kind == Kind::Finished) {
            simulation_.finished(*attempt);
        } else if (step.kind == Kind::NotStarted) {
            simulation_.notStarted(*attempt);
        } else {
            simulation_.closeConnection(*attempt);
        }
    }

    bool isApplicable(Step::Kind kind, const LedgerSimulation::EndpointAttempt &sent) const
    {
        using Kind = Step::Kind;
        const bool alive =
            simulation_.processes()[simulation_.submissions()[sent.submission].holder].alive;
        const bool inFlight = sent.state == AttemptState::InFlight;
        switch (kind) {
        case Kind::Run:
            return inFlight || sent.state == AttemptState::InFlightClosed;
        case Kind::Reject:
            return inFlight;
        case Kind::Finished:
            return alive && sent.state == AttemptState::Answered;
        case Kind::NotStarted:
            return alive && sent.state == AttemptState::Rejected;
        default:
            return alive && (inFlight || sent.state == AttemptState::Answered);
        }
    }

    LedgerSimulation simulation_;
};

} // namespace

// Callers resend orders to any instance while instances are replaced without their records, resume
// beside their replacements, are closed and handed over, and connections close at any time. No
// order may run twice, and "not run" must not be reported for an order that ran, since its caller
// would order again.
TEST(AtMostOnce, HoldsInRandomSequencesOverSeveralLedgers)
{
    const auto holds =
        rc::check("at most once, truthful refusals, replayed answers of the same key", [] {
            const auto steps = *rc::gen::container<std::vector<Step>>(300, arbitraryStep());
            StepRunner runner;
            for (const auto &step : steps) {
                runner.apply(step);
                if (!runner.simulation().violations().empty()) {
                    RC_FAIL(runner.simulation().violations().front());
                }
            }
        });
    EXPECT_TRUE(holds);
}

} // namespace LaburnumChute::Ledger
