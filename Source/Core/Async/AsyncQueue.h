#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Async {

namespace asio = boost::asio;

/// A queue with any number of producer threads and one consumer coroutine. Copies share the same
/// queue. The executor must run on a single thread; all state is accessed there.
template <typename T>
class AsyncQueue
{
public:
    explicit AsyncQueue(asio::any_io_executor executor)
        : state_(std::make_shared<State>(std::move(executor)))
    {
    }

    void push(T value) const
    {
        asio::dispatch(state_->executor, [state = state_, value = std::move(value)]() mutable {
            state->items.push_back(std::move(value));
            state->signal.cancel();
        });
    }

    /// Closes the queue: remaining values can still be popped, then pop() returns nullopt.
    void close() const
    {
        asio::dispatch(state_->executor, [state = state_] {
            state->closed = true;
            state->signal.cancel();
        });
    }

    /// Returns the next value, or nullopt once the queue is closed and empty or the deadline
    /// passes.
    asio::awaitable<std::optional<T>> pop(Common::Time deadline = Common::Time::max()) const
    {
        // A copy keeps the state alive if the queue is destroyed during the wait.
        const auto state = state_;
        while (state->items.empty() && !state->closed) {
            boost::system::error_code error;
            state->signal.expires_at(deadline);
            co_await state->signal.async_wait(asio::redirect_error(asio::use_awaitable, error));
            if (!error && state->items.empty()) {
                co_return std::nullopt;
            }
        }
        if (state->items.empty()) {
            co_return std::nullopt;
        }
        std::optional<T> value(std::move(state->items.front()));
        state->items.pop_front();
        co_return value;
    }

private:
    struct State
    {
        explicit State(asio::any_io_executor consumerExecutor)
            : executor(std::move(consumerExecutor))
            , signal(executor)
        {
        }

        asio::any_io_executor executor;
        asio::steady_timer signal;
        std::deque<T> items;
        bool closed = false;
    };

    std::shared_ptr<State> state_;
};

/// Suspends the calling coroutine for the duration.
inline asio::awaitable<void> sleepFor(Common::Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace LaburnumChute::Async
