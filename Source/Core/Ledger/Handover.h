#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Time.h"
#include "Ledger/IdempotencyKey.h"
#include "Ledger/LedgerTypes.h"

namespace LaburnumChute::Ledger {

/// What a closed ledger knows about one used key.
struct HandoverRecord
{
    std::uint64_t sequence = 0;
    std::uint64_t bodyFingerprint = 0;
    /// The request ran to completion. If false, it may have run or may still be running.
    bool ran = false;
    /// Set only with `ran`, and only if it fits the byte limits.
    std::optional<KeptAnswer> answer;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, bodyFingerprint, ran, answer);
    }
};

/// Sent by an instance that shuts down to its successor: the outcomes of its keys, but not the
/// right to run a request under them. Only a closed ledger may create one: since it begins no
/// further requests, a key that is neither listed nor covered by forgottenUpTo has not run and
/// never will.
struct Handover
{
    Common::InstanceId owner;
    Common::Incarnation incarnation = 0;
    /// Increases each time the same ledger is handed over again with more outcomes.
    std::uint64_t revision = 0;
    std::uint64_t secret = 0;
    std::uint64_t lastSequence = 0;
    /// Keys issued up to this long after the sender's start may have been used and their records
    /// removed.
    Common::milliseconds forgottenUpTo{0};
    std::vector<HandoverRecord> records;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        auto forgottenMilliseconds = static_cast<std::int64_t>(forgottenUpTo.count());
        archive(owner, incarnation, revision, secret, lastSequence, forgottenMilliseconds, records);
        forgottenUpTo = Common::milliseconds(forgottenMilliseconds);
    }
};

/// The candidate that stores the handover of an incarnation. Instances with the same member list
/// agree on it; one with another list may ask a candidate that has no handover, which answers
/// "unknown".
std::optional<Common::InstanceId> successorOf(const Common::InstanceId &owner,
                                              Common::Incarnation incarnation,
                                              const std::vector<Common::InstanceId> &candidates);

/// The handovers that this instance stores for instances that have shut down.
class HandoverStore
{
public:
    /// maxRecords and maxAnswerBytes limit the total over all handovers.
    HandoverStore(Common::Duration retentionTime, std::size_t maxRecords,
                  std::size_t maxAnswerBytes);

    /// Fails with TooLarge when a limit would be exceeded, and with Conflict for a revision that is
    /// not newer than the stored one. TooLarge also removes an older revision; the keys of that
    /// incarnation are then answered "unknown", as if the instance had been killed.
    Common::Result<void> adopt(Handover handover, Common::Time now);
    void tick(Common::Time now);

    /// Empty if no handover of the key's incarnation is stored here. Never Proceed.
    std::optional<BeginOutcome> evaluate(const Submission &submission) const;
    std::optional<KeyState> state(const IdempotencyKey &key) const;

    std::size_t recordCount() const
    {
        return recordCount_;
    }
    std::size_t answerBytes() const
    {
        return answerBytes_;
    }

private:
    struct Outcome
    {
        std::uint64_t bodyFingerprint = 0;
        bool ran = false;
        std::shared_ptr<const KeptAnswer> answer;
    };
    struct StoredHandover
    {
        std::uint64_t revision = 0;
        std::uint64_t secret = 0;
        std::uint64_t lastSequence = 0;
        Common::milliseconds forgottenUpTo{0};
        Common::Time removeAt;
        std::size_t answerBytes = 0;
        std::unordered_map<std::uint64_t, Outcome> outcomes;
    };
    using Owner = std::pair<Common::InstanceId, Common::Incarnation>;

    void remove(std::map<Owner, StoredHandover>::iterator stored);
    static KeyState stateOf(const StoredHandover &stored, const IdempotencyKey &key);

    Common::Duration retentionTime_;
    std::size_t maxRecords_;
    std::size_t maxAnswerBytes_;
    std::map<Owner, StoredHandover> handovers_;
    std::size_t recordCount_ = 0;
    std::size_t answerBytes_ = 0;
};

} // namespace LaburnumChute::Ledger
