#include "Gateway/AsyncLedger.h"

namespace LaburnumChute::Gateway {

namespace L = LaburnumChute::Ledger;

AsyncLedger::AsyncLedger(asio::io_context &control, L::Ledger ledger)
    : control_(control)
    , ledger_(std::move(ledger))
{
}

asio::awaitable<MintedKey> AsyncLedger::mint(const Common::CustomerName &customer)
{
    return run([customer](L::Ledger &ledger, Common::Time now) {
        MintedKey minted;
        minted.key = ledger.mint(customer, now);
        if (minted.key) {
            minted.lifetime = ledger.remainingLifetime(*minted.key, now);
        }
        return minted;
    });
}

asio::awaitable<L::BeginOutcome> AsyncLedger::begin(const L::Submission &submission)
{
    return run([submission](L::Ledger &ledger, Common::Time now) {
        return ledger.begin(submission, now);
    });
}

asio::awaitable<Common::Result<L::Attempt>>
AsyncLedger::dispatched(const L::Reservation &reservation)
{
    return run([reservation](L::Ledger &ledger, Common::Time now) {
        return ledger.dispatched(reservation, now);
    });
}

asio::awaitable<Common::Result<void>> AsyncLedger::notStarted(const L::Attempt &attempt)
{
    return run(
        [attempt](L::Ledger &ledger, Common::Time now) { return ledger.notStarted(attempt, now); });
}

asio::awaitable<Common::Result<void>>
AsyncLedger::abandonedBeforeDispatch(const L::Reservation &reservation)
{
    return run([reservation](L::Ledger &ledger, Common::Time now) {
        return ledger.abandonedBeforeDispatch(reservation, now);
    });
}

asio::awaitable<Common::Result<void>>
AsyncLedger::finished(const L::Attempt &attempt, const std::optional<L::KeptAnswer> &answer)
{
    return run([attempt, answer](L::Ledger &ledger, Common::Time now) {
        return answer ? ledger.finished(attempt, *answer, now) : ledger.finished(attempt, now);
    });
}

asio::awaitable<Common::Result<void>> AsyncLedger::lost(const L::Attempt &attempt)
{
    return run(
        [attempt](L::Ledger &ledger, Common::Time now) { return ledger.lost(attempt, now); });
}

asio::awaitable<L::KeyState> AsyncLedger::state(const L::IdempotencyKey &key)
{
    return run([key](L::Ledger &ledger, Common::Time now) { return ledger.state(key, now); });
}

asio::awaitable<Common::Result<void>> AsyncLedger::adopt(const L::Handover &handover)
{
    return run(
        [handover](L::Ledger &ledger, Common::Time now) { return ledger.adopt(handover, now); });
}

asio::awaitable<Common::Result<void>> AsyncLedger::learn(const std::vector<L::DuplicateHint> &hints)
{
    return run([hints](L::Ledger &ledger, Common::Time now) {
        for (const auto &hint : hints) {
            ledger.addPeerHint(hint, now);
        }
        return Common::Result<void>();
    });
}

} // namespace LaburnumChute::Gateway
