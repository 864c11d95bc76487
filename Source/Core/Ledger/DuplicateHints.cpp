#include "Ledger/DuplicateHints.h"

namespace LaburnumChute::Ledger {

DuplicateHints::DuplicateHints(Common::Duration window, std::size_t limit)
    : window_(window)
    , limit_(limit)
{
}

void DuplicateHints::add(const DuplicateHint &hint, Common::Time now)
{
    if (hint.withdrawn) {
        withdraw(hint);
        return;
    }
    if (window_ <= Common::Duration::zero() || limit_ == 0) {
        return;
    }
    // Counts arrivals without an entry too, so that withdrawn orders cannot grow the queue without
    // bound.
    while (arrivals_.size() >= limit_) {
        removeOldest();
    }
    entries_[hint.orderFingerprint] = Entry{hint.key, now};
    arrivals_.push_back(Arrival{hint.orderFingerprint, now});
}

void DuplicateHints::tick(Common::Time now)
{
    while (!arrivals_.empty() && arrivals_.front().seenAt + window_ <= now) {
        removeOldest();
    }
}

std::optional<IdempotencyKey> DuplicateHints::earlierKey(std::uint64_t orderFingerprint,
                                                         Common::Time now) const
{
    const auto found = entries_.find(orderFingerprint);
    if (found == entries_.end() || found->second.seenAt + window_ <= now) {
        return std::nullopt;
    }
    return found->second.key;
}

void DuplicateHints::withdraw(const DuplicateHint &hint)
{
    const auto found = entries_.find(hint.orderFingerprint);
    if (found != entries_.end() && found->second.key == hint.key) {
        entries_.erase(found);
    }
}

void DuplicateHints::removeOldest()
{
    const auto oldest = arrivals_.front();
    arrivals_.pop_front();
    const auto found = entries_.find(oldest.orderFingerprint);
    if (found != entries_.end() && found->second.seenAt == oldest.seenAt) {
        entries_.erase(found);
    }
}

} // namespace LaburnumChute::Ledger
