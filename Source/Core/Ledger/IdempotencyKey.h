#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Time.h"

namespace LaburnumChute::Ledger {

/// The right to run one request that is not repeatable, at most once. Only the incarnation that
/// minted a key may run a request under it; all others read from the key whom to ask.
///
/// As text: "lk1.OWNER.INCARNATION.CUSTOMER.SEQUENCE.ISSUED.SEAL.CHECK". Names are percent-encoded,
/// so that the dots divide unambiguously; numbers are lower-case hexadecimal.
struct IdempotencyKey
{
    Common::InstanceId owner;
    Common::Incarnation incarnation = 0;
    Common::CustomerName customer;
    /// Counted from 1 by the owner's incarnation.
    std::uint64_t sequence = 0;
    /// Time from the start of the owner's ledger to the issue. It is compared with the owner's
    /// steady clock only, never with the clock of another instance.
    Common::milliseconds issuedAfter{0};
    /// Hash over the other members under a secret of the incarnation: the owner recognises the keys
    /// that it minted without keeping a record of those that nobody has used yet.
    std::uint32_t seal = 0;

    auto operator<=>(const IdempotencyKey &) const = default;

    /// Fails with InvalidArgument on text of another format or version, and when the check does not
    /// match the rest, as after a typo.
    static Common::Result<IdempotencyKey> parse(std::string_view text);
    std::string text() const;
    /// The seal that belongs to the other members.
    std::uint32_t expectedSeal(std::uint64_t secret) const;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        auto issuedMilliseconds = static_cast<std::int64_t>(issuedAfter.count());
        archive(owner, incarnation, customer, sequence, issuedMilliseconds, seal);
        issuedAfter = Common::milliseconds(issuedMilliseconds);
    }
};

/// The longest text that parse() looks at; headers of more bytes are refused unread.
inline constexpr std::size_t MaxKeyTextBytes = 512;

} // namespace LaburnumChute::Ledger
