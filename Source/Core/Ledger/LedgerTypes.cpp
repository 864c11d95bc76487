#include "Ledger/LedgerTypes.h"

namespace LaburnumChute::Ledger {

std::size_t sizeOf(const KeptAnswer &answer)
{
    return answer.body.size() + answer.contentType.size();
}

std::string_view toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NotMinted:
        return "key-not-minted";
    case RefusalReason::OtherCustomer:
        return "key-of-other-customer";
    case RefusalReason::Expired:
        return "key-expired";
    case RefusalReason::OtherBody:
        return "key-used-with-other-body";
    case RefusalReason::DuplicateOrder:
        return "duplicate-order";
    case RefusalReason::AnswerNotKept:
        return "answer-not-kept";
    case RefusalReason::OutcomeUnknown:
        return "outcome-unknown";
    case RefusalReason::IncarnationGone:
        return "key-owner-gone";
    case RefusalReason::OwnerUnreachable:
        return "key-owner-unreachable";
    case RefusalReason::LedgerFull:
        return "ledger-full";
    case RefusalReason::Closing:
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
