#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "Common/Error.h"
#include "Common/Ids.h"
#include "Common/Time.h"
#include "Ledger/IdempotencyKey.h"

namespace LaburnumChute::Ledger {

/// Bounds of a ledger. All are settings of the gateway.
struct LedgerOptions
{
    /// A key may be used for the first time until this long after its issue. Ten minutes: a clerk
    /// who fetched a key with the form may finish the form.
    Common::Duration keyLifetime = std::chrono::minutes(10);
    /// An answer is kept this long after the request ended, and the refusal of an expired key stays
    /// a definite one for this long after the expiry. Half an hour: a caller who got no answer
    /// resends within minutes, an office that resends all afternoon is told "unknown" later on.
    Common::Duration keptAnswerTime = std::chrono::minutes(30);
    /// Records of used keys, about 0.3 KB each without their answers.
    std::size_t maxRecords = 65'536;
    /// Bodies of kept answers. When full, the oldest bodies go; the fact that they ran stays.
    std::size_t maxKeptAnswerBytes = 16U << 20U;
    /// The same order under a new key is asked about within this long; zero turns it off.
    Common::Duration duplicateWindow = std::chrono::minutes(5);
    /// Orders remembered for that question, own and told by peers; the oldest go first, since they
    /// guard nothing.
    std::size_t maxDuplicateHints = 65'536;
    /// Bodies that a handover carries at shutdown, the youngest first: 4 MiB cross a link of 140
    /// Mbit/s in a quarter of a second.
    std::size_t maxHandoverAnswerBytes = 4U << 20U;
    /// Records and bodies kept for instances that have shut down.
    std::size_t maxAdoptedRecords = 65'536;
    std::size_t maxAdoptedAnswerBytes = 8U << 20U;
};

/// The answer of an endpoint that is kept for a caller who asks again with the same key.
struct KeptAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const KeptAnswer &) const = default;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(status, contentType, body);
    }
};

std::size_t sizeOf(const KeptAnswer &answer);

/// A request that is not repeatable, as it reaches begin().
struct Submission
{
    IdempotencyKey key;
    /// Who submits it; must be the one whom the key was issued to.
    Common::CustomerName customer;
    /// Over method, target and body: the same key with another fingerprint is refused.
    std::uint64_t bodyFingerprint = 0;
    /// Over customer, target and body: two keys with the same one look like the same order.
    std::uint64_t orderFingerprint = 0;
    /// The caller states that it means a second order of the same content.
    bool duplicateIntended = false;
    /// Checked again right before dispatch.
    std::optional<Common::Time> deadline;
};

/// The hold of one submission on its key, from begin() until the key is released or the outcome is
/// recorded. The number is never given twice, so that a late report on an earlier submission does
/// not touch the present one.
struct Reservation
{
    std::uint64_t sequence = 0;
    std::uint64_t number = 0;

    bool operator==(const Reservation &) const = default;
};

/// One sending of an attempt to one endpoint; what happened to it is reported with this.
struct Attempt
{
    Reservation reservation;
    std::uint64_t number = 0;

    bool operator==(const Attempt &) const = default;
};

/// The request may wait in the queue. dispatched() must be called before its first byte leaves.
struct Proceed
{
    Reservation reservation;
};

/// The request ran under this key; this is its answer.
struct ReplayAnswer
{
    std::shared_ptr<const KeptAnswer> answer;
};

/// The request waits or runs under this key: the caller asks again later. Its refusal says
/// "unknown".
struct StillRunning
{
};

enum class RejectionReason {
    /// No key that this incarnation has issued: a forged or altered one.
    NotMinted,
    /// Issued to another customer.
    OtherCustomer,
    /// Not used in time; it cannot be used any more.
    Expired,
    /// The key was used with another body.
    OtherBody,
    /// The same order was submitted under another key a short time ago.
    DuplicateOrder,
    /// It ran, but the answer is not kept any more.
    AnswerNotKept,
    /// It was dispatched and its outcome never became known.
    OutcomeUnknown,
    /// The incarnation that minted the key is gone, and what it knew with it.
    IncarnationGone,
    /// The owner of the key cannot be asked.
    OwnerUnreachable,
    /// No room for another record.
    LedgerFull,
    /// The owner shuts down, or has shut down, and the key had not been used: nobody will run it.
    Closing,
};

/// "ledger-full" and so on: for problem documents and dumps.
std::string_view toString(RejectionReason reason);

/// The request is not run now. What `run` says is what the answer to the caller must say.
struct Rejected
{
    Common::RunState run = Common::RunState::Unknown;
    RejectionReason reason = RejectionReason::OutcomeUnknown;
    /// With DuplicateOrder: the key of the earlier order.
    std::optional<IdempotencyKey> earlierKey;
};

/// What the forwarding instance answers when the owner cannot be asked: the owner may have run the
/// request or may yet do so.
inline constexpr Common::RunState OwnerUnreachableRunState = Common::RunState::Unknown;

/// Only this incarnation of this instance may answer; the request may be forwarded there.
struct OwnedElsewhere
{
    Common::InstanceId owner;
    Common::Incarnation incarnation = 0;
};

using BeginOutcome = std::variant<Proceed, ReplayAnswer, StillRunning, Rejected, OwnedElsewhere>;

/// What is known of a key here.
enum class KeyState {
    /// Issued and not used, or used by an attempt that is known not to have started.
    Unused,
    /// Begun and not dispatched.
    Waiting,
    /// Bytes may have left.
    Running,
    Ran,
    /// Dispatched, outcome not known; for good.
    Lost,
    /// Not used in time, known not to have run.
    Expired,
    /// Issued so long ago that its record is dropped, or by an incarnation that is gone.
    Forgotten,
    /// Not issued by this incarnation, although it says so.
    NotMinted,
    /// Another instance is to be asked.
    Elsewhere,
};

/// "unused", "running", "ran", "unknown" or "expired", as GET /v1/idempotency-keys/KEY says it.
std::string_view toString(KeyState state);

} // namespace LaburnumChute::Ledger
