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
    const auto place = fmt::format("{}.{:x}", owner.text(), incarnation);
    std::optional<Common::InstanceId> best;
    std::uint64_t bestWeight = 0;
    for (const auto &candidate : candidates) {
        const auto weight = Common::rendezvousWeight(place, candidate.text());
        if (candidate != owner && (!best || weight > bestWeight)) {
            best = candidate;
            bestWeight = weight;
        }
    }
    return best;
}

HandoverStore::HandoverStore(Common::Duration keepTime, std::size_t maxRecords,
                             std::size_t maxAnswerBytes)
    : keepTime_(keepTime)
    , maxRecords_(maxRecords)
    , maxAnswerBytes_(maxAnswerBytes)
{
}

Common::Result<void> HandoverStore::adopt(Handover handover, Common::Time now)
{
    const Owner owner{handover.owner, handover.incarnation};
    const auto earlier = kept_.find(owner);
    if (earlier != kept_.end()) {
        if (earlier->second.revision >= handover.revision) {
            return Common::makeError(ErrorCode::Conflict, "a later handover is kept");
        }
        drop(earlier);
    }
    const auto bytes = answerBytesOf(handover);
    if (recordCount_ + handover.records.size() > maxRecords_
        || answerBytes_ + bytes > maxAnswerBytes_) {
        return Common::makeError(ErrorCode::TooLarge, "no room for the handover");
    }
    Kept kept{handover.revision,
              handover.secret,
              handover.lastSequence,
              handover.forgottenUpTo,
              now + keepTime_,
              bytes,
              {}};
    for (auto &record : handover.records) {
        auto answer =
            record.answer ? std::make_shared<const KeptAnswer>(std::move(*record.answer)) : nullptr;
        kept.outcomes.emplace(record.sequence,
                              Outcome{record.bodyFingerprint, record.ran, std::move(answer)});
    }
    recordCount_ += kept.outcomes.size();
    answerBytes_ += bytes;
    kept_.emplace(owner, std::move(kept));
    return {};
}

void HandoverStore::tick(Common::Time now)
{
    for (auto kept = kept_.begin(); kept != kept_.end();) {
        const auto next = std::next(kept);
        if (kept->second.dropAt <= now) {
            drop(kept);
        }
        kept = next;
    }
}

std::optional<BeginOutcome> HandoverStore::judge(const Submission &submission) const
{
    const auto &key = submission.key;
    const auto found = kept_.find({key.owner, key.incarnation});
    if (found == kept_.end()) {
        return std::nullopt;
    }
    switch (stateIn(found->second, key)) {
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
    const auto found = kept_.find({key.owner, key.incarnation});
    if (found == kept_.end()) {
        return std::nullopt;
    }
    return stateIn(found->second, key);
}

KeyState HandoverStore::stateIn(const Kept &kept, const IdempotencyKey &key)
{
    if (key.sequence > kept.lastSequence || key.seal != key.expectedSeal(kept.secret)) {
        return KeyState::NotMinted;
    }
    const auto outcome = kept.outcomes.find(key.sequence);
    if (outcome != kept.outcomes.end()) {
        return outcome->second.ran ? KeyState::Ran : KeyState::Lost;
    }
    return key.issuedAfter <= kept.forgottenUpTo ? KeyState::Forgotten : KeyState::Expired;
}

void HandoverStore::drop(std::map<Owner, Kept>::iterator kept)
{
    recordCount_ -= kept->second.outcomes.size();
    answerBytes_ -= kept->second.answerBytes;
    kept_.erase(kept);
}

} // namespace LaburnumChute::Ledger
