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

/// What a closed ledger knows of one used key.
struct HandedRecord
{
    std::uint64_t sequence = 0;
    std::uint64_t bodyFingerprint = 0;
    /// Ran to its end; otherwise it may have run, or may yet be running.
    bool ran = false;
    /// Only with `ran`, and only while there was room for its body.
    std::optional<KeptAnswer> answer;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, bodyFingerprint, ran, answer);
    }
};

/// What an instance that shuts down tells its successor: the outcomes of its keys, never the right
/// to run one. As the sender begins nothing any more, a key that is not listed has not run and
/// never will; only a ledger that is closed may say so.
struct Handover
{
    Common::InstanceId owner;
    Common::Incarnation incarnation = 0;
    /// Grows when the same ledger is handed over again with more outcomes.
    std::uint64_t revision = 0;
    std::uint64_t secret = 0;
    std::uint64_t lastSequence = 0;
    /// Keys issued up to this long after the sender's start may have been used and forgotten.
    Common::milliseconds forgottenUpTo{0};
    std::vector<HandedRecord> records;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        auto forgottenMilliseconds = static_cast<std::int64_t>(forgottenUpTo.count());
        archive(owner, incarnation, revision, secret, lastSequence, forgottenMilliseconds, records);
        forgottenUpTo = Common::milliseconds(forgottenMilliseconds);
    }
};

/// The candidate that keeps the handover of an incarnation: any instance finds it from the list of
/// members. Those who see another list ask one that has nothing and answers "unknown".
std::optional<Common::InstanceId> successorOf(const Common::InstanceId &owner,
                                              Common::Incarnation incarnation,
                                              const std::vector<Common::InstanceId> &candidates);

/// The handovers that this instance keeps for instances that have shut down.
class HandoverStore
{
public:
    /// maxRecords and maxAnswerBytes bound all handovers together.
    HandoverStore(Common::Duration keepTime, std::size_t maxRecords, std::size_t maxAnswerBytes);

    /// Fails with TooLarge when there is no room, and with Conflict for an older revision. Then the
    /// keys of that incarnation are answered "unknown", as if it had been killed.
    Common::Result<void> adopt(Handover handover, Common::Time now);
    void tick(Common::Time now);

    /// Nothing when no handover of the key's incarnation is kept here. Never Proceed.
    std::optional<BeginOutcome> judge(const Submission &submission) const;
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
    struct Kept
    {
        std::uint64_t revision = 0;
        std::uint64_t secret = 0;
        std::uint64_t lastSequence = 0;
        Common::milliseconds forgottenUpTo{0};
        Common::Time dropAt;
        std::size_t answerBytes = 0;
        std::unordered_map<std::uint64_t, Outcome> outcomes;
    };
    using Owner = std::pair<Common::InstanceId, Common::Incarnation>;

    void drop(std::map<Owner, Kept>::iterator kept);
    static KeyState stateIn(const Kept &kept, const IdempotencyKey &key);

    Common::Duration keepTime_;
    std::size_t maxRecords_;
    std::size_t maxAnswerBytes_;
    std::map<Owner, Kept> kept_;
    std::size_t recordCount_ = 0;
    std::size_t answerBytes_ = 0;
};

} // namespace LaburnumChute::Ledger
