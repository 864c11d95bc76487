#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Ledger/Ledger.h"

namespace LaburnumChute::Ledger {

/// Simulates the system of Models/Idempotency.pml around the real Ledger class: processes of
/// several instances, callers, and an endpoint that counts its runs. Each step returns its outcome
/// in the terms of the model's traces. Violated invariants are recorded in violations().
class LedgerSimulation
{
public:
    using Index = std::size_t;

    explicit LedgerSimulation(LedgerOptions options);

    /// Starts another process of an instance, with an incarnation above all earlier ones.
    Index start(const std::string &instance);
    void kill(Index process);
    Index mint(Index process);
    void close(Index process);
    /// "adopted" or "refused".
    std::string handOver(Index from, Index to);
    void advance(Common::Duration duration);
    void tick(Index process);

    /// A caller submits a request under a key to the process `entry`. Returns "proceed",
    /// "elsewhere", or the run state reported to the caller: "not_run", "unknown" or "ran".
    std::string submit(Index key, std::uint64_t body, std::uint64_t order, Index entry);
    /// The forwarded request reaches a process. Returns the same as submit(), except "elsewhere".
    std::string deliver(Index submission, Index process);
    /// The process that the caller submitted to stops waiting for the owner.
    std::string abandonForward(Index submission);
    /// "sent", "not_run" after the deadline, or "refused" if the reservation no longer holds its
    /// key.
    std::string dispatch(Index submission);
    /// "not_run" or "refused".
    std::string abandon(Index submission);

    /// The endpoint runs the request of an attempt, or rejects it without starting it.
    void run(Index attempt);
    void reject(Index attempt);
    /// The gateway reports the outcome of an attempt to the ledger: "recorded" or "ignored".
    std::string finished(Index attempt);
    std::string notStarted(Index attempt);
    /// "lost" or "ignored".
    std::string closeConnection(Index attempt);

    /// Index of the attempt of a submission whose number, counted from 0, is given.
    Index attempt(Index submission, Index number) const;
    const std::vector<std::string> &violations() const
    {
        return violations_;
    }

    enum class Phase { Forwarded, Reserved, Sent, Done };
    struct Submitted
    {
        Index key = 0;
        std::uint64_t body = 0;
        std::uint64_t order = 0;
        Index entry = 0;
        /// The process that holds the reservation.
        Index holder = 0;
        Phase phase = Phase::Done;
        Reservation reservation;
        std::vector<Index> attempts;
        std::optional<Common::RunState> reportedState;
        /// "Not run" was reported for this request, so that a later run is a violation.
        bool mustNotRun = false;
    };
    enum class AttemptState { InFlight, InFlightClosed, Answered, Rejected, Done };
    struct EndpointAttempt
    {
        Index submission = 0;
        Attempt ledgerAttempt;
        AttemptState state = AttemptState::InFlight;
    };
    struct Process
    {
        Common::InstanceId instance;
        Ledger ledger;
        bool alive = true;
    };
    const std::vector<Submitted> &submissions() const
    {
        return submissions_;
    }
    const std::vector<EndpointAttempt> &attempts() const
    {
        return attempts_;
    }
    const std::vector<Process> &processes() const
    {
        return processes_;
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
    std::string begin(Index submission, Index process);
    std::string completeSubmission(Index submission, Common::RunState reportedState);
    void report(Index submission, Common::RunState reportedState);
    void checkRejection(const Submitted &rejected);
    void checkAnswer(const Submitted &submitted, const KeptAnswer &answer);
    void checkReportedStates();
    int runsOf(Index key, std::optional<std::uint64_t> body) const;
    Ledger &ledgerOf(const EndpointAttempt &attempt);
    std::string answerTo(const Submitted &submitted) const;

    struct Run
    {
        Index key = 0;
        std::uint64_t body = 0;
    };

    LedgerOptions options_;
    Common::Time now_{std::chrono::hours(1)};
    Common::Incarnation lastIncarnation_ = 0;
    std::vector<Process> processes_;
    std::vector<IdempotencyKey> keys_;
    std::vector<Submitted> submissions_;
    std::vector<EndpointAttempt> attempts_;
    std::vector<Run> runs_;
    std::vector<std::string> violations_;
};

} // namespace LaburnumChute::Ledger
