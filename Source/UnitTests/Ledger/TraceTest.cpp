#include <fstream>
#include <map>
#include <sstream>

#include <gtest/gtest.h>

#include "LedgerSimulation.h"

namespace LaburnumChute::Ledger {

using namespace std::chrono_literals;

namespace {

using Index = LedgerSimulation::Index;

/// A line of a trace as printed by Models/Idempotency.pml, for example "dispatch s0 -> sent".
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

/// Reads the traces of a file, which are separated by empty lines.
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

/// Performs the events of a trace on the C++ state machine and returns the outcomes.
class Replayer
{
public:
    Replayer()
        : simulation_(options())
    {
        processes_["a0"] = simulation_.start("a");
        processes_["b0"] = simulation_.start("b");
        start_ = simulation_.now();
        simulation_.mint(processes_.at("a0"));
        simulation_.advance(KeyGap);
        simulation_.mint(processes_.at("a0"));
        simulation_.advance(-KeyGap);
    }

    /// Returns an empty string for events without an outcome, and for those that the state machine
    /// cannot reach because it rejected an earlier one.
    std::string perform(const TraceLine &line)
    {
        const auto &words = line.arguments;
        if (line.event == "begin") {
            return begin(number(words[0]), number(words[1]), words[2]);
        }
        if (line.event == "age") {
            advanceToAge(number(words[0]), std::stoul(words[1]));
            return {};
        }
        if (line.event == "hand-over") {
            return simulation_.handOver(processes_.at("a0"), processes_.at("b0"));
        }
        if (words.empty()) {
            performOnProcess(line.event);
            return {};
        }
        const auto submission = number(words[0]);
        return words.size() == 1 ? performOnSubmission(line.event, submission)
                                 : performOnAttempt(line.event, submission, std::stoul(words[1]));
    }

    const std::vector<std::string> &violations() const
    {
        return simulation_.violations();
    }

private:
    /// Key 1 is issued so late that key 0 is forgotten before key 1 expires. Consecutive ages of
    /// the model are further apart than keptAnswerTime.
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

    std::string begin(Index submission, Index key, const std::string &process)
    {
        if (submission == simulation_.submissions().size()) {
            return simulation_.submit(key, 1, submission, processes_.at(process));
        }
        if (simulation_.submissions().at(submission).phase != LedgerSimulation::Phase::Forwarded) {
            return {};
        }
        return simulation_.deliver(submission, processes_.at(process));
    }

    void advanceToAge(Index key, std::size_t age)
    {
        const auto steps = 2 * key + age - 1;
        const auto target = start_ + options().keyLifetime + steps * AgeStep;
        simulation_.advance(target - simulation_.now());
        simulation_.tick(processes_.at("a0"));
    }

    void performOnProcess(const std::string &event)
    {
        if (event == "deadline") {
            simulation_.advance(Deadline);
        } else if (event == "replace") {
            processes_["a1"] = simulation_.start("a");
        } else if (event == "kill") {
            simulation_.kill(processes_.at("a0"));
        } else if (event == "close") {
            simulation_.close(processes_.at("a0"));
        }
    }

    std::string performOnSubmission(const std::string &event, Index submission)
    {
        if (event == "give-up") {
            return simulation_.abandonForward(submission);
        }
        return event == "dispatch" ? simulation_.dispatch(submission)
                                   : simulation_.abandon(submission);
    }

    std::string performOnAttempt(const std::string &event, Index submission, Index attemptNumber)
    {
        if (attemptNumber >= simulation_.submissions().at(submission).attempts.size()) {
            return {};
        }
        const auto attempt = simulation_.attempt(submission, attemptNumber);
        if (event == "finished") {
            return simulation_.finished(attempt);
        }
        if (event == "not-started") {
            return simulation_.notStarted(attempt);
        }
        if (event == "closes") {
            return simulation_.closeConnection(attempt);
        }
        event == "run" ? simulation_.run(attempt) : simulation_.reject(attempt);
        return {};
    }

    LedgerSimulation simulation_;
    std::map<std::string, Index> processes_;
    Common::Time start_;
};

/// A counterexample of the model checker with one guard disabled, and how the real state machine
/// responds instead.
struct Counterexample
{
    const char *guard;
    /// The first line whose outcome differs, with the outcome of the state machine.
    const char *deviation;
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

// With one guard missing, each trace runs an order twice or reports "not run" for an order that
// ran. The state machine must deviate where the guard applies, and the events that follow must not
// violate any invariant.
TEST_P(CounterexampleTest, IsPreventedByTheStateMachine)
{
    const auto traces = readTraces(std::string(GetParam().guard) + ".txt");
    ASSERT_EQ(traces.size(), 1);
    Replayer replayer;
    std::string deviation;
    for (const auto &text : traces.front()) {
        const auto line = parseLine(text);
        const auto outcome = replayer.perform(line);
        if (deviation.empty() && outcome != line.outcome) {
            deviation = text.substr(0, text.find("->")) + "-> " + outcome;
        }
    }
    EXPECT_EQ(deviation, GetParam().deviation);
    EXPECT_EQ(replayer.violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Ledger, CounterexampleTest, testing::ValuesIn(Counterexamples),
                         [](const auto &info) { return std::string(info.param.guard); });

// Results about the model apply to the code only while both behave the same. Replays random walks
// of the model with all guards; every outcome must match.
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
