#include <fstream>
#include <map>
#include <sstream>

#include <gtest/gtest.h>

#include "World.h"

namespace LaburnumChute::Ledger {

using namespace std::chrono_literals;

namespace {

using Index = World::Index;

/// A line of a trace, as Models/Idempotency.pml prints it: "dispatch s0 -> sent".
struct TraceLine
{
    std::string event;
    std::vector<std::string> arguments;
    std::string outcome;
};

TraceLine parseLine(const std::string &text)
{
    std::istringstream words(text);
    TraceLine line;
    words >> line.event;
    std::string word;
    while (words >> word && word != "->") {
        line.arguments.push_back(word);
    }
    words >> line.outcome;
    return line;
}

using Trace = std::vector<std::string>;

/// The traces of a file, divided by empty lines.
std::vector<Trace> readTraces(const std::string &file)
{
    std::ifstream input(std::string(LC_TRACES) + "/" + file);
    std::vector<Trace> traces(1);
    for (std::string line; std::getline(input, line);) {
        if (line.empty()) {
            traces.emplace_back();
        } else {
            traces.back().push_back(line);
        }
    }
    while (!traces.empty() && traces.back().empty()) {
        traces.pop_back();
    }
    return traces;
}

/// Performs the events of a trace on the C++ state machine and gives its own outcomes.
class Replayer
{
public:
    Replayer()
        : world_(options())
    {
        lives_["a0"] = world_.start("a");
        lives_["b0"] = world_.start("b");
        start_ = world_.now();
        world_.mint(lives_.at("a0"));
        world_.advance(KeyGap);
        world_.mint(lives_.at("a0"));
        world_.advance(-KeyGap);
    }

    /// Empty for events without an outcome, and for those that the machine no longer comes to after
    /// it has refused an earlier one.
    std::string perform(const TraceLine &line)
    {
        const auto &words = line.arguments;
        if (line.event == "begin") {
            return begin(number(words[0]), number(words[1]), words[2]);
        }
        if (line.event == "age") {
            growOld(number(words[0]), std::stoul(words[1]));
            return {};
        }
        if (line.event == "hand-over") {
            return world_.handOver(lives_.at("a0"), lives_.at("b0"));
        }
        if (words.empty()) {
            performOnLife(line.event);
            return {};
        }
        const auto submission = number(words[0]);
        return words.size() == 1 ? performOnSubmission(line.event, submission)
                                 : performOnSending(line.event, submission, std::stoul(words[1]));
    }

    const std::vector<std::string> &violations() const
    {
        return world_.violations();
    }

private:
    /// Key 1 is issued so much later that key 0 is forgotten by then; each age of the model begins
    /// more than the time for kept answers after the one before.
    static constexpr Common::Duration KeyGap = 60min;
    static constexpr Common::Duration AgeStep = 31min;
    static constexpr Common::Duration Deadline = 1s;

    static LedgerOptions options()
    {
        LedgerOptions options;
        options.keyLifetime = 3h;
        options.keptAnswerTime = 30min;
        options.maxRecords = 1;
        options.duplicateWindow = 0s;
        return options;
    }

    static Index number(const std::string &word)
    {
        return std::stoul(word.substr(1));
    }

    std::string begin(Index submission, Index key, const std::string &life)
    {
        if (submission == world_.submissions().size()) {
            return world_.submit(key, 1, submission, lives_.at(life));
        }
        if (world_.submissions().at(submission).phase != World::Phase::Forwarded) {
            return {};
        }
        return world_.arrive(submission, lives_.at(life));
    }

    void growOld(Index key, std::size_t age)
    {
        const auto steps = 2 * key + age - 1;
        const auto target = start_ + options().keyLifetime + steps * AgeStep;
        world_.advance(target - world_.now());
        world_.tick(lives_.at("a0"));
    }

    void performOnLife(const std::string &event)
    {
        if (event == "deadline") {
            world_.advance(Deadline);
        } else if (event == "replace") {
            lives_["a1"] = world_.start("a");
        } else if (event == "kill") {
            world_.kill(lives_.at("a0"));
        } else if (event == "close") {
            world_.close(lives_.at("a0"));
        }
    }

    std::string performOnSubmission(const std::string &event, Index submission)
    {
        if (event == "give-up") {
            return world_.giveUp(submission);
        }
        return event == "dispatch" ? world_.dispatch(submission) : world_.abandon(submission);
    }

