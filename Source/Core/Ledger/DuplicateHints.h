#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Common/Time.h"
#include "Ledger/IdempotencyKey.h"

namespace LaburnumChute::Ledger {

/// Told between instances: an order was submitted under a key, or (withdrawn) it is known now that
/// it has not run. Losing one costs a question that is not asked, never a second run of a key.
struct DuplicateHint
{
    std::uint64_t orderFingerprint = 0;
    IdempotencyKey key;
    bool withdrawn = false;

    bool operator==(const DuplicateHint &) const = default;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(orderFingerprint, key, withdrawn);
    }
};

/// The orders submitted lately, so that the same order under a new key is asked about before it
/// runs.
///
/// Load pattern: an application or a clerk who got no answer submits the whole form again, and the
/// application fetches a new key for it. Without this both orders run, each at most once, and the
/// brass is cut twice. It is a hint and no guard: it is bounded, forgets the oldest, and is not
/// told to peers that cannot be reached.
class DuplicateHints
{
public:
    DuplicateHints(Common::Duration window, std::size_t limit);

    void note(const DuplicateHint &hint, Common::Time now);
    /// Drops what is older than the window.
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
    void dropOldest();

    Common::Duration window_;
    std::size_t limit_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    /// In the order of arrival; an arrival whose entry was renewed or withdrawn is void.
    std::deque<Arrival> arrivals_;
};

} // namespace LaburnumChute::Ledger
