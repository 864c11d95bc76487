#pragma once

// Public header of the library Ledger: what may run once. See docs/design/at-most-once.md and
// docs/design/not-run.md.

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

/// Who keeps a ledger, from when on.
struct LedgerIdentity
{
    Common::InstanceId instance;
    Common::Incarnation incarnation = 0;
    /// Drawn at random at the start of the process; tells the keys it minted from altered ones.
    std::uint64_t secret = 0;
    /// Start of the process on its steady clock.
    Common::Time start;
};

/// Guards the requests that are not repeatable, for the keys that one incarnation of one instance
/// has minted. Not thread-safe: the owner calls it from one strand.
///
/// What goes wrong without it: the caller of a medal order gets no answer, submits it again at
/// another instance, and the order runs twice. Here only the incarnation that minted a key may run
/// a request under it; its records are the only ones needed, and when it is gone, nobody can run
/// the key any more.
///
/// The order of calls for one submission:
///   begin() -> Proceed
///     -> abandonedBeforeDispatch(), or
///     -> dispatched() -> finished(), lost(), or notStarted() and from there once more either.
class Ledger
{
public:
    Ledger(LedgerOptions options, LedgerIdentity identity);

    // Commands.

    /// A fresh key; fails with Overloaded while there is no room for its record, and with
    /// Unavailable after close(). Keeps nothing until the key is used.
    Common::Result<IdempotencyKey> mint(const Common::CustomerName &customer, Common::Time now);

    BeginOutcome begin(const Submission &submission, Common::Time now);

    /// To be called right before the first byte leaves, with a fresh reading of the clock. Fails
    /// with DeadlineExceeded when the deadline has passed (a process that was frozen while the
    /// request waited finds that out here) and with Conflict when the attempt holds the key no
    /// more; nothing may be sent then. The key is released after DeadlineExceeded.
    Common::Result<Attempt> dispatched(const Reservation &reservation, Common::Time now);

    /// No byte has left, or the endpoint said that it had not begun. The attempt holds its key
    /// again and may be dispatched once more or abandoned.
    Common::Result<void> notStarted(const Attempt &attempt, Common::Time now);

    /// The request will not be dispatched: its caller cancelled it, or no endpoint was found. The
    /// key may be used again.
    Common::Result<void> abandonedBeforeDispatch(const Reservation &reservation, Common::Time now);

    /// The endpoint answered; the answer is kept.
    Common::Result<void> finished(const Attempt &attempt, KeptAnswer answer, Common::Time now);

    /// The outcome cannot be learnt any more: the connection closed or fell silent. For good.
    Common::Result<void> lost(const Attempt &attempt, Common::Time now);

    /// An order that a peer has begun, or withdrawn.
    void addPeerHint(const DuplicateHint &hint, Common::Time now);
    /// The hints to tell the peers, since the last call.
    std::vector<DuplicateHint> takeHints();

    /// Shutdown: from now on no key is minted or begun; attempts that hold a key go on.
    void close();

    /// What the successor needs to answer for this ledger; after close() only. May be called again
    /// when more attempts have ended.
    Common::Result<Handover> handOver(Common::Time now);
    /// Keeps the handover of another incarnation and answers for its keys from then on.
    Common::Result<void> adopt(Handover handover, Common::Time now);

    /// Drops the records whose time is over.
    void tick(Common::Time now);

    // Queries.

    KeyState state(const IdempotencyKey &key, Common::Time now) const;
    /// What a refusal of a new submission of the key may say of its request.
    Common::RunState claim(const IdempotencyKey &key, Common::Time now) const;
    /// How much longer the key may be used for the first time; zero when not at all.
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
        return keptBytes_;
    }
    /// Attempts that hold a key: what a shutdown waits for.
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
        /// Set in phase Ran while the body is kept.
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
        std::uint64_t refused = 0;
    };

    BeginOutcome judge(const Submission &submission, Common::Time now);
    BeginOutcome judgeForeign(const Submission &submission) const;
    BeginOutcome judgeKnown(const Record &record, const Submission &submission) const;
    BeginOutcome judgeFresh(const Submission &submission, Common::Time now);
    Proceed open(const Submission &submission, Common::Time now);
    void release(const Record &record, Common::Time now);
    void keep(Record &record, KeptAnswer answer);
    void settle(const Record &record, Common::Time now);
    void addYoungestAnswers(Handover &handover) const;

    Record *findReservation(const Reservation &reservation, Phase phase);
    Record *findAttempt(const Attempt &attempt);
    bool ownKey(const IdempotencyKey &key) const;
    bool minted(const IdempotencyKey &key) const;
    Common::Time issuedAt(const IdempotencyKey &key) const;
    KeyState stateOfUnrecorded(const IdempotencyKey &key, Common::Time now) const;
    bool hasRoom() const;

    LedgerOptions options_;
    LedgerIdentity identity_;
    std::uint64_t lastSequence_ = 0;
    std::uint64_t lastNumber_ = 0;
    std::uint64_t lastRevision_ = 0;
    bool closed_ = false;
    std::unordered_map<std::uint64_t, Record> records_;
    /// When each settled record may go, and its sequence number.
    std::set<std::pair<Common::Time, std::uint64_t>> dropTimes_;
    /// Sequence numbers of records that were given an answer to keep, the youngest first.
    std::deque<std::uint64_t> keptOrder_;
    std::size_t keptBytes_ = 0;
    std::size_t openCount_ = 0;
    DuplicateHints hints_;
    std::vector<DuplicateHint> hintsToTell_;
    HandoverStore adopted_;
    Counts counts_;
};

} // namespace LaburnumChute::Ledger
