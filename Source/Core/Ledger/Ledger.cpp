#include "Ledger/Ledger.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace LaburnumChute::Ledger {

namespace {

using Common::ErrorCode;
using Common::RunState;

Rejected reject(RunState run, RejectionReason reason)
{
    return Rejected{run, reason, std::nullopt};
}

tl::unexpected<Common::Error> staleReportError()
{
    return Common::makeError(ErrorCode::Conflict, "the attempt does not hold its key any more");
}

} // namespace

Ledger::Ledger(LedgerOptions options, LedgerIdentity identity)
    : options_(options)
    , identity_(std::move(identity))
    , hints_(options.duplicateWindow, options.maxDuplicateHints)
    , adopted_(options.keptAnswerTime, options.maxAdoptedRecords, options.maxAdoptedAnswerBytes)
{
}

Common::Result<IdempotencyKey> Ledger::mint(const Common::CustomerName &customer, Common::Time now)
{
    if (closed_) {
        return Common::makeError(ErrorCode::Unavailable, "this instance is shutting down");
    }
    if (!hasFreeRecord()) {
        return Common::makeError(ErrorCode::Overloaded, "no room for another idempotency key");
    }
    IdempotencyKey key;
    key.owner = identity_.instance;
    key.incarnation = identity_.incarnation;
    key.customer = customer;
    key.sequence = ++lastSequence_;
    key.issueOffset = std::chrono::floor<Common::milliseconds>(now - identity_.start);
    key.signature = key.expectedSignature(identity_.secret);
    ++counts_.minted;
    return key;
}

BeginOutcome Ledger::begin(const Submission &submission, Common::Time now)
{
    auto outcome = evaluate(submission, now);
    if (std::holds_alternative<ReplayAnswer>(outcome)) {
        ++counts_.replayed;
    }
    if (std::holds_alternative<Rejected>(outcome)) {
        ++counts_.rejected;
    }
    return outcome;
}

BeginOutcome Ledger::evaluate(const Submission &submission, Common::Time now)
{
    const auto &key = submission.key;
    if (key.customer != submission.customer) {
        return reject(RunState::NotRun, RejectionReason::OtherCustomer);
    }
    if (!isOwnKey(key)) {
        return evaluateForeign(submission);
    }
    // A caller with an unaltered key does not get here, unless two processes started under one
    // instance id in the same millisecond. The other process may have run the request then, so "not
    // run" cannot be reported.
    if (!isMinted(key)) {
        return reject(RunState::Unknown, RejectionReason::NotMinted);
    }
    const auto found = records_.find(key.sequence);
    if (found != records_.end()) {
        return evaluateRecorded(found->second, submission);
    }
    return evaluateUnrecorded(submission, now);
}

BeginOutcome Ledger::evaluateForeign(const Submission &submission) const
{
    const auto &key = submission.key;
    if (auto outcome = adopted_.evaluate(submission)) {
        return *std::move(outcome);
    }
    // A replacement has no records of its predecessor's keys. The predecessor may have run the
    // request, so "not run" must not be reported.
    if (key.owner == identity_.instance) {
        return reject(RunState::Unknown, RejectionReason::IncarnationGone);
    }
    return OwnedElsewhere{key.owner, key.incarnation};
}

BeginOutcome Ledger::evaluateRecorded(const Record &record, const Submission &submission) const
{
    if (record.bodyFingerprint != submission.bodyFingerprint) {
        return reject(RunState::NotRun, RejectionReason::OtherBody);
    }
    switch (record.phase) {
    case Phase::Waiting:
    case Phase::Running:
        return StillRunning{};
    case Phase::Ran:
        if (record.answer) {
            return ReplayAnswer{record.answer};
        }
        return reject(RunState::Ran, RejectionReason::AnswerNotKept);
    case Phase::Lost:
        break;
    }
    return reject(RunState::Unknown, RejectionReason::OutcomeUnknown);
}

