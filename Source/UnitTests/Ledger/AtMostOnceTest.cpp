#include <functional>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "World.h"

namespace LaburnumChute::Ledger {

using namespace std::chrono_literals;

namespace {

using Index = World::Index;
using Phase = World::Phase;
using SendingState = World::SendingState;

/// One thing that happens. `choice` picks among what it can happen to.
struct Step
{
    enum class Kind {
        Mint,
        Submit,
        Arrive,
        GiveUp,
        Dispatch,
        Abandon,
        Run,
        Refuse,
        Finished,
        NotStarted,
        Closes,
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

rc::Gen<Step> anyStep()
{
    using Kind = Step::Kind;
    const auto kind = rc::gen::weightedElement<Kind>({{4, Kind::Mint},
                                                      {12, Kind::Submit},
                                                      {6, Kind::Arrive},
                                                      {2, Kind::GiveUp},
                                                      {10, Kind::Dispatch},
                                                      {2, Kind::Abandon},
                                                      {10, Kind::Run},
                                                      {3, Kind::Refuse},
                                                      {8, Kind::Finished},
                                                      {4, Kind::NotStarted},
                                                      {3, Kind::Closes},
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

/// Applies random steps to a world of three instances, each replaced now and then while its earlier
/// life may go on.
class Player
{
public:
    Player()
        : world_(options())
    {
        for (const auto &instance : Instances) {
            world_.start(instance);
        }
    }

    void play(const Step &step)
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
            return playOnLife(step);
        case Kind::Submit:
        case Kind::Arrive:
        case Kind::GiveUp:
        case Kind::Dispatch:
        case Kind::Abandon:
            return playOnSubmission(step);
        default:
            return playOnSending(step);
        }
    }

    const World &world() const
    {
        return world_;
    }

private:
    static constexpr const char *Instances[] = {"a", "b", "c"};
    static constexpr std::size_t MaxLives = 7;
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
        std::vector<Index> fitting;
        for (Index at = 0; at < items.size(); ++at) {
            if (condition(items[at])) {
                fitting.push_back(at);
            }
        }
        return fitting.empty() ? std::nullopt : std::optional(fitting[choice % fitting.size()]);
    }

    std::optional<Index> pickLife(std::size_t choice)
    {
        return pick(world_.lives(), choice, [](const World::Life &life) { return life.up; });
    }

    void playOnLife(const Step &step)
    {
        static constexpr Common::Duration Waits[] = {200ms, 1s, 3s, 10s, 20s};
        using Kind = Step::Kind;
        const auto life = pickLife(step.choice);
        if (step.kind == Kind::Start) {
            if (world_.lives().size() < MaxLives) {
                world_.start(Instances[step.choice % std::size(Instances)]);
            }
        } else if (step.kind == Kind::Advance) {
            world_.advance(Waits[step.choice % std::size(Waits)]);
        } else if (life) {
            playOn(*life, step);
        }
    }

    void playOn(Index life, const Step &step)
    {
        using Kind = Step::Kind;
        if (step.kind == Kind::Mint && world_.keys().size() < MaxKeys) {
            world_.mint(life);
        } else if (step.kind == Kind::Kill) {
            world_.kill(life);
        } else if (step.kind == Kind::Tick) {
            world_.tick(life);
        } else if (step.kind == Kind::Close) {
            world_.close(life);
        } else if (step.kind == Kind::HandOver) {
            world_.handOver(life, *pickLife(step.detail));
        }
    }

    void playOnSubmission(const Step &step)
    {
        using Kind = Step::Kind;
        if (step.kind == Kind::Submit) {
            return submit(step);
        }
        const auto submission =
            pick(world_.submissions(), step.choice,
                 [&](const World::Submitted &submitted) { return mayPlay(step.kind, submitted); });
        if (!submission) {
            return;
        }
        if (step.kind == Kind::Arrive) {
            arrive(*submission, step);
        } else if (step.kind == Kind::GiveUp) {
            world_.giveUp(*submission);
        } else if (step.kind == Kind::Dispatch) {
            world_.dispatch(*submission);
        } else {
            world_.abandon(*submission);
        }
    }

    void submit(const Step &step)
    {
        const auto entry = pickLife(step.detail);
        if (entry && !world_.keys().empty()) {
            const auto body = step.detail % 8 == 0 ? 2U : 1U;
            world_.submit(step.choice % world_.keys().size(), body, step.choice % 5, *entry);
        }
    }

    void arrive(Index submission, const Step &step)
    {
        const auto &owner = world_.keys()[world_.submissions()[submission].key].owner;
        const auto life = pick(world_.lives(), step.detail, [&](const World::Life &candidate) {
            return candidate.up && (candidate.instance == owner || step.detail % 16 == 0);
        });
        if (life) {
            world_.arrive(submission, *life);
        }
    }

    bool mayPlay(Step::Kind kind, const World::Submitted &submitted) const
    {
        if (kind == Step::Kind::Arrive) {
            return submitted.phase == Phase::Forwarded;
        }
        if (kind == Step::Kind::GiveUp) {
            return submitted.phase == Phase::Forwarded
                   || (submitted.phase != Phase::Over && submitted.at != submitted.entry);
        }
        return submitted.phase == Phase::Holding && world_.lives()[submitted.at].up;
    }

    void playOnSending(const Step &step)
    {
        using Kind = Step::Kind;
        const auto sending = pick(world_.sendings(), step.choice, [&](const World::Sending &sent) {
            return mayPlay(step.kind, sent);
        });
        if (!sending) {
            return;
        }
        if (step.kind == Kind::Run) {
            world_.run(*sending);
        } else if (step.kind == Kind::Refuse) {
            world_.refuse(*sending);
        } else if (step.kind == Kind::Finished) {
            world_.finished(*sending);
        } else if (step.kind == Kind::NotStarted) {
            world_.notStarted(*sending);
        } else {
            world_.closes(*sending);
        }
    }

    bool mayPlay(Step::Kind kind, const World::Sending &sent) const
    {
        using Kind = Step::Kind;
        const bool up = world_.lives()[world_.submissions()[sent.submission].at].up;
        const bool onWay = sent.state == SendingState::OnWay;
        switch (kind) {
        case Kind::Run:
            return onWay || sent.state == SendingState::OnWayClosed;
        case Kind::Refuse:
            return onWay;
        case Kind::Finished:
            return up && sent.state == SendingState::Answered;
        case Kind::NotStarted:
            return up && sent.state == SendingState::Refused;
        default:
            return up && (onWay || sent.state == SendingState::Answered);
        }
    }

    World world_;
};

} // namespace

// Callers resend orders at every instance while instances are replaced without memory, woken late
// beside their replacements, closed and handed over, and connections close at any moment. An order
// that runs twice, or a "not run" of an order that ran, is brass cut twice.
TEST(AtMostOnce, HoldsInRandomSequencesOverSeveralLedgers)
{
    const auto holds = rc::check("at most once, truthful refusals, answers of their key", [] {
        const auto steps = *rc::gen::container<std::vector<Step>>(300, anyStep());
        Player player;
        for (const auto &step : steps) {
            player.play(step);
            if (!player.world().violations().empty()) {
                RC_FAIL(player.world().violations().front());
            }
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace LaburnumChute::Ledger
