#include "LedgerSimulation.h"

#include <algorithm>

#include <fmt/format.h>

namespace LaburnumChute::Ledger {

namespace {

using Common::RunState;

const Common::CustomerName Customer("school");
constexpr Common::Duration Deadline = std::chrono::seconds(1);

std::string traceWord(RunState reportedState)
{
    return reportedState == RunState::NotRun ? "not_run" : std::string(toString(reportedState));
}

std::string recordedOrIgnored(const Common::Result<void> &result)
{
    return result ? "recorded" : "ignored";
}

template <typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

LedgerSimulation::LedgerSimulation(LedgerOptions options)
    : options_(options)
{
}

LedgerSimulation::Index LedgerSimulation::start(const std::string &instance)
{
    const Common::InstanceId id(instance);
    const auto incarnation = ++lastIncarnation_;
    processes_.push_back({id, Ledger(options_, {id, incarnation, incarnation * 77, now_})});
    return processes_.size() - 1;
}

void LedgerSimulation::kill(Index process)
{
    processes_[process].alive = false;
}

LedgerSimulation::Index LedgerSimulation::mint(Index process)
{
    const auto key = processes_[process].ledger.mint(Customer, now_);
    if (key) {
        keys_.push_back(*key);
    }
    return keys_.size() - 1;
}

void LedgerSimulation::close(Index process)
{
    processes_[process].ledger.close();
}

std::string LedgerSimulation::handOver(Index from, Index to)
{
    auto handover = processes_[from].ledger.handOver(now_);
    const bool adopted = handover && processes_[to].ledger.adopt(*std::move(handover), now_);
    checkReportedStates();
    return adopted ? "adopted" : "refused";
}

void LedgerSimulation::advance(Common::Duration duration)
{
    now_ += duration;
}

void LedgerSimulation::tick(Index process)
{
    processes_[process].ledger.tick(now_);
    checkReportedStates();
}

std::string LedgerSimulation::submit(Index key, std::uint64_t body, std::uint64_t order,
                                     Index entry)
{
    Submitted submitted;
    submitted.key = key;
    submitted.body = body;
    submitted.order = order;
    submitted.entry = entry;
    submissions_.push_back(submitted);
    return begin(submissions_.size() - 1, entry);
}

std::string LedgerSimulation::deliver(Index submission, Index process)
{
    return begin(submission, process);
}

std::string LedgerSimulation::begin(Index submission, Index process)
{
    auto &submitted = submissions_[submission];
    const bool forwarded = process != submitted.entry;
    const Submission request{keys_[submitted.key], Customer, submitted.body,
                             submitted.order,      false,    now_ + Deadline};
    const auto outcome = processes_[process].ledger.begin(request, now_);
    const auto visitor = Overloaded{
        [&](const Proceed &proceed) {
            submitted.holder = process;
            submitted.reservation = proceed.reservation;
            submitted.phase = Phase::Reserved;
            return std::string("proceed");
        },
        [&](const ReplayAnswer &replay) {
            checkAnswer(submitted, *replay.answer);
            return completeSubmission(submission, RunState::Ran);
        },
        [&](const StillRunning &) { return completeSubmission(submission, RunState::Unknown); },
        [&](const Rejected &rejected) { return completeSubmission(submission, rejected.run); },
        [&](const OwnedElsewhere &) {
            if (forwarded) {
                return completeSubmission(submission, OwnerUnreachableRunState);
            }
            submitted.phase = Phase::Forwarded;
            return std::string("elsewhere");
        }};
    auto word = std::visit(visitor, outcome);
    checkReportedStates();
    return word;
}

std::string LedgerSimulation::completeSubmission(Index submission, RunState reportedState)
{
    submissions_[submission].phase = Phase::Done;
    report(submission, reportedState);
    return traceWord(reportedState);
}

std::string LedgerSimulation::abandonForward(Index submission)
{
    report(submission, OwnerUnreachableRunState);
    return traceWord(OwnerUnreachableRunState);
}

std::string LedgerSimulation::dispatch(Index submission)
{
    auto &submitted = submissions_[submission];
    const auto attempt =
        processes_[submitted.holder].ledger.dispatched(submitted.reservation, now_);
    if (attempt) {
        submitted.phase = Phase::Sent;
        submitted.attempts.push_back(attempts_.size());
        attempts_.push_back({submission, *attempt});
        checkReportedStates();
        return "sent";
    }
    if (attempt.error().code != Common::ErrorCode::DeadlineExceeded) {
        return "refused";
    }
    return completeSubmission(submission, RunState::NotRun);
}

std::string LedgerSimulation::abandon(Index submission)
{
    auto &submitted = submissions_[submission];
    if (!processes_[submitted.holder].ledger.abandonedBeforeDispatch(submitted.reservation, now_)) {
        return "refused";
    }
    return completeSubmission(submission, RunState::NotRun);
}

void LedgerSimulation::run(Index attempt)
{
    auto &sent = attempts_[attempt];
    const auto &submitted = submissions_[sent.submission];
    sent.state = sent.state == AttemptState::InFlight ? AttemptState::Answered : AttemptState::Done;
    runs_.push_back({submitted.key, submitted.body});
    if (runsOf(submitted.key, std::nullopt) > 1) {
        violations_.push_back(fmt::format("at most once: key {} ran again", submitted.key));
    }
    if (submitted.mustNotRun) {
        violations_.push_back(fmt::format(
            "truthful refusal: submission {} ran after \"not run\" was reported", sent.submission));
    }
}

void LedgerSimulation::reject(Index attempt)
{
    attempts_[attempt].state = AttemptState::Rejected;
}

std::string LedgerSimulation::finished(Index attempt)
{
    auto &sent = attempts_[attempt];
    sent.state = AttemptState::Done;
    const auto &submitted = submissions_[sent.submission];
    const auto result =
        ledgerOf(sent).finished(sent.ledgerAttempt, {200, "text/plain", answerTo(submitted)}, now_);
    if (result) {
        completeSubmission(sent.submission, RunState::Ran);
    }
    checkReportedStates();
    return recordedOrIgnored(result);
}

std::string LedgerSimulation::notStarted(Index attempt)
{
    auto &sent = attempts_[attempt];
    const auto result = ledgerOf(sent).notStarted(sent.ledgerAttempt, now_);
    if (result) {
        submissions_[sent.submission].phase = Phase::Reserved;
    }
    checkReportedStates();
    return recordedOrIgnored(result);
}

std::string LedgerSimulation::closeConnection(Index attempt)
{
    auto &sent = attempts_[attempt];
    const bool inFlight = sent.state == AttemptState::InFlight;
    sent.state = inFlight ? AttemptState::InFlightClosed : AttemptState::Done;
    if (!ledgerOf(sent).lost(sent.ledgerAttempt, now_)) {
        return "ignored";
    }
    completeSubmission(sent.submission, RunState::Unknown);
    checkReportedStates();
    return "lost";
}

LedgerSimulation::Index LedgerSimulation::attempt(Index submission, Index number) const
{
    return submissions_[submission].attempts.at(number);
}

void LedgerSimulation::report(Index submission, RunState reportedState)
{
    auto &submitted = submissions_[submission];
    if (submitted.reportedState) {
        return;
    }
    submitted.reportedState = reportedState;
    if (reportedState == RunState::NotRun) {
        submitted.mustNotRun = true;
        checkRejection(submitted);
    }
    if (reportedState == RunState::Ran && runsOf(submitted.key, submitted.body) != 1) {
        violations_.push_back(
            fmt::format("submission {} did not run once, but \"ran\" was reported", submission));
    }
}

void LedgerSimulation::checkRejection(const Submitted &rejected)
{
    if (runsOf(rejected.key, rejected.body) > 0) {
        violations_.push_back(fmt::format(
            "truthful refusal: key {} had run before \"not run\" was reported", rejected.key));
    }
    for (auto &other : submissions_) {
        const bool holds = other.phase == Phase::Reserved || other.phase == Phase::Sent;
        if (holds && other.key == rejected.key && other.body == rejected.body) {
            other.mustNotRun = true;
        }
    }
}

void LedgerSimulation::checkAnswer(const Submitted &submitted, const KeptAnswer &answer)
{
    if (answer.body != answerTo(submitted)) {
        violations_.push_back(
            fmt::format("key {} got the answer \"{}\"", submitted.key, answer.body));
    }
}

/// The run state that any process may report for any key must be true at all times.
void LedgerSimulation::checkReportedStates()
{
    for (const auto &process : processes_) {
        for (Index key = 0; key < keys_.size(); ++key) {
            const auto knownRunState = process.ledger.knownRunState(keys_[key], now_);
            const int runs = runsOf(key, std::nullopt);
            if ((knownRunState == RunState::NotRun && runs > 0)
                || (knownRunState == RunState::Ran && runs == 0)) {
                violations_.push_back(fmt::format("{} reports \"{}\" for key {}",
                                                  process.instance.text(), traceWord(knownRunState),
                                                  key));
            }
        }
    }
}

int LedgerSimulation::runsOf(Index key, std::optional<std::uint64_t> body) const
{
    return static_cast<int>(std::count_if(runs_.begin(), runs_.end(), [&](const Run &run) {
        return run.key == key && (!body || run.body == *body);
    }));
}

Ledger &LedgerSimulation::ledgerOf(const EndpointAttempt &attempt)
{
    return processes_[submissions_[attempt.submission].holder].ledger;
}

std::string LedgerSimulation::answerTo(const Submitted &submitted) const
{
    return fmt::format("answer to key {} body {}", submitted.key, submitted.body);
}

} // namespace LaburnumChute::Ledger