BeginOutcome Ledger::evaluateUnrecorded(const Submission &submission, Common::Time now)
{
    switch (stateOfUnrecorded(submission.key, now)) {
    case KeyState::Unused:
        break;
    case KeyState::Expired:
        return reject(RunState::NotRun, RejectionReason::Expired);
    default:
        return reject(RunState::Unknown, RejectionReason::OutcomeUnknown);
    }
    if (closed_) {
        return reject(RunState::NotRun, RejectionReason::Closing);
    }
    // Live records are never evicted: their keys would appear unused and could run again.
    if (!hasFreeRecord()) {
        return reject(RunState::NotRun, RejectionReason::LedgerFull);
    }
    const auto earlier = hints_.earlierKey(submission.orderFingerprint, now);
    if (earlier && *earlier != submission.key && !submission.duplicateIntended) {
        return Rejected{RunState::NotRun, RejectionReason::DuplicateOrder, earlier};
    }
    return open(submission, now);
}

Proceed Ledger::open(const Submission &submission, Common::Time now)
{
    Record record;
    record.key = submission.key;
    record.bodyFingerprint = submission.bodyFingerprint;
    record.orderFingerprint = submission.orderFingerprint;
    record.deadline = submission.deadline;
    record.reservationNumber = ++lastNumber_;
    const Reservation reservation{submission.key.sequence, record.reservationNumber};
    records_.emplace(reservation.sequence, std::move(record));
    ++openCount_;
    ++counts_.begun;
    const DuplicateHint hint{submission.orderFingerprint, submission.key, false};
    hints_.add(hint, now);
    pendingHints_.push_back(hint);
    return Proceed{reservation};
}

Common::Result<Attempt> Ledger::dispatched(const Reservation &reservation, Common::Time now)
{
    Record *record = findReservation(reservation, Phase::Waiting);
    if (record == nullptr) {
        return staleReportError();
    }
    if (record->deadline && *record->deadline <= now) {
        release(*record, now);
        return Common::makeError(ErrorCode::DeadlineExceeded,
                                 "the deadline passed before the request was dispatched");
    }
    record->phase = Phase::Running;
    record->attemptNumber = ++lastNumber_;
    ++counts_.dispatched;
    return Attempt{reservation, record->attemptNumber};
}

Common::Result<void> Ledger::notStarted(const Attempt &attempt, Common::Time)
{
    Record *record = findAttempt(attempt);
    if (record == nullptr) {
        return staleReportError();
    }
    record->phase = Phase::Waiting;
    return {};
}

Common::Result<void> Ledger::abandonedBeforeDispatch(const Reservation &reservation,
                                                     Common::Time now)
{
    const Record *record = findReservation(reservation, Phase::Waiting);
    if (record == nullptr) {
        return staleReportError();
    }
    release(*record, now);
    return {};
}

Common::Result<void> Ledger::finished(const Attempt &attempt, Common::Time now)
{
    Record *record = findAttempt(attempt);
    if (record == nullptr) {
        return staleReportError();
    }
    record->phase = Phase::Ran;
    ++counts_.finished;
    scheduleRemoval(*record, now);
    return {};
}

Common::Result<void> Ledger::finished(const Attempt &attempt, KeptAnswer answer, Common::Time now)
{
    Record *record = findAttempt(attempt);
    auto ended = finished(attempt, now);
    if (ended) {
        storeAnswer(*record, std::move(answer));
    }
    return ended;
}

Common::Result<void> Ledger::lost(const Attempt &attempt, Common::Time now)
{
    Record *record = findAttempt(attempt);
    if (record == nullptr) {
        return staleReportError();
    }
    record->phase = Phase::Lost;
    ++counts_.lost;
    scheduleRemoval(*record, now);
    return {};
}

void Ledger::addPeerHint(const DuplicateHint &hint, Common::Time now)
{
    hints_.add(hint, now);
}

std::vector<DuplicateHint> Ledger::takeHints()
{
    return std::exchange(pendingHints_, {});
}

