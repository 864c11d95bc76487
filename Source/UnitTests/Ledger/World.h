#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Ledger/Ledger.h"

namespace LaburnumChute::Ledger {

/// Ledgers of several lives of several instances, the callers and an endpoint that counts its runs:
/// what Models/Idempotency.pml describes, around the real state machine. Each step returns the
/// outcome in the words of the model's traces, and the judge notes what must never happen.
class World
{
public:
    using Index = std::size_t;

    explicit World(LedgerOptions options);

    /// Another life of an instance, with an incarnation above all earlier ones.
    Index start(const std::string &instance);
    void kill(Index life);
    Index mint(Index life);
    void close(Index life);
    /// "adopted" or "refused".
    std::string handOver(Index from, Index to);
    void advance(Common::Duration duration);
    void tick(Index life);

    /// A caller submits a request under a key at an entry: "proceed", "elsewhere", or what it is
    /// told: "not_run", "unknown", "ran".
    std::string submit(Index key, std::uint64_t body, std::uint64_t order, Index entry);
    /// The forwarded request reaches a life: outcomes as of submit(), without "elsewhere".
    std::string arrive(Index submission, Index life);
    /// The entry waits no longer for the owner.
    std::string giveUp(Index submission);
    /// "sent", "not_run" after the deadline, or "refused" when the attempt holds its key no more.
    std::string dispatch(Index submission);
    /// "not_run" or "refused".
    std::string abandon(Index submission);

    /// The endpoint begins the request of a sending, or says that it has not begun.
    void run(Index sending);
    void refuse(Index sending);
    /// What the gateway reports about a sending: "recorded" or "ignored".
    std::string finished(Index sending);
    std::string notStarted(Index sending);
    /// "lost" or "ignored".
    std::string closes(Index sending);

    /// The sending of a submission, counted from 0.
    Index sending(Index submission, Index number) const;
    const std::vector<std::string> &violations() const
    {
        return violations_;
    }

    enum class Phase { Forwarded, Holding, Sent, Over };
    struct Submitted
    {
        Index key = 0;
        std::uint64_t body = 0;
        std::uint64_t order = 0;
        Index entry = 0;
        Index at = 0;
        Phase phase = Phase::Over;
        Reservation reservation;
        std::vector<Index> sendings;
        std::optional<Common::RunState> told;
        /// A "not run" was said that a run of this submission would belie.
        bool excluded = false;
    };
    enum class SendingState { OnWay, OnWayClosed, Answered, Refused, Over };
    struct Sending
    {
        Index submission = 0;
        Attempt dispatch;
        SendingState state = SendingState::OnWay;
    };
    struct Life
    {
        Common::InstanceId instance;
        Ledger ledger;
        bool up = true;
    };
    const std::vector<Submitted> &submissions() const
    {
        return submissions_;
    }
    const std::vector<Sending> &sendings() const
    {
        return sendings_;
    }
    const std::vector<Life> &lives() const
    {
        return lives_;
    }
    const std::vector<IdempotencyKey> &keys() const
    {
        return keys_;
    }
    Common::Time now() const
    {
        return now_;
    }

private:
    std::string begin(Index submission, Index life);
    std::string conclude(Index submission, Common::RunState told);
    void tell(Index submission, Common::RunState told);
    void checkNotRun(const Submitted &refused);
    void checkAnswer(const Submitted &submitted, const KeptAnswer &answer);
    void checkClaims();
    int runsOf(Index key, std::optional<std::uint64_t> body) const;
    Ledger &ledgerOf(const Sending &sending);
    std::string answerTo(const Submitted &submitted) const;

    struct Run
    {
        Index key = 0;
        std::uint64_t body = 0;
    };

    LedgerOptions options_;
    Common::Time now_{std::chrono::hours(1)};
    Common::Incarnation lastIncarnation_ = 0;
    std::vector<Life> lives_;
    std::vector<IdempotencyKey> keys_;
    std::vector<Submitted> submissions_;
    std::vector<Sending> sendings_;
    std::vector<Run> runs_;
    std::vector<std::string> violations_;
};

} // namespace LaburnumChute::Ledger
