#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Time.h"

namespace LaburnumChute::Ledger {

/// Permits one non-repeatable request to run at most once. Only the incarnation that minted a key
/// may run a request under it; other instances read the owner from the key.
///
/// Text format: "lk1.OWNER.INCARNATION.CUSTOMER.SEQUENCE.ISSUED.SIGNATURE.CHECKSUM". Names are
/// percent-encoded, so that dots only separate fields; numbers are lower-case hexadecimal.
struct IdempotencyKey
{
    Common::InstanceId owner;
    Common::Incarnation incarnation = 0;
    Common::CustomerName customer;
    /// Starts at 1 for each incarnation of the owner.
    std::uint64_t sequence = 0;
    /// Time from the start of the owner's process to the issue of the key. Only compared with the
    /// owner's steady clock, never with the clock of another instance.
    Common::milliseconds issueOffset{0};
    /// Hash of the other members, keyed with a secret of the incarnation. The owner recognizes the
    /// keys that it minted without keeping a record of unused ones.
    std::uint32_t signature = 0;

    auto operator<=>(const IdempotencyKey &) const = default;

    /// Fails with InvalidArgument on text of another format or version, and on a checksum mismatch,
    /// for example after a typing error.
    static Common::Result<IdempotencyKey> parse(std::string_view text);
    std::string text() const;
    /// The signature of the other members.
    std::uint32_t expectedSignature(std::uint64_t secret) const;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        auto issuedMilliseconds = static_cast<std::int64_t>(issueOffset.count());
        archive(owner, incarnation, customer, sequence, issuedMilliseconds, signature);
        issueOffset = Common::milliseconds(issuedMilliseconds);
    }
};

/// parse() rejects longer texts without decoding them.
inline constexpr std::size_t MaxKeyTextBytes = 512;

} // namespace LaburnumChute::Ledger
