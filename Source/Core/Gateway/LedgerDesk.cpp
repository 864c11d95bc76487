#include "Gateway/LedgerDesk.h"

namespace LaburnumChute::Gateway {

namespace L = LaburnumChute::Ledger;

LedgerDesk::LedgerDesk(asio::io_context &control, L::Ledger ledger)
    : control_(control)
    , ledger_(std::move(ledger))
{
}

asio::awaitable<MintedKey> LedgerDesk::mint(const Common::CustomerName &customer)
{
    return ask([customer](L::Ledger &ledger, Common::Time now) {
        MintedKey minted;
        minted.key = ledger.mint(customer, now);
        if (minted.key) {
            minted.lifetime = ledger.remainingLifetime(*minted.key, now);
        }
        return minted;
    });
}

asio::awaitable<L::BeginOutcome> LedgerDesk::begin(const L::Submission &submission)
{
    return ask([submission](L::Ledger &ledger, Common::Time now) {
        return ledger.begin(submission, now);
    });
}

asio::awaitable<Common::Result<L::Attempt>> LedgerDesk::dispatched(const L::Reservation &attempt)
{
    return ask(
        [attempt](L::Ledger &ledger, Common::Time now) { return ledger.dispatched(attempt, now); });
}

asio::awaitable<Common::Result<void>> LedgerDesk::notStarted(const L::Attempt &dispatch)
{
    return ask([dispatch](L::Ledger &ledger, Common::Time now) {
        return ledger.notStarted(dispatch, now);
    });
}

asio::awaitable<Common::Result<void>>
LedgerDesk::abandonedBeforeDispatch(const L::Reservation &attempt)
{
    return ask([attempt](L::Ledger &ledger, Common::Time now) {
        return ledger.abandonedBeforeDispatch(attempt, now);
    });
}

asio::awaitable<Common::Result<void>> LedgerDesk::finished(const L::Attempt &dispatch,
                                                           const L::KeptAnswer &answer)
{
    return ask([dispatch, answer](L::Ledger &ledger, Common::Time now) {
        return ledger.finished(dispatch, answer, now);
    });
}

asio::awaitable<Common::Result<void>> LedgerDesk::lost(const L::Attempt &dispatch)
{
    return ask(
        [dispatch](L::Ledger &ledger, Common::Time now) { return ledger.lost(dispatch, now); });
}

asio::awaitable<L::KeyState> LedgerDesk::state(const L::IdempotencyKey &key)
{
    return ask([key](L::Ledger &ledger, Common::Time now) { return ledger.state(key, now); });
}

asio::awaitable<Common::Result<void>> LedgerDesk::adopt(const L::Handover &handover)
{
    return ask(
        [handover](L::Ledger &ledger, Common::Time now) { return ledger.adopt(handover, now); });
}

asio::awaitable<Common::Result<void>> LedgerDesk::learn(const std::vector<L::DuplicateHint> &hints)
{
    return ask([hints](L::Ledger &ledger, Common::Time now) {
        for (const auto &hint : hints) {
            ledger.addPeerHint(hint, now);
        }
        return Common::Result<void>();
    });
}

} // namespace LaburnumChute::Gateway