    std::string performOnSending(const std::string &event, Index submission, Index sendingNumber)
    {
        if (sendingNumber >= world_.submissions().at(submission).sendings.size()) {
            return {};
        }
        const auto sending = world_.sending(submission, sendingNumber);
        if (event == "finished") {
            return world_.finished(sending);
        }
        if (event == "not-started") {
            return world_.notStarted(sending);
        }
        if (event == "closes") {
            return world_.closes(sending);
        }
        event == "run" ? world_.run(sending) : world_.refuse(sending);
        return {};
    }

    World world_;
    std::map<std::string, Index> lives_;
    Common::Time start_;
};

/// What the checker found with one guard left out, and how the real machine answers instead.
struct Counterexample
{
    const char *guard;
    /// The first line at which the machine departs from the trace, with its own outcome.
    const char *refusal;
};

std::ostream &operator<<(std::ostream &stream, const Counterexample &counterexample)
{
    return stream << counterexample.guard;
}

class CounterexampleTest : public testing::TestWithParam<Counterexample>
{
};

const Counterexample Counterexamples[] = {
    {"WITHOUT_INCARNATION_CHECK", "begin s1 k0 a1 -> unknown"},
    {"WITHOUT_UNKNOWN_AFTER_RESTART", "begin s1 k0 a1 -> unknown"},
    {"WITHOUT_OWNER_ONLY", "begin s1 k0 b0 -> elsewhere"},
    {"WITHOUT_UNKNOWN_WHEN_UNREACHABLE", "give-up s0 -> unknown"},
    {"WITHOUT_RECORD_BEFORE_DISPATCH", "begin s1 k0 a0 -> unknown"},
    {"WITHOUT_LOST_FOR_GOOD", "begin s1 k0 a0 -> unknown"},
    {"WITHOUT_UNKNOWN_AFTER_CLOSE", "closes s0 0 -> lost"},
    {"WITHOUT_NUMBERED_REPORTS", "not-started s0 0 -> ignored"},
    {"WITHOUT_RELEASE_BEFORE_REFUSAL", "dispatch s0 -> refused"},
    {"WITHOUT_DEADLINE_RECHECK", "dispatch s0 -> not_run"},
    {"WITHOUT_LIVE_RECORDS_KEPT", "begin s1 k1 a0 -> not_run"},
    {"WITHOUT_RECORDS_OUTLIVING_KEYS", "begin s1 k0 a0 -> ran"},
    {"WITHOUT_FORGOTTEN_UNKNOWN", "begin s1 k0 a0 -> unknown"},
    {"WITHOUT_CLOSE_BEFORE_HANDOVER", "hand-over -> refused"},
    {"WITHOUT_OPEN_ATTEMPTS_LISTED", "begin s1 k0 b0 -> unknown"},
    {"WITHOUT_FORGOTTEN_IN_HANDOVER", "begin s1 k0 b0 -> unknown"},
};

} // namespace

// Each trace is a way in which an order would run twice, or in which its caller would be told "not
// run" of an order that ran, if one guard were missing. The machine must refuse where the guard is,
// and nothing wrong may come of the events that follow.
TEST_P(CounterexampleTest, IsRefusedByTheStateMachine)
{
    const auto traces = readTraces(std::string(GetParam().guard) + ".txt");
    ASSERT_EQ(traces.size(), 1);
    Replayer replayer;
    std::string refusal;
    for (const auto &text : traces.front()) {
        const auto line = parseLine(text);
        const auto outcome = replayer.perform(line);
        if (refusal.empty() && outcome != line.outcome) {
            refusal = text.substr(0, text.find("->")) + "-> " + outcome;
        }
    }
    EXPECT_EQ(refusal, GetParam().refusal);
    EXPECT_EQ(replayer.violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Ledger, CounterexampleTest, testing::ValuesIn(Counterexamples),
                         [](const auto &info) { return std::string(info.param.guard); });

// The model proves something about the code only while both do the same. Random walks of the model
// with all guards are replayed here, and every outcome must be the same.
TEST(ModelTest, RandomWalksOfTheModelGiveTheSameOutcomes)
{
    const auto walks = readTraces("walks.txt");
    ASSERT_GE(walks.size(), 60);
    for (std::size_t walk = 0; walk < walks.size(); ++walk) {
        Replayer replayer;
        for (const auto &text : walks[walk]) {
            const auto line = parseLine(text);
            ASSERT_EQ(replayer.perform(line), line.outcome) << "walk " << walk << ": " << text;
        }
        EXPECT_EQ(replayer.violations(), std::vector<std::string>()) << "walk " << walk;
    }
}

} // namespace LaburnumChute::Ledger
