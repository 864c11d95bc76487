#include "Ledger/LedgerTypes.h"

namespace LaburnumChute::Ledger {

std::size_t sizeOf(const KeptAnswer &answer)
{
    return answer.body.size() + answer.contentType.size();
}

std::string_view toString(RejectionReason reason)
{
    switch (reason) {
    case RejectionReason::NotMinted:
        return "key-not-minted";
    case RejectionReason::OtherCustomer:
        return "key-of-other-customer";
    case RejectionReason::Expired:
        return "key-expired";
    case RejectionReason::OtherBody:
        return "key-used-with-other-body";
    case RejectionReason::DuplicateOrder:
        return "duplicate-order";
    case RejectionReason::AnswerNotKept:
        return "answer-not-kept";
    case RejectionReason::OutcomeUnknown:
        return "outcome-unknown";
    case RejectionReason::IncarnationGone:
        return "key-owner-gone";
    case RejectionReason::OwnerUnreachable:
        return "key-owner-unreachable";
    case RejectionReason::LedgerFull:
        return "ledger-full";
    case RejectionReason::Closing:
        return "closing";
    }
    return "outcome-unknown";
}

std::string_view toString(KeyState state)
{
    switch (state) {
    case KeyState::Unused:
        return "unused";
    case KeyState::Waiting:
    case KeyState::Running:
        return "running";
    case KeyState::Ran:
        return "ran";
    case KeyState::Expired:
        return "expired";
    case KeyState::Lost:
    case KeyState::Forgotten:
    case KeyState::NotMinted:
    case KeyState::Elsewhere:
        return "unknown";
    }
    return "unknown";
}

} // namespace LaburnumChute::Ledger
