#pragma once

#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include "Async/AsyncQueue.h"

namespace LaburnumChute::Async {

/// Runs the function on another context's thread and returns its result on the caller's executor.
/// The function must not refer to objects that may be destroyed while the caller is suspended.
template <typename Function>
auto runOn(asio::io_context &context, Function function) -> asio::awaitable<decltype(function())>
{
    using Value = decltype(function());
    const AsyncQueue<Value> reply(co_await asio::this_coro::executor);
    asio::post(context,
               [reply, function = std::move(function)]() mutable { reply.push(function()); });
    auto value = co_await reply.pop();
    co_return std::move(*value);
}

} // namespace LaburnumChute::Async
