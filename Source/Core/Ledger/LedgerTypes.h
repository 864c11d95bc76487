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

/// Limits and retention times of a ledger.
struct LedgerOptions
{
    /// How long after its issue a key may be used for the first time. Ten minutes are enough to
    /// fill in a form whose key was fetched with it.
    Common::Duration keyLifetime = std::chrono::minutes(10);
    /// How long an answer is kept after the request ended, and how long after its expiry an expired
    /// key is still rejected as "not run". Later submissions are answered "unknown". Half an hour
    /// covers callers that got no answer, which usually resend within minutes.
    Common::Duration keptAnswerTime = std::chrono::minutes(30);
    /// Maximum number of records of used keys, about 0.3 KB each without the answer.
    std::size_t maxRecords = 65'536;
    /// Limit for kept answers. When it is reached, the oldest answers are evicted; their records
    /// still show that the requests ran.
    std::size_t maxKeptAnswerBytes = 16U << 20U;
    /// The same order under a new key is rejected as a duplicate within this time; zero disables
    /// the check.
    Common::Duration duplicateWindow = std::chrono::minutes(5);
    /// Orders remembered for the duplicate check, both own ones and those of peers. The oldest are
    /// evicted first; unlike records, they may be evicted since they do not protect against a
    /// second run of a key.
    std::size_t maxDuplicateHints = 65'536;
    /// Limit for the answers in a handover at shutdown, which takes the newest ones first. 4 MiB
    /// take a quarter of a second on a link of 140 Mbit/s.
    std::size_t maxHandoverAnswerBytes = 4U << 20U;
    /// Limits for the records and answers stored for instances that have shut down.
    std::size_t maxAdoptedRecords = 65'536;
    std::size_t maxAdoptedAnswerBytes = 8U << 20U;
};

/// The answer of an endpoint, kept to be replayed to a caller that resends the same key.
struct KeptAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const KeptAnswer &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(status, contentType, body);
    }
};

std::size_t sizeOf(const KeptAnswer &answer);

/// A non-repeatable request, as passed to begin().
struct Submission
{
    IdempotencyKey key;
    /// The submitting customer; must be the one that the key was issued to.
    Common::CustomerName customer;
    /// Hash of method, target and body. The same key with another fingerprint is rejected.
    std::uint64_t bodyFingerprint = 0;
    /// Hash of customer, target and body. Two keys with the same value count as the same order.
    std::uint64_t orderFingerprint = 0;
    /// The caller states that it intends a second order with the same content.
    bool duplicateIntended = false;
    /// Checked again right before dispatch.
    std::optional<Common::Time> deadline;
};

/// The exclusive use of a key by one submission, from begin() until the key is released or the
/// outcome is recorded. Numbers are never reused, so that a late report about an earlier submission
/// does not affect the current one.
struct Reservation
{
    std::uint64_t sequence = 0;
    std::uint64_t number = 0;

    bool operator==(const Reservation &) const = default;
};

/// One attempt to send the request of a reservation to an endpoint. Identifies the attempt when its
/// outcome is reported.
struct Attempt
{
    Reservation reservation;
    std::uint64_t number = 0;

    bool operator==(const Attempt &) const = default;
};

/// The request may be queued. dispatched() must be called before its first byte is sent.
struct Proceed
{
    Reservation reservation;
};

/// The request already ran under this key; this is its answer.
struct ReplayAnswer
{
    std::shared_ptr<const KeptAnswer> answer;
};

/// A request is queued or running under this key. The caller is answered "unknown" and may ask
/// again later.
struct StillRunning
{
};

enum class RejectionReason {
    /// The key was not issued by the incarnation it names: it is forged or altered.
    NotMinted,
    /// The key was issued to another customer.
    OtherCustomer,
    /// The key was not used within its lifetime.
    Expired,
    /// The key was used with another body.
    OtherBody,
    /// The same order was recently submitted under another key.
    DuplicateOrder,
    /// The request ran, but its answer is no longer kept.
    AnswerNotKept,
    /// The request may have been dispatched, and its outcome is not known.
    OutcomeUnknown,
    /// The incarnation that minted the key has ended, and its record of the key is not available.
    IncarnationGone,
    /// The owner of the key cannot be reached.
    OwnerUnreachable,
    /// The limit of records is reached.
    LedgerFull,
    /// The owner is shutting down or has shut down, and the key was not used. No instance will run
    /// it.
    Closing,
};

/// The name in problem documents and dumps, for example "ledger-full".
std::string_view toString(RejectionReason reason);

/// The request is not run by this submission. The answer to the caller must report `run`.
struct Rejected
{
    Common::RunState run = Common::RunState::Unknown;
    RejectionReason reason = RejectionReason::OutcomeUnknown;
    /// The key of the earlier order; set only with DuplicateOrder.
    std::optional<IdempotencyKey> earlierKey;
};

/// What the forwarding instance reports when it cannot reach the owner, which may have run the
/// request or may still run it.
inline constexpr Common::RunState OwnerUnreachableRunState = Common::RunState::Unknown;

/// The key belongs to this incarnation of another instance; the request may be forwarded there.
struct OwnedElsewhere
{
    Common::InstanceId owner;
    Common::Incarnation incarnation = 0;
};

using BeginOutcome = std::variant<Proceed, ReplayAnswer, StillRunning, Rejected, OwnedElsewhere>;

/// What this instance knows about a key.
enum class KeyState {
    /// Issued and not used, or released by a submission that is known not to have run.
    Unused,
    /// Begun, but not dispatched.
    Waiting,
    /// Dispatched; bytes may have been sent.
    Running,
    Ran,
    /// Dispatched, and the outcome will never be known.
    Lost,
    /// Not used within its lifetime, and known not to have run.
    Expired,
    /// Issued so long ago that a record would have been removed, or by an incarnation that has
    /// ended.
    Forgotten,
    /// The key names this incarnation, which did not issue it.
    NotMinted,
    /// Another instance owns the key.
    Elsewhere,
};

/// "unused", "running", "ran", "unknown" or "expired", as in the answer to GET
/// /v1/idempotency-keys/KEY.
std::string_view toString(KeyState state);

} // namespace LaburnumChute::Ledger
