#pragma once

// Public header of the Ledger library, which runs non-repeatable requests at most once. See
// docs/design/at-most-once.md and docs/design/not-run.md.

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Time.h"
#include "Ledger/DuplicateHints.h"
#include "Ledger/Handover.h"
#include "Ledger/IdempotencyKey.h"
#include "Ledger/LedgerTypes.h"

namespace LaburnumChute::Ledger {

/// The process that owns a ledger.
struct LedgerIdentity
{
    Common::InstanceId instance;
    Common::Incarnation incarnation = 0;
    /// Chosen at random at the start of the process; signs the keys that it mints.
    std::uint64_t secret = 0;
    /// Start of the process on its own steady clock.
    Common::Time start;
};

/// Ensures that non-repeatable requests run at most once under the keys that one incarnation of one
/// instance has minted. Not thread-safe: the owner calls it from one strand.
///
/// Without it, a caller that gets no answer and resubmits its order at another instance would have
/// the order run twice. Only the incarnation that minted a key may run a request under it. Its
/// records are therefore sufficient, and once it has ended, no instance can run the key.
///
/// Order of calls for one submission:
///   begin() -> Proceed
///     -> abandonedBeforeDispatch(), or
///     -> dispatched() -> finished(), lost(), or
///        notStarted() -> abandonedBeforeDispatch() or dispatched() again.
class Ledger
{
public:
    Ledger(LedgerOptions options, LedgerIdentity identity);

    // Commands.

    /// Returns a new key. Fails with Overloaded while the limit of records is reached, and with
    /// Unavailable after close(). No record is stored until the key is used.
    Common::Result<IdempotencyKey> mint(const Common::CustomerName &customer, Common::Time now);

    BeginOutcome begin(const Submission &submission, Common::Time now);

    /// Must be called right before the first byte is sent, with the current time. Fails with
    /// DeadlineExceeded when the deadline has passed, for example because the process was suspended
    /// while the request was queued, and with Conflict when the reservation no longer holds the
    /// key. After a failure nothing may be sent. DeadlineExceeded releases the key.
    Common::Result<Attempt> dispatched(const Reservation &reservation, Common::Time now);

    /// No byte was sent, or the endpoint reported that it had not started the request. The
    /// reservation may be dispatched again or abandoned.
    Common::Result<void> notStarted(const Attempt &attempt, Common::Time now);

    /// The request will not be dispatched, because its caller cancelled it or no endpoint was
    /// found. The key may be used again.
    Common::Result<void> abandonedBeforeDispatch(const Reservation &reservation, Common::Time now);

    /// The endpoint answered. The answer is kept for replay.
    Common::Result<void> finished(const Attempt &attempt, KeptAnswer answer, Common::Time now);
    /// The endpoint answered, and the answer is not kept.
    Common::Result<void> finished(const Attempt &attempt, Common::Time now);

    /// The outcome can no longer be determined, since the connection closed or timed out. Final.
    Common::Result<void> lost(const Attempt &attempt, Common::Time now);

    /// Adds an order that a peer has begun, or removes one that it has withdrawn.
    void addPeerHint(const DuplicateHint &hint, Common::Time now);
    /// Returns the hints to send to peers that were added since the last call.
    std::vector<DuplicateHint> takeHints();

    /// Starts the shutdown: no further key is minted or begun. Submissions with a reservation
    /// continue.
    void close();

    /// Returns what the successor needs to answer for this ledger. Only after close(). May be
    /// called again when more requests have ended.
    Common::Result<Handover> handOver(Common::Time now);
    /// Stores the handover of another incarnation and answers for its keys from then on.
    Common::Result<void> adopt(Handover handover, Common::Time now);

    /// Removes expired records, hints and handovers.
    void tick(Common::Time now);

    // Queries.

    KeyState state(const IdempotencyKey &key, Common::Time now) const;
    /// The run state that may be reported when a new submission of the key is rejected.
    Common::RunState knownRunState(const IdempotencyKey &key, Common::Time now) const;
    /// How much longer the key may be used for the first time; zero if it cannot be.
    Common::Duration remainingLifetime(const IdempotencyKey &key, Common::Time now) const;

    bool closed() const
    {
        return closed_;
    }
    std::size_t recordCount() const
    {
        return records_.size();
    }
    std::size_t keptAnswerBytes() const
    {
        return answerBytes_;
    }
    /// Submissions that hold a key. A shutdown waits for them.
    std::size_t openCount() const
    {
        return openCount_;
    }
    nlohmann::json dump(Common::Time now) const;

private:
    enum class Phase { Waiting, Running, Ran, Lost };

    struct Record
    {
        IdempotencyKey key;
        std::uint64_t bodyFingerprint = 0;
        std::uint64_t orderFingerprint = 0;
        std::optional<Common::Time> deadline;
        Phase phase = Phase::Waiting;
        std::uint64_t reservationNumber = 0;
        std::uint64_t attemptNumber = 0;
        /// Set in phase Ran while the answer is kept.
        std::shared_ptr<const KeptAnswer> answer;
    };

    struct Counts
    {
        std::uint64_t minted = 0;
        std::uint64_t begun = 0;
        std::uint64_t dispatched = 0;
        std::uint64_t finished = 0;
        std::uint64_t lost = 0;
        std::uint64_t replayed = 0;
        std::uint64_t rejected = 0;
    };

    BeginOutcome evaluate(const Submission &submission, Common::Time now);
    BeginOutcome evaluateForeign(const Submission &submission) const;
    BeginOutcome evaluateRecorded(const Record &record, const Submission &submission) const;
    BeginOutcome evaluateUnrecorded(const Submission &submission, Common::Time now);
    Proceed open(const Submission &submission, Common::Time now);
    void release(const Record &record, Common::Time now);
    void storeAnswer(Record &record, KeptAnswer answer);
    void scheduleRemoval(const Record &record, Common::Time now);
    void addNewestAnswers(Handover &handover) const;

    Record *findReservation(const Reservation &reservation, Phase phase);
    Record *findAttempt(const Attempt &attempt);
    bool isOwnKey(const IdempotencyKey &key) const;
    bool isMinted(const IdempotencyKey &key) const;
    Common::Time issuedAt(const IdempotencyKey &key) const;
    KeyState stateOfUnrecorded(const IdempotencyKey &key, Common::Time now) const;
    bool hasFreeRecord() const;

    LedgerOptions options_;
    LedgerIdentity identity_;
    std::uint64_t lastSequence_ = 0;
    std::uint64_t lastNumber_ = 0;
    std::uint64_t lastRevision_ = 0;
    bool closed_ = false;
    std::unordered_map<std::uint64_t, Record> records_;
    /// Removal time and sequence number of each record with a final outcome.
    std::set<std::pair<Common::Time, std::uint64_t>> removalTimes_;
    /// Sequence numbers of records with a kept answer, newest first. May contain removed records.
    std::deque<std::uint64_t> answerOrder_;
    std::size_t answerBytes_ = 0;
    std::size_t openCount_ = 0;
    DuplicateHints hints_;
    std::vector<DuplicateHint> pendingHints_;
    HandoverStore adopted_;
    Counts counts_;
};

} // namespace LaburnumChute::Ledger
