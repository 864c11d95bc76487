#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"
#include "Ledger/IdempotencyKey.h"

namespace LaburnumChute::Ledger {

/// Sent between instances: an order was submitted under a key or, if withdrawn, is known not to
/// have run. If a hint is lost, a duplicate order may go undetected, but no key runs twice.
struct DuplicateHint
{
    std::uint64_t orderFingerprint = 0;
    IdempotencyKey key;
    bool withdrawn = false;

    bool operator==(const DuplicateHint &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(orderFingerprint, key, withdrawn);
    }
};

/// Recently submitted orders, used to detect the same order under a new key before it runs.
///
/// A caller that got no answer may submit the whole form again, for which the application fetches a
/// new key. Without the hint both orders run, each at most once, and the work is done twice.
/// Detection is best effort: the table is bounded, the oldest entries are evicted, and unreachable
/// peers do not receive hints.
class DuplicateHints
{
public:
    DuplicateHints(Common::Duration window, std::size_t limit);

    void add(const DuplicateHint &hint, Common::Time now);
    /// Removes the entries that are older than the window.
    void tick(Common::Time now);

    /// The key under which the order was submitted within the window, if any.
    std::optional<IdempotencyKey> earlierKey(std::uint64_t orderFingerprint,
                                             Common::Time now) const;
    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct Entry
    {
        IdempotencyKey key;
        Common::Time seenAt;
    };
    struct Arrival
    {
        std::uint64_t orderFingerprint = 0;
        Common::Time seenAt;
    };

    void withdraw(const DuplicateHint &hint);
    void removeOldest();

    Common::Duration window_;
    std::size_t limit_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    /// In order of arrival. An arrival whose entry was replaced or withdrawn has no effect.
    std::deque<Arrival> arrivals_;
};

} // namespace LaburnumChute::Ledger