void Ledger::close()
{
    closed_ = true;
}

void Ledger::tick(Common::Time now)
{
    while (!removalTimes_.empty() && removalTimes_.begin()->first <= now) {
        const auto sequence = removalTimes_.begin()->second;
        removalTimes_.erase(removalTimes_.begin());
        const auto found = records_.find(sequence);
        if (found->second.answer) {
            answerBytes_ -= sizeOf(*found->second.answer);
        }
        records_.erase(found);
    }
    while (!answerOrder_.empty() && !records_.contains(answerOrder_.back())) {
        answerOrder_.pop_back();
    }
    hints_.tick(now);
    adopted_.tick(now);
}

Common::Result<Handover> Ledger::handOver(Common::Time now)
{
    // Before close(), a key that the handover does not list could still be used here, and the
    // successor would report "not run" for a request that runs.
    if (!closed_) {
        return Common::makeError(ErrorCode::Conflict, "only a closed ledger can be handed over");
    }
    Handover handover;
    handover.owner = identity_.instance;
    handover.incarnation = identity_.incarnation;
    handover.revision = ++lastRevision_;
    handover.secret = identity_.secret;
    handover.lastSequence = lastSequence_;
    handover.forgottenUpTo = std::chrono::ceil<Common::milliseconds>(
        now - identity_.start - options_.keyLifetime - options_.keptAnswerTime);
    for (const auto &[sequence, record] : records_) {
        const bool ran = record.phase == Phase::Ran;
        handover.records.push_back({sequence, record.bodyFingerprint, ran, std::nullopt});
    }
    addNewestAnswers(handover);
    return handover;
}

void Ledger::addNewestAnswers(Handover &handover) const
{
    std::unordered_map<std::uint64_t, HandoverRecord *> recordsBySequence;
    for (auto &record : handover.records) {
        recordsBySequence.emplace(record.sequence, &record);
    }
    std::size_t bytes = 0;
    for (const auto sequence : answerOrder_) {
        const auto found = records_.find(sequence);
        if (found == records_.end() || !found->second.answer) {
            continue;
        }
        bytes += sizeOf(*found->second.answer);
        if (bytes > options_.maxHandoverAnswerBytes) {
            return;
        }
        recordsBySequence.at(sequence)->answer = *found->second.answer;
    }
}

Common::Result<void> Ledger::adopt(Handover handover, Common::Time now)
{
    return adopted_.adopt(std::move(handover), now);
}

void Ledger::release(const Record &record, Common::Time now)
{
    const DuplicateHint hint{record.orderFingerprint, record.key, true};
    hints_.add(hint, now);
    pendingHints_.push_back(hint);
    --openCount_;
    records_.erase(record.key.sequence);
}

void Ledger::scheduleRemoval(const Record &record, Common::Time now)
{
    --openCount_;
    // The record must outlive the period in which stateOfUnrecorded() takes a key without a record
    // for one that has not run.
    const auto forgottenAt = issuedAt(record.key) + options_.keyLifetime + options_.keptAnswerTime;
    removalTimes_.emplace(std::max(now + options_.keptAnswerTime, forgottenAt),
                          record.key.sequence);
}

void Ledger::storeAnswer(Record &record, KeptAnswer answer)
{
    const auto bytes = sizeOf(answer);
    if (bytes > options_.maxKeptAnswerBytes) {
        return;
    }
    while (answerBytes_ + bytes > options_.maxKeptAnswerBytes) {
        const auto found = records_.find(answerOrder_.back());
        answerOrder_.pop_back();
        if (found != records_.end() && found->second.answer) {
            answerBytes_ -= sizeOf(*found->second.answer);
            found->second.answer.reset();
        }
    }
    record.answer = std::make_shared<const KeptAnswer>(std::move(answer));
    answerOrder_.push_front(record.key.sequence);
    answerBytes_ += bytes;
}

