#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Async/Async.h"
#include "Common/Common.h"
#include "Ledger/Ledger.h"

namespace LaburnumChute::Gateway {

namespace asio = boost::asio;

/// A new idempotency key and its remaining lifetime.
struct MintedKey
{
    Common::Result<Ledger::IdempotencyKey> key;
    Common::Duration lifetime{};
};

/// Asynchronous, thread-safe access to the instance's ledger, which runs on the control context.
/// See Ledger::Ledger for the operations.
///
/// The functions are not coroutines themselves: gcc 12 destroys the captures of a closure twice if
/// the closure is a temporary in a co_await expression.
class AsyncLedger
{
public:
    AsyncLedger(asio::io_context &control, Ledger::Ledger ledger);

    asio::awaitable<MintedKey> mint(const Common::CustomerName &customer);
    asio::awaitable<Ledger::BeginOutcome> begin(const Ledger::Submission &submission);
    asio::awaitable<Common::Result<Ledger::Attempt>>
    dispatched(const Ledger::Reservation &reservation);
    asio::awaitable<Common::Result<void>> notStarted(const Ledger::Attempt &attempt);
    asio::awaitable<Common::Result<void>>
    abandonedBeforeDispatch(const Ledger::Reservation &reservation);
    asio::awaitable<Common::Result<void>> finished(const Ledger::Attempt &attempt,
                                                   const std::optional<Ledger::KeptAnswer> &answer);
    asio::awaitable<Common::Result<void>> lost(const Ledger::Attempt &attempt);
    asio::awaitable<Ledger::KeyState> state(const Ledger::IdempotencyKey &key);
    asio::awaitable<Common::Result<void>> adopt(const Ledger::Handover &handover);
    asio::awaitable<Common::Result<void>> learn(const std::vector<Ledger::DuplicateHint> &hints);

    /// Only from the control context.
    Ledger::Ledger &ledger()
    {
        return ledger_;
    }
    const Ledger::Ledger &ledger() const
    {
        return ledger_;
    }

private:
    /// Calls the function with the ledger and the time on the control context.
    template <typename Function>
    auto run(Function function)
    {
        return Async::runOn(control_, [this, function = std::move(function)]() mutable {
            return function(ledger_, std::chrono::steady_clock::now());
        });
    }

    asio::io_context &control_;
    Ledger::Ledger ledger_;
};

} // namespace LaburnumChute::Gateway
