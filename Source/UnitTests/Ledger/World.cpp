#include "World.h"

#include <algorithm>

#include <fmt/format.h>

namespace LaburnumChute::Ledger {

namespace {

using Common::RunState;

const Common::CustomerName Customer("school");
constexpr Common::Duration Deadline = std::chrono::seconds(1);

std::string wordOf(RunState told)
{
    return told == RunState::NotRun ? "not_run" : std::string(toString(told));
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

World::World(LedgerOptions options)
    : options_(options)
{
}

World::Index World::start(const std::string &instance)
{
    const Common::InstanceId id(instance);
    const auto incarnation = ++lastIncarnation_;
    lives_.push_back({id, Ledger(options_, {id, incarnation, incarnation * 77, now_})});
    return lives_.size() - 1;
}

void World::kill(Index life)
{
    lives_[life].up = false;
}

World::Index World::mint(Index life)
{
    const auto key = lives_[life].ledger.mint(Customer, now_);
    if (key) {
        keys_.push_back(*key);
    }
    return keys_.size() - 1;
}

void World::close(Index life)
{
    lives_[life].ledger.close();
}

std::string World::handOver(Index from, Index to)
{
    auto handover = lives_[from].ledger.handOver(now_);
    const bool adopted = handover && lives_[to].ledger.adopt(*std::move(handover), now_);
    checkClaims();
    return adopted ? "adopted" : "refused";
}

void World::advance(Common::Duration duration)
{
    now_ += duration;
}

void World::tick(Index life)
{
    lives_[life].ledger.tick(now_);
    checkClaims();
}

std::string World::submit(Index key, std::uint64_t body, std::uint64_t order, Index entry)
{
    Submitted submitted;
    submitted.key = key;
    submitted.body = body;
    submitted.order = order;
    submitted.entry = entry;
    submissions_.push_back(submitted);
    return begin(submissions_.size() - 1, entry);
}

std::string World::arrive(Index submission, Index life)
{
    return begin(submission, life);
}

std::string World::begin(Index submission, Index life)
{
    auto &submitted = submissions_[submission];
    const bool forwarded = life != submitted.entry;
    const Submission request{keys_[submitted.key], Customer, submitted.body,
                             submitted.order,      false,    now_ + Deadline};
    const auto outcome = lives_[life].ledger.begin(request, now_);
    const auto visitor =
        Overloaded{[&](const Proceed &proceed) {
                       submitted.at = life;
                       submitted.reservation = proceed.reservation;
                       submitted.phase = Phase::Holding;
                       return std::string("proceed");
                   },
                   [&](const ReplayAnswer &replay) {
                       checkAnswer(submitted, *replay.answer);
                       return conclude(submission, RunState::Ran);
                   },
                   [&](const StillRunning &) { return conclude(submission, RunState::Unknown); },
                   [&](const Rejected &refused) { return conclude(submission, refused.run); },
                   [&](const OwnedElsewhere &) {
                       if (forwarded) {
                           return conclude(submission, OwnerUnreachableRunState);
                       }
                       submitted.phase = Phase::Forwarded;
                       return std::string("elsewhere");
                   }};
    auto word = std::visit(visitor, outcome);
    checkClaims();
    return word;
}

std::string World::conclude(Index submission, RunState told)
{
    submissions_[submission].phase = Phase::Over;
    tell(submission, told);
    return wordOf(told);
}

std::string World::giveUp(Index submission)
{
    tell(submission, OwnerUnreachableRunState);
    return wordOf(OwnerUnreachableRunState);
}

std::string World::dispatch(Index submission)
{
    auto &submitted = submissions_[submission];
    const auto dispatch = lives_[submitted.at].ledger.dispatched(submitted.reservation, now_);
    if (dispatch) {
        submitted.phase = Phase::Sent;
        submitted.sendings.push_back(sendings_.size());
        sendings_.push_back({submission, *dispatch});
        checkClaims();
        return "sent";
    }
    if (dispatch.error().code != Common::ErrorCode::DeadlineExceeded) {
        return "refused";
    }
    return conclude(submission, RunState::NotRun);
}

std::string World::abandon(Index submission)
{
    auto &submitted = submissions_[submission];
    if (!lives_[submitted.at].ledger.abandonedBeforeDispatch(submitted.reservation, now_)) {
        return "refused";
    }
    return conclude(submission, RunState::NotRun);
}

void World::run(Index sending)
{
    auto &sent = sendings_[sending];
    const auto &submitted = submissions_[sent.submission];
    sent.state = sent.state == SendingState::OnWay ? SendingState::Answered : SendingState::Over;
    runs_.push_back({submitted.key, submitted.body});
    if (runsOf(submitted.key, std::nullopt) > 1) {
        violations_.push_back(fmt::format("at most once: key {} ran again", submitted.key));
    }
    if (submitted.excluded) {
        violations_.push_back(
            fmt::format("truthful refusal: submission {} ran after \"not run\"", sent.submission));
    }
}

void World::refuse(Index sending)
{
    sendings_[sending].state = SendingState::Refused;
}

std::string World::finished(Index sending)
{
    auto &sent = sendings_[sending];
    sent.state = SendingState::Over;
    const auto &submitted = submissions_[sent.submission];
    const auto result =
        ledgerOf(sent).finished(sent.dispatch, {200, "text/plain", answerTo(submitted)}, now_);
    if (result) {
        conclude(sent.submission, RunState::Ran);
    }
    checkClaims();
    return recordedOrIgnored(result);
}

std::string World::notStarted(Index sending)
{
    auto &sent = sendings_[sending];
    const auto result = ledgerOf(sent).notStarted(sent.dispatch, now_);
    if (result) {
        submissions_[sent.submission].phase = Phase::Holding;
    }
    checkClaims();
    return recordedOrIgnored(result);
}

std::string World::closes(Index sending)
{
    auto &sent = sendings_[sending];
    const bool onWay = sent.state == SendingState::OnWay;
    sent.state = onWay ? SendingState::OnWayClosed : SendingState::Over;
    if (!ledgerOf(sent).lost(sent.dispatch, now_)) {
        return "ignored";
    }
    conclude(sent.submission, RunState::Unknown);
    checkClaims();
    return "lost";
}

World::Index World::sending(Index submission, Index number) const
{
    return submissions_[submission].sendings.at(number);
}

void World::tell(Index submission, RunState told)
{
    auto &submitted = submissions_[submission];
    if (submitted.told) {
        return;
    }
    submitted.told = told;
    if (told == RunState::NotRun) {
        submitted.excluded = true;
        checkNotRun(submitted);
    }
    if (told == RunState::Ran && runsOf(submitted.key, submitted.body) != 1) {
        violations_.push_back(fmt::format("submission {} was told \"ran\"", submission));
    }
}

void World::checkNotRun(const Submitted &refused)
{
    if (runsOf(refused.key, refused.body) > 0) {
        violations_.push_back(fmt::format("truthful refusal: key {} had run", refused.key));
    }
    for (auto &other : submissions_) {
        const bool holds = other.phase == Phase::Holding || other.phase == Phase::Sent;
        if (holds && other.key == refused.key && other.body == refused.body) {
            other.excluded = true;
        }
    }
}

void World::checkAnswer(const Submitted &submitted, const KeptAnswer &answer)
{
    if (answer.body != answerTo(submitted)) {
        violations_.push_back(
            fmt::format("key {} got the answer \"{}\"", submitted.key, answer.body));
    }
}

/// Whatever any life would claim about any key must be true at any moment.
void World::checkClaims()
{
    for (const auto &life : lives_) {
        for (Index key = 0; key < keys_.size(); ++key) {
            const auto knownRunState = life.ledger.knownRunState(keys_[key], now_);
            const int runs = runsOf(key, std::nullopt);
            if ((knownRunState == RunState::NotRun && runs > 0)
                || (knownRunState == RunState::Ran && runs == 0)) {
                violations_.push_back(fmt::format("{} claims \"{}\" of key {}",
                                                  life.instance.text(), wordOf(knownRunState),
                                                  key));
            }
        }
    }
}

int World::runsOf(Index key, std::optional<std::uint64_t> body) const
{
    return static_cast<int>(std::count_if(runs_.begin(), runs_.end(), [&](const Run &run) {
        return run.key == key && (!body || run.body == *body);
    }));
}

Ledger &World::ledgerOf(const Sending &sending)
{
    return lives_[submissions_[sending.submission].at].ledger;
}

std::string World::answerTo(const Submitted &submitted) const
{
    return fmt::format("answer to key {} body {}", submitted.key, submitted.body);
}

} // namespace LaburnumChute::Ledger