KeyState Ledger::state(const IdempotencyKey &key, Common::Time now) const
{
    if (!isOwnKey(key)) {
        const auto foreign =
            key.owner == identity_.instance ? KeyState::Forgotten : KeyState::Elsewhere;
        return adopted_.state(key).value_or(foreign);
    }
    if (!isMinted(key)) {
        return KeyState::NotMinted;
    }
    const auto found = records_.find(key.sequence);
    if (found == records_.end()) {
        return stateOfUnrecorded(key, now);
    }
    switch (found->second.phase) {
    case Phase::Waiting:
        return KeyState::Waiting;
    case Phase::Running:
        return KeyState::Running;
    case Phase::Ran:
        return KeyState::Ran;
    case Phase::Lost:
        break;
    }
    return KeyState::Lost;
}

RunState Ledger::knownRunState(const IdempotencyKey &key, Common::Time now) const
{
    switch (state(key, now)) {
    case KeyState::Unused:
    case KeyState::Expired:
        return RunState::NotRun;
    case KeyState::Ran:
        return RunState::Ran;
    case KeyState::Waiting:
    case KeyState::Running:
    case KeyState::Lost:
    case KeyState::Forgotten:
    case KeyState::NotMinted:
    case KeyState::Elsewhere:
        break;
    }
    return RunState::Unknown;
}

Common::Duration Ledger::remainingLifetime(const IdempotencyKey &key, Common::Time now) const
{
    if (!isOwnKey(key) || !isMinted(key)) {
        return Common::Duration::zero();
    }
    return std::max(issuedAt(key) + options_.keyLifetime - now, Common::Duration::zero());
}

nlohmann::json Ledger::dump(Common::Time) const
{
    return {{"instance", identity_.instance.text()},
            {"incarnation", identity_.incarnation},
            {"closed", closed_},
            {"records", records_.size()},
            {"open", openCount_},
            {"kept_answer_bytes", answerBytes_},
            {"duplicate_hints", hints_.size()},
            {"adopted_records", adopted_.recordCount()},
            {"adopted_answer_bytes", adopted_.answerBytes()},
            {"minted", counts_.minted},
            {"begun", counts_.begun},
            {"dispatched", counts_.dispatched},
            {"finished", counts_.finished},
            {"lost", counts_.lost},
            {"replayed", counts_.replayed},
            {"refused", counts_.rejected}};
}

Ledger::Record *Ledger::findReservation(const Reservation &reservation, Phase phase)
{
    const auto found = records_.find(reservation.sequence);
    if (found == records_.end() || found->second.reservationNumber != reservation.number
        || found->second.phase != phase) {
        return nullptr;
    }
    return &found->second;
}

Ledger::Record *Ledger::findAttempt(const Attempt &attempt)
{
    Record *record = findReservation(attempt.reservation, Phase::Running);
    if (record == nullptr || record->attemptNumber != attempt.number) {
        return nullptr;
    }
    return record;
}

bool Ledger::isOwnKey(const IdempotencyKey &key) const
{
    return key.owner == identity_.instance && key.incarnation == identity_.incarnation;
}

bool Ledger::isMinted(const IdempotencyKey &key) const
{
    return key.sequence >= 1 && key.sequence <= lastSequence_
           && key.signature == key.expectedSignature(identity_.secret);
}

Common::Time Ledger::issuedAt(const IdempotencyKey &key) const
{
    return identity_.start + key.issueOffset;
}

KeyState Ledger::stateOfUnrecorded(const IdempotencyKey &key, Common::Time now) const
{
    const auto expiresAt = issuedAt(key) + options_.keyLifetime;
    if (now < expiresAt) {
        return KeyState::Unused;
    }
    if (now < expiresAt + options_.keptAnswerTime) {
        return KeyState::Expired;
    }
    return KeyState::Forgotten;
}

bool Ledger::hasFreeRecord() const
{
    return records_.size() < options_.maxRecords;
}

} // namespace LaburnumChute::Ledger
