#include "Ledger/Handover.h"

#include <algorithm>

#include <fmt/format.h>

#include "Common/Hash.h"

namespace LaburnumChute::Ledger {

namespace {

using Common::ErrorCode;
using Common::RunState;

std::size_t answerBytesOf(const Handover &handover)
{
    std::size_t bytes = 0;
    for (const auto &record : handover.records) {
        bytes += record.answer ? sizeOf(*record.answer) : 0;
    }
    return bytes;
}

} // namespace

std::optional<Common::InstanceId> successorOf(const Common::InstanceId &owner,
                                              Common::Incarnation incarnation,
                                              const std::vector<Common::InstanceId> &candidates)
{
    const auto hashKey = fmt::format("{}.{:x}", owner.text(), incarnation);
    std::optional<Common::InstanceId> best;
    std::uint64_t bestWeight = 0;
    for (const auto &candidate : candidates) {
        const auto weight = Common::rendezvousWeight(hashKey, candidate.text());
        if (candidate != owner && (!best || weight > bestWeight)) {
            best = candidate;
            bestWeight = weight;
        }
    }
    return best;
}

HandoverStore::HandoverStore(Common::Duration retentionTime, std::size_t maxRecords,
                             std::size_t maxAnswerBytes)
    : retentionTime_(retentionTime)
    , maxRecords_(maxRecords)
    , maxAnswerBytes_(maxAnswerBytes)
{
}

Common::Result<void> HandoverStore::adopt(Handover handover, Common::Time now)
{
    const Owner owner{handover.owner, handover.incarnation};
    const auto earlier = handovers_.find(owner);
    if (earlier != handovers_.end()) {
        if (earlier->second.revision >= handover.revision) {
            return Common::makeError(ErrorCode::Conflict, "a later handover is kept");
        }
        remove(earlier);
    }
    const auto bytes = answerBytesOf(handover);
    if (recordCount_ + handover.records.size() > maxRecords_
        || answerBytes_ + bytes > maxAnswerBytes_) {
        return Common::makeError(ErrorCode::TooLarge, "no room for the handover");
    }
    StoredHandover stored{handover.revision,
                          handover.secret,
                          handover.lastSequence,
                          handover.forgottenUpTo,
                          now + retentionTime_,
                          bytes,
                          {}};
    for (auto &record : handover.records) {
        auto answer =
            record.answer ? std::make_shared<const KeptAnswer>(std::move(*record.answer)) : nullptr;
        stored.outcomes.emplace(record.sequence,
                                Outcome{record.bodyFingerprint, record.ran, std::move(answer)});
    }
    recordCount_ += stored.outcomes.size();
    answerBytes_ += bytes;
    handovers_.emplace(owner, std::move(stored));
    return {};
}

void HandoverStore::tick(Common::Time now)
{
    for (auto stored = handovers_.begin(); stored != handovers_.end();) {
        const auto next = std::next(stored);
        if (stored->second.removeAt <= now) {
            remove(stored);
        }
        stored = next;
    }
}

std::optional<BeginOutcome> HandoverStore::evaluate(const Submission &submission) const
{
    const auto &key = submission.key;
    const auto found = handovers_.find({key.owner, key.incarnation});
    if (found == handovers_.end()) {
        return std::nullopt;
    }
    switch (stateOf(found->second, key)) {
    case KeyState::NotMinted:
        return Rejected{RunState::Unknown, RejectionReason::NotMinted, std::nullopt};
    case KeyState::Expired:
        return Rejected{RunState::NotRun, RejectionReason::Closing, std::nullopt};
    case KeyState::Forgotten:
        return Rejected{RunState::Unknown, RejectionReason::IncarnationGone, std::nullopt};
    default:
        break;
    }
    const auto &outcome = found->second.outcomes.at(key.sequence);
    if (outcome.bodyFingerprint != submission.bodyFingerprint) {
        return Rejected{RunState::NotRun, RejectionReason::OtherBody, std::nullopt};
    }
    if (outcome.answer) {
        return ReplayAnswer{outcome.answer};
    }
    if (outcome.ran) {
        return Rejected{RunState::Ran, RejectionReason::AnswerNotKept, std::nullopt};
    }
    return Rejected{RunState::Unknown, RejectionReason::OutcomeUnknown, std::nullopt};
}

std::optional<KeyState> HandoverStore::state(const IdempotencyKey &key) const
{
    const auto found = handovers_.find({key.owner, key.incarnation});
    if (found == handovers_.end()) {
        return std::nullopt;
    }
    return stateOf(found->second, key);
}

KeyState HandoverStore::stateOf(const StoredHandover &stored, const IdempotencyKey &key)
{
    if (key.sequence > stored.lastSequence
        || key.signature != key.expectedSignature(stored.secret)) {
        return KeyState::NotMinted;
    }
    const auto outcome = stored.outcomes.find(key.sequence);
    if (outcome != stored.outcomes.end()) {
        return outcome->second.ran ? KeyState::Ran : KeyState::Lost;
    }
    return key.issueOffset <= stored.forgottenUpTo ? KeyState::Forgotten : KeyState::Expired;
}

void HandoverStore::remove(std::map<Owner, StoredHandover>::iterator stored)
{
    recordCount_ -= stored->second.outcomes.size();
    answerBytes_ -= stored->second.answerBytes;
    handovers_.erase(stored);
}

} // namespace LaburnumChute::Ledger
